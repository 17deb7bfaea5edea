import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { parseJson, readBody, sendJson, startServer, waitFor } from './HttpTools.js';
import type { IStandIn } from './Types.js';

/** One call that the plain stand-in ran. */
export interface IPlainCall {
  method: string;
  path: string;
  body: string;
}

/** Faults of the plain stand-in, set through `PUT /faults`. */
export interface IPlainFaults {
  delayMs: number;
  /** Share of calls that run although their reply is lost, 0 to 1. */
  lostReplyShare: number;
}

/** A running plain service stand-in with its book of calls. */
export interface IPlainStandIn extends IStandIn {
  calls: IPlainCall[];
  faults: IPlainFaults;
}

const FAULTS_SCHEMA = z.object({ delayMs: z.number(), lostReplyShare: z.number() }).partial();

/** Starts a small ledger-like service that records each call that it ran. */
export async function startPlainServer(port?: number, random = Math.random): Promise<IPlainStandIn> {
  const calls: IPlainCall[] = [];
  const faults: IPlainFaults = { delayMs: 0, lostReplyShare: 0 };
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request);
    if (request.url === '/books') sendJson(response, 200, calls);
    else if (request.url === '/faults') {
      sendJson(response, 200, Object.assign(faults, FAULTS_SCHEMA.parse(parseJson(body))));
    } else {
      calls.push({ method: request.method ?? 'GET', path: request.url ?? '/', body: body.toString() });
      const entry = calls.length;
      await waitFor(faults.delayMs);
      if (random() < faults.lostReplyShare) response.destroy();
      else sendJson(response, 200, { entry, path: request.url });
    }
  };
  const server = await startServer((request, response) => {
    void handle(request, response);
  }, port);
  return { ...server, calls, faults };
}

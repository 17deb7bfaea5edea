import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { parseJson, readBody, sendJson, startServer, waitFor } from './HttpTools.js';
import type { IStandIn } from './Types.js';

/** One call that the plain service stand-in executed. */
export interface IPlainCall {
  method: string;
  path: string;
  body: string;
}

/** Faults of the plain service stand-in, set through `PUT /faults`. */
export interface IPlainFaults {
  /** Time between the execution of a call and its reply. */
  delayMs: number;
  /** Share of calls, 0 to 1, that are executed but whose connection is closed instead of a reply. */
  lostReplyShare: number;
}

/** A running plain service stand-in with the list of calls that it executed. */
export interface IPlainStandIn extends IStandIn {
  calls: IPlainCall[];
  faults: IPlainFaults;
}

const FAULTS_SCHEMA = z.object({ delayMs: z.number(), lostReplyShare: z.number() }).partial();

/** Starts a fake plain service, such as a ledger, that executes each call by adding it to its list of calls. */
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

import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { parseJson, readBody, sendJson, startServer } from './HttpTools.js';
import type { IStandIn } from './Types.js';

/** One machine in the platform's host list. */
export interface IListedMachine {
  id: string;
  role: 'entry-host' | 'engine' | 'plain';
  /** `ip:port` of the peer port for entry hosts, base address for endpoints. */
  address: string;
  zone: string;
  /** Plain service that the endpoint belongs to. */
  service: string;
  versions: string[];
  state: 'live' | 'leaving';
  /** Number that increases with each start of the machine. */
  incarnation?: number;
}

/** A running host-list stand-in. */
export interface IHostListStandIn extends IStandIn {
  /** The list as it is served; a test may change it directly. */
  machines: IListedMachine[];
}

const MACHINES_SCHEMA = z.array(
  z.object({
    id: z.string(),
    role: z.enum(['entry-host', 'engine', 'plain']),
    address: z.string(),
    zone: z.string(),
    service: z.string(),
    versions: z.array(z.string()),
    state: z.enum(['live', 'leaving']),
  }),
);

/**
 * Starts a fake of the platform's list of live and leaving machines; a `PUT` request replaces the list. The list of
 * a real platform lags behind its machines: a test imitates this lag by updating `machines` late.
 */
export async function startHostListServer(port?: number): Promise<IHostListStandIn> {
  const machines: IListedMachine[] = [];
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request);
    if (request.method === 'PUT') {
      machines.splice(0, machines.length, ...MACHINES_SCHEMA.parse(parseJson(body)));
    }
    sendJson(response, 200, { machines });
  };
  const server = await startServer((request, response) => {
    void handle(request, response);
  }, port);
  return { ...server, machines };
}

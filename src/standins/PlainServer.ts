import { readBody, sendJson, startServer } from './HttpTools.js';
import type { IStandIn } from './Types.js';

/** One call that the plain stand-in ran. */
export interface IPlainCall {
  method: string;
  path: string;
  body: string;
}

/** A running plain service stand-in with its book of calls. */
export interface IPlainStandIn extends IStandIn {
  calls: IPlainCall[];
}

/** Starts a small ledger-like service that records each call that it ran. */
export async function startPlainServer(port?: number): Promise<IPlainStandIn> {
  const calls: IPlainCall[] = [];
  const server = await startServer((request, response) => {
    void (async () => {
      if (request.url === '/books') {
        sendJson(response, 200, calls);
        return;
      }
      const body = (await readBody(request)).toString();
      calls.push({ method: request.method ?? 'GET', path: request.url ?? '/', body });
      sendJson(response, 200, { entry: calls.length, path: request.url });
    })();
  }, port);
  return { ...server, calls };
}

import { request as sendRequest, type Agent, type IncomingHttpHeaders } from 'node:http';

/** A response as a caller sees it. `isWhole` is false and `status` 0 or as sent where the connection broke off. */
export interface ICallerView {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  isWhole: boolean;
}

/** A call to a router. */
export interface ISentCall {
  /** `ip:port`. */
  address: string;
  path: string;
  headers: Readonly<Record<string, string>>;
  method: string;
  body?: string | undefined;
  /** Default: a connection of its own. */
  agent?: Agent | undefined;
}

/** A call that was sent: its view resolves when the response has ended in any way. */
export interface ICallInProgress {
  view: Promise<ICallerView>;
  /** Closes the connection. */
  leave: () => void;
}

/** Sends a call as a caller of the platform does. */
export function sendCall({ address, agent, body, headers, method, path }: ISentCall): ICallInProgress {
  const [host, port] = address.split(':');
  const sent = sendRequest({ host, port, path, method, headers, agent: agent ?? false });
  const view = new Promise<ICallerView>((resolve) => {
    sent.on('response', (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('error', () => undefined);
      response.on('close', () => {
        const { complete, headers: received, statusCode = 0 } = response;
        resolve({ status: statusCode, headers: received, body: text, isWhole: complete });
      });
    });
    sent.on('error', () => {
      resolve({ status: 0, headers: {}, body: '', isWhole: false });
    });
  });
  sent.end(body);
  return {
    view,
    leave: () => {
      sent.destroy();
    },
  };
}

import { request as sendRequest, type Agent, type IncomingHttpHeaders } from 'node:http';
import { connect } from 'node:net';

/** A response as a caller sees it. */
export interface ICallResult {
  /** Status of the response; 0 when the connection closed before the response headers arrived. */
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  /** Whether the complete response arrived before the connection closed. */
  isComplete: boolean;
}

/** A call to a router. */
export interface ICallOptions {
  /** `ip:port`. */
  address: string;
  path: string;
  headers: Readonly<Record<string, string>>;
  method: string;
  body?: string | undefined;
  /** Agent with reusable connections. Default: a new connection for this call. */
  agent?: Agent | undefined;
}

/** A call that has been sent. */
export interface IPendingCall {
  /** Resolves when the response has ended or the connection has failed; never rejects. */
  result: Promise<ICallResult>;
  /** Closes the connection, as a caller does that no longer waits for the response. */
  disconnect: () => void;
}

/** Sends a call to a router, as a caller on the platform does. */
export function sendCall({ address, agent, body, headers, method, path }: ICallOptions): IPendingCall {
  const [host, port] = address.split(':');
  const clientRequest = sendRequest({ host, port, path, method, headers, agent: agent ?? false });
  const result = new Promise<ICallResult>((resolve) => {
    clientRequest.on('response', (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('error', () => undefined);
      response.on('close', () => {
        const { complete, headers: received, statusCode = 0 } = response;
        resolve({ status: statusCode, headers: received, body: text, isComplete: complete });
      });
    });
    clientRequest.on('error', () => {
      resolve({ status: 0, headers: {}, body: '', isComplete: false });
    });
  });
  clientRequest.end(body);
  return {
    result,
    disconnect: () => {
      clientRequest.destroy();
    },
  };
}

/** Sends a call as text, as a caller does that speaks another version of HTTP. Resolves to all that it receives. */
export function sendText(address: string, text: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    let received = '';
    socket.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
    socket.on('error', () => undefined);
    socket.once('close', () => {
      resolve(received);
    });
    socket.write(text);
  });
}

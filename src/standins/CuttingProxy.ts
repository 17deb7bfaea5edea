import { connect, createServer, type AddressInfo } from 'node:net';
import { startListening } from '../adapters/Listening.js';
import type { IStandIn } from './Types.js';

/** Where a proxy cuts the answers that pass it: after a number of bytes behind their heads. */
export interface ICuttingProxyOptions {
  /** `ip:port` that the proxy connects to. */
  target: string;
  /** Number of bytes of a body that pass. */
  bodyBytes: number;
}

const HEAD_END = '\r\n\r\n';

/** Starts a proxy that passes the beginning of each answer and then ends the connection in order. */
export async function startCuttingProxy({ bodyBytes, target }: ICuttingProxyOptions): Promise<IStandIn> {
  const [host, port] = target.split(':');
  const server = createServer((caller) => {
    const upstream = connect(Number(port), host);
    let received = Buffer.alloc(0);
    caller.pipe(upstream);
    upstream.on('data', (bytes: Buffer) => {
      received = Buffer.concat([received, bytes]);
      const headEnd = received.indexOf(HEAD_END);
      const end = headEnd + HEAD_END.length + bodyBytes;
      if (headEnd < 0 || received.length < end || caller.writableEnded) return;
      caller.end(received.subarray(0, end));
    });
    for (const socket of [caller, upstream]) {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        caller.destroy();
        upstream.destroy();
      });
    }
  });
  await startListening(server, '127.0.0.1', 0);
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () =>
      new Promise((resolve) =>
        server.close(() => {
          resolve();
        }),
      ),
  };
}

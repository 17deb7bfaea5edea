import { createServer, type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { startListening } from '../adapters/Listening.js';
import type { IStandIn } from './Types.js';

/** Starts an HTTP server on a loopback port. Port 0 picks a free port. */
export async function startServer(listener: RequestListener, port = 0): Promise<IStandIn> {
  const server = createServer({ keepAliveTimeout: 60_000 }, listener);
  await startListening(server, '127.0.0.1', port);
  const boundAddress = server.address() as AddressInfo;
  return {
    address: `http://127.0.0.1:${boundAddress.port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

/**
 * Ports that `findFreePort` chooses from. Linux takes the ports of outgoing connections and of servers on port 0 from
 * 32768 on, so none of these is taken between the choice and its use.
 */
const FIRST_CHOSEN_PORT = 20_000;
const CHOSEN_PORT_COUNT = 12_000;

/** Distance between the first choices of processes that were started one after the other. */
const PORTS_PER_PROCESS = 61;

let lastPortOffset = process.pid * PORTS_PER_PROCESS;

/** Finds a loopback port that is free, and that this process has not found before. */
export async function findFreePort(): Promise<number> {
  for (let tries = 0; tries < CHOSEN_PORT_COUNT; tries += 1) {
    lastPortOffset += 1;
    const port = FIRST_CHOSEN_PORT + (lastPortOffset % CHOSEN_PORT_COUNT);
    if (await isPortFree(port)) return port;
  }
  throw new Error('No port is free.');
}

async function isPortFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    await startListening(server, '127.0.0.1', port);
  } catch {
    return false;
  }
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/** Reads a whole request body. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Resolves after `ms` milliseconds. Sets no timer when `ms` is zero or negative. */
export function waitFor(ms: number): Promise<void> {
  return ms <= 0 ? Promise.resolve() : new Promise((resolve) => setTimeout(resolve, ms));
}

/** Parses a JSON body. Returns `undefined` when the body is not valid JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

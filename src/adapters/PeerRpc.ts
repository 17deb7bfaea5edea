import { createHmac, timingSafeEqual } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { JSONRPCClient, JSONRPCServer, type JSONRPCRequest, type JSONRPCResponse } from 'json-rpc-2.0';
import { Result } from 'true-myth';
import type { Agent } from 'undici';
import type { PeerError, PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import type { Millis } from '../common/Types.js';
import { createHttpAgent } from './HttpAgent.js';
import { readLimitedText } from './LimitedBody.js';
import { startListening } from './Listening.js';
import { startTunnels, type ITunnelServerOptions } from './Tunnels.js';
import { isUnsent } from './UnsentRequest.js';

/**
 * Lamport clock of this process. Messages between hosts carry its time, so that the events of all hosts can
 * be put in causal order in the timeline.
 */
export interface ILamportClock {
  /** Returns the current Lamport time. */
  read: () => number;
  /** Advances the clock to a Lamport time received from another process, if that is higher. */
  observe: (lamport: number) => void;
}

/** Options that the client and the server of the peer protocol have in common. */
export interface IPeerRpcOptions {
  /** Id of this host. */
  host: string;
  /** Secret that all hosts share. Requests are signed with it. Default: requests are not signed. */
  key?: string;
  lamport: ILamportClock;
}

/** Options of the peer client. */
export interface IPeerClientOptions extends IPeerRpcOptions {
  /** Returns the address `ip:port` of a host's peer server; `undefined` when the host is not known. */
  findAddress: (host: string) => string | undefined;
  /** Time after which a call fails. Default 1000. */
  timeoutMs?: Millis;
  /** Called after each reply with the size of the request and the reply together, for metrics. */
  onTraffic?: (bytes: number) => void;
}

/** Calls methods of other hosts; `close` closes its connections. */
export interface IPeerClient {
  send: SendToPeer;
  close: () => Promise<void>;
}

/** Options of the peer server. */
export interface IPeerServerOptions extends IPeerRpcOptions {
  ip: string;
  port: number;
  handlers: PeerHandlers;
  /** Connections to endpoints that other hosts may open by way of this one. Default: none. */
  tunnels?: ITunnelServerOptions;
}

/** A running peer server. */
export interface IPeerServer {
  port: number;
  /** Resolves once no other host has a tunnel open. */
  drainTunnels: () => Promise<void>;
  close: () => Promise<void>;
}

const DEFAULT_TIMEOUT_MS: Millis = 1000;

/** Shorter than a call may take, so that a connection to a lost host has ended when the next call to it is due. */
const CONNECT_TIMEOUT_MS: Millis = 500;

/** Largest request or reply that is read. */
const MAX_MESSAGE_BYTES = 8_388_608;

/** Creates the client side of JSON-RPC 2.0 over HTTP between hosts. */
export function createPeerClient(options: IPeerClientOptions): IPeerClient {
  const agent = createHttpAgent({
    connections: 4,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: 30_000,
  });
  return {
    send: async (host, method, params, timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS) => {
      const address = options.findAddress(host);
      if (address === undefined) return failCall('unreachable', `The host '${host}' is not known.`);
      // JSONRPCClient replaces an error thrown here with one that has no `code`, so the original is kept.
      let transportError: unknown;
      const client = new JSONRPCClient(async (message: JSONRPCRequest) => {
        try {
          client.receive(
            JSON.parse(await sendMessage(options, agent, { address, message, timeoutMs })) as JSONRPCResponse,
          );
          // The call would wait for good for a reply that is no reply to it. One that was answered is settled.
          client.rejectAllPendingRequests('The host sent no reply to the call.');
        } catch (error) {
          transportError = error;
          throw error;
        }
      });
      try {
        return Result.ok((await client.request(method, params)) as unknown);
      } catch (error) {
        return Result.err(mapToPeerError(transportError ?? error));
      }
    },
    close: () => agent.close(),
  };
}

/**
 * Starts the server side of JSON-RPC 2.0 over HTTP between hosts. It rejects requests that are not signed
 * with the key that all hosts share.
 */
export async function startPeerServer(options: IPeerServerOptions): Promise<IPeerServer> {
  const rpc = new JSONRPCServer<string>({ errorListener: () => undefined });
  for (const [method, handler] of Object.entries(options.handlers)) {
    rpc.addMethod(method, (params, from) => handler(params, from));
  }
  const server = createServer((request, response) => {
    void handleMessage(options, rpc, request, response);
  });
  const tunnels = options.tunnels && startTunnels(server, options.tunnels);
  await startListening(server, options.ip, options.port);
  return {
    port: (server.address() as AddressInfo).port,
    drainTunnels: () => tunnels?.drain() ?? Promise.resolve(),
    close: () => {
      tunnels?.close();
      return closeServer(server);
    },
  };
}

async function sendMessage(
  options: IPeerClientOptions,
  agent: Agent,
  { address, message, timeoutMs }: { address: string; message: JSONRPCRequest; timeoutMs: Millis },
): Promise<string> {
  const body = JSON.stringify(message);
  const reply = await agent.request({
    origin: `http://${address}`,
    path: '/rpc',
    method: 'POST',
    body,
    headers: {
      'content-type': 'application/json',
      'x-peer-host': options.host,
      'x-peer-lamport': String(options.lamport.read()),
      ...(options.key === undefined
        ? {}
        : { 'x-peer-signature': signMessage(options.key, options.host, body) }),
    },
    signal: AbortSignal.timeout(timeoutMs),
  });
  const text = await readLimitedText(reply.body, { maxBytes: MAX_MESSAGE_BYTES });
  options.onTraffic?.(body.length + text.length);
  if (reply.statusCode !== 200) throw new PeerStatusError(reply.statusCode);
  options.lamport.observe(Number(reply.headers['x-peer-lamport'] ?? 0));
  return text;
}

async function handleMessage(
  options: IPeerServerOptions,
  rpc: JSONRPCServer<string>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const body = await readMessage(request);
    const from = String(request.headers['x-peer-host'] ?? '');
    const signature = String(request.headers['x-peer-signature'] ?? '');
    if (options.key !== undefined && !verifySignature(options.key, from, body, signature)) {
      response.writeHead(401).end();
      return;
    }
    options.lamport.observe(Number(request.headers['x-peer-lamport'] ?? 0));
    const message = JSON.parse(body) as JSONRPCRequest | readonly unknown[];
    // No host sends batches, and the largest message has room for millions of calls.
    if (Array.isArray(message)) throw new RangeError('The message is a batch.');
    const reply = await rpc.receive(message as JSONRPCRequest, from);
    response.writeHead(200, {
      'content-type': 'application/json',
      'x-peer-lamport': String(options.lamport.read()),
    });
    response.end(JSON.stringify(reply));
  } catch {
    response.writeHead(400).end();
  }
}

async function readMessage(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > MAX_MESSAGE_BYTES) throw new RangeError('The message is too large.');
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}

function signMessage(key: string, host: string, body: string): string {
  return createHmac('sha256', key).update(`${host}\n`).update(body).digest('hex');
}

function verifySignature(key: string, host: string, body: string, signature: string): boolean {
  const expected = Buffer.from(signMessage(key, host, body));
  const received = Buffer.from(signature);
  return expected.length === received.length && timingSafeEqual(expected, received);
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

class PeerStatusError extends Error {
  constructor(public readonly status: number) {
    super(`The peer answered with status ${status}.`);
  }
}

function mapToPeerError(error: unknown): PeerError {
  const message = error instanceof Error ? error.message : String(error);
  if (isUnsent(error)) return { kind: 'unreachable', message };
  if (error instanceof PeerStatusError && error.status < 500) return { kind: 'rejected', message };
  return { kind: 'unknown-outcome', message };
}

function failCall(kind: PeerError['kind'], message: string): Result<never, PeerError> {
  return Result.err({ kind, message });
}

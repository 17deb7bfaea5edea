import { request, type IncomingMessage, type Server } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Result } from 'true-myth';
import type { ITunnelContext, RelayFailure, TunnelRefusal } from '../common/paths/Types.js';
import type { Millis } from '../common/Types.js';

/** Opens a connection to `target` by way of a host; both are `ip:port`. */
export type OpenTunnel = (host: string, target: string) => Promise<Result<Socket, RelayFailure>>;

/** Options of the function that opens tunnels. */
export interface IOpenTunnelOptions {
  /** Id of this host. */
  host: string;
  /** IP number that this host has announced, by which relays know it. */
  ip: string;
  /** Time within which a tunnel has to be open. Default 350. */
  timeoutMs?: Millis;
}

/** Options of the tunnels that a host offers to others. */
export interface ITunnelServerOptions extends ITunnelContext {
  /** Largest number of tunnels. Default 400. */
  maxTunnels?: number;
  /** Time within which the endpoint has to take the connection. Default 250. */
  timeoutMs?: Millis;
}

/** Tunnels that a host has open for others. */
export interface ITunnelServer {
  /** Number of open tunnels. */
  readonly size: number;
  /** Resolves once no tunnel is open. Hosts close those that they do not use within some seconds. */
  drain: () => Promise<void>;
  close: () => void;
}

const HOST_HEADER = 'x-peer-host';

/** Longer than a relay takes to find that the endpoint does not respond, so that its answer arrives. */
const DEFAULT_OPEN_TIMEOUT_MS: Millis = 350;
const DEFAULT_DIAL_TIMEOUT_MS: Millis = 250;
/** Each tunnel takes two descriptors, of some thousand that a process has. */
const DEFAULT_MAX_TUNNELS = 400;

const HTTP_OK = 200;
const HTTP_BAD_GATEWAY = 502;
const REFUSAL_STATUSES: Readonly<Record<TunnelRefusal, string>> = {
  'unknown-host': '403 Forbidden',
  'unknown-endpoint': '403 Forbidden',
  'endpoint-closed': '502 Bad Gateway',
  'not-serving': '503 Service Unavailable',
  'too-many': '503 Service Unavailable',
  'endpoint-unreachable': '502 Bad Gateway',
};

/**
 * Creates the function that opens connections by way of other hosts, by HTTP `CONNECT`. The bytes of the connection pass
 * through that host unchanged.
 * @example
 * const openTunnel = createOpenTunnel({ host: 'host-1', ip: '10.0.0.1' });
 * const opened = await openTunnel('10.0.0.2:7355', '10.0.0.9:8080'); // a socket, or the reason, within 350 ms
 */
export function createOpenTunnel({
  host,
  ip: ownIp,
  timeoutMs = DEFAULT_OPEN_TIMEOUT_MS,
}: IOpenTunnelOptions): OpenTunnel {
  return (relay, target) =>
    new Promise((resolve) => {
      const call = request({
        ...parseAddress(relay),
        localAddress: ownIp,
        method: 'CONNECT',
        path: target,
        headers: { [HOST_HEADER]: host },
        agent: false,
      });
      const timer = setTimeout(() => {
        call.destroy();
        resolve(Result.err('relay-unavailable'));
      }, timeoutMs);
      const fail = (status: number | undefined): void => {
        clearTimeout(timer);
        resolve(Result.err(status === HTTP_BAD_GATEWAY ? 'endpoint-unreachable' : 'relay-unavailable'));
      };
      call.once('connect', ({ statusCode }: IncomingMessage, socket: Socket) => {
        if (statusCode !== HTTP_OK) {
          socket.destroy();
          fail(statusCode);
          return;
        }
        clearTimeout(timer);
        socket.setNoDelay(true);
        resolve(Result.ok(socket));
      });
      call.once('response', (response) => {
        response.destroy();
        fail(response.statusCode);
      });
      call.on('error', () => {
        fail(undefined);
      });
      call.end();
    });
}

/**
 * Offers connections to endpoints to the other hosts, by HTTP `CONNECT` on a server. Each connection is opened directly,
 * so that no tunnel leads through a third host.
 * @example
 * const tunnels = startTunnels(server, { isEndpoint, isEndpointOpen, isHost, isServing, onRefused });
 */
export function startTunnels(server: Server, options: ITunnelServerOptions): ITunnelServer {
  const { maxTunnels = DEFAULT_MAX_TUNNELS, timeoutMs = DEFAULT_DIAL_TIMEOUT_MS } = options;
  const open = new Set<Duplex>();
  const drained: (() => void)[] = [];
  const findRefusal = (host: string, ip: string, target: string): TunnelRefusal | undefined => {
    if (!options.isHost(host, ip)) return 'unknown-host';
    if (!options.isEndpoint(target)) return 'unknown-endpoint';
    if (!options.isServing()) return 'not-serving';
    if (!options.isEndpointOpen(target)) return 'endpoint-closed';
    return open.size >= maxTunnels ? 'too-many' : undefined;
  };
  server.on('connect', (call: IncomingMessage, caller: Socket) => {
    const host = String(call.headers[HOST_HEADER] ?? '');
    const target = call.url ?? '';
    const refuse = (reason: TunnelRefusal): void => {
      options.onRefused(host, target, reason);
      caller.end(`HTTP/1.1 ${REFUSAL_STATUSES[reason]}\r\ncontent-length: 0\r\n\r\n`);
    };
    caller.on('error', () => undefined);
    const refusal = findRefusal(host, caller.remoteAddress ?? '', target);
    if (refusal !== undefined) {
      refuse(refusal);
      return;
    }
    open.add(caller);
    caller.once('close', () => {
      open.delete(caller);
      if (open.size === 0) for (const resolve of drained.splice(0)) resolve();
    });
    openPipe(caller, target, timeoutMs, () => {
      refuse('endpoint-unreachable');
    });
  });
  return {
    get size() {
      return open.size;
    },
    drain: () =>
      new Promise((resolve) => {
        if (open.size === 0) resolve();
        else drained.push(resolve);
      }),
    close: () => {
      for (const caller of open) caller.destroy();
    },
  };
}

/**
 * Connects to an endpoint and copies bytes both ways. An end in order is passed on as one, and a break as a reset: an
 * answer without a length is complete only if its connection ended in order.
 */
function openPipe(caller: Socket, target: string, timeoutMs: Millis, onUnreachable: () => void): void {
  const endpoint = connect({ ...parseAddress(target), noDelay: true });
  let isConnected = false;
  let hasEnded = false;
  const timer = setTimeout(() => {
    endpoint.destroy();
  }, timeoutMs);
  endpoint.on('error', () => undefined);
  endpoint.once('connect', () => {
    isConnected = true;
    clearTimeout(timer);
    caller.setNoDelay(true);
    caller.write('HTTP/1.1 200 Connection Established\r\n\r\n');
    caller.pipe(endpoint);
    endpoint.pipe(caller, { end: false });
  });
  endpoint.once('end', () => {
    // After a reset together with the last bytes libuv reports the end of the file, and the socket has lost its peer.
    if (endpoint.remoteAddress === undefined) return;
    hasEnded = true;
    caller.end();
  });
  endpoint.once('close', () => {
    clearTimeout(timer);
    if (caller.destroyed) return;
    if (!isConnected) onUnreachable();
    else if (!hasEnded) caller.resetAndDestroy();
  });
  caller.once('close', () => {
    endpoint.destroy();
  });
}

/** Parses `ip:port`, where an IPv6 number is in brackets. */
function parseAddress(address: string): { host: string; port: number } {
  const end = address.lastIndexOf(':');
  return { host: address.slice(0, end).replace(/^\[|\]$/g, ''), port: Number(address.slice(end + 1)) };
}

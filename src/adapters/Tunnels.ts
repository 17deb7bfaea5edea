import { request, type IncomingMessage, type Server } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Result } from 'true-myth';
import { createUniqueId } from './Random.js';
import type { ITunnelContext, RelayFailure, TunnelRefusal } from '../common/paths/Types.js';
import type { Millis } from '../common/Types.js';

/** Asks the relay of a connection whether the endpoint has closed it in order. */
export type CheckTunnelEnd = () => Promise<boolean>;

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
/** Names a tunnel, so that its relay can be asked about it later. */
const TUNNEL_HEADER = 'x-peer-tunnel';
/** Prefix of the target that asks whether a tunnel has ended in order. Hosts of older builds know no such endpoint. */
const ENDED_PREFIX = 'ended:';

/** Number of tunnels that a relay remembers after their end. A tunnel is asked about at once. */
const MAX_ENDED_TUNNELS = 1000;

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

const endChecks = new WeakMap<Socket, CheckTunnelEnd>();

/**
 * Finds the function that asks the relay of a connection how it ended; `undefined` for a direct connection.
 * @example
 * const checkEnd = findTunnelEndCheck(socket);
 * const hasEndedInOrder = checkEnd === undefined || (await checkEnd());
 */
export function findTunnelEndCheck(socket: Socket): CheckTunnelEnd | undefined {
  return endChecks.get(socket);
}

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
  const openConnection = (
    relay: string,
    target: string,
    tunnel: string,
  ): Promise<Result<Socket, RelayFailure>> =>
    new Promise((resolve) => {
      const call = request({
        ...parseAddress(relay),
        localAddress: ownIp,
        method: 'CONNECT',
        path: target,
        headers: { [HOST_HEADER]: host, [TUNNEL_HEADER]: tunnel },
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
  return async (relay, target) => {
    const tunnel = createUniqueId();
    const opened = await openConnection(relay, target, tunnel);
    if (opened.isErr) return opened;
    endChecks.set(opened.value, async () => {
      const confirmed = await openConnection(relay, `${ENDED_PREFIX}${tunnel}`, tunnel);
      if (confirmed.isOk) confirmed.value.destroy();
      return confirmed.isOk;
    });
    return opened;
  };
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
  /** Tunnels whose endpoints have closed them in order, the oldest first. */
  const ended = new Set<string>();
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
    if (target.startsWith(ENDED_PREFIX)) {
      const hasEnded = ended.delete(target.slice(ENDED_PREFIX.length));
      caller.end(`HTTP/1.1 ${hasEnded ? '200 OK' : '404 Not Found'}\r\n\r\n`);
      return;
    }
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
    openPipe(caller, target, timeoutMs, {
      onUnreachable: () => {
        refuse('endpoint-unreachable');
      },
      onEnd: () => {
        ended.add(String(call.headers[TUNNEL_HEADER] ?? ''));
        const [oldest] = ended;
        if (ended.size > MAX_ENDED_TUNNELS && oldest !== undefined) ended.delete(oldest);
      },
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

/** Events of a pipe between a host and an endpoint. */
interface IPipeListeners {
  onUnreachable: () => void;
  /** Called when the endpoint has closed its connection in order, before the caller's is closed. */
  onEnd: () => void;
}

/**
 * Connects to an endpoint and copies bytes both ways. An end in order is passed on as one, and a break as a reset: an
 * answer without a length is complete only if its connection ended in order.
 */
function openPipe(
  caller: Socket,
  target: string,
  timeoutMs: Millis,
  { onEnd, onUnreachable }: IPipeListeners,
): void {
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
    onEnd();
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

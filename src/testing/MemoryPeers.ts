import { Result } from 'true-myth';
import type { PeerError, PeerHandlers, PeerMethod, SendToPeer } from '../common/coordination/Peers.js';
import type { IClock, Millis } from '../common/Types.js';

/**
 * How one call is delivered. `deliver`: the request and the reply each arrive after `delayMs`.
 * `lose-request`: the peer does not receive the request. `lose-reply`: the peer handles the request after
 * `delayMs`, but the caller does not receive the reply.
 */
export interface IDelivery {
  kind: 'deliver' | 'lose-request' | 'lose-reply';
  delayMs: Millis;
  /** Delay of a second copy of the request. The peer's reply to it is discarded. Default: no copy. */
  repeatMs?: Millis;
}

/** Handled calls that a host has made or received, and the size of their JSON-RPC requests and replies. */
export interface IPeerTraffic {
  bytes: number;
  calls: number;
}

/** Options of `MemoryPeers`. */
export interface IMemoryPeersOptions {
  clock: IClock;
  chooseDelivery: (from: string, to: string) => IDelivery;
  /** Called with the method and the encoded size of each handled call, request and reply together. */
  onCall?: (method: PeerMethod, bytes: number) => void;
}

const CALL_TIMEOUT_MS = 1000;
const CALL_TIMED_OUT: PeerError = { kind: 'unknown-outcome', message: 'The peer did not answer in time.' };
const CONNECTION_REFUSED: PeerError = { kind: 'unreachable', message: 'The peer refused the connection.' };
const HANDLER_FAILED: PeerError = { kind: 'unknown-outcome', message: 'The peer answered with an error.' };

/**
 * Peer protocol in memory. Requests and replies are encoded as JSON and decoded again, so that tests measure
 * their size and fail on values that JSON does not preserve.
 */
export class MemoryPeers {
  public readonly handlers = new Map<string, PeerHandlers>();
  public readonly traffic = new Map<string, IPeerTraffic>();

  constructor(private readonly _options: IMemoryPeersOptions) {}

  /** Creates the function by which a host calls its peers. */
  public createSend(from: string): SendToPeer {
    return (to, method, params) =>
      new Promise((resolve) => {
        const { chooseDelivery, clock } = this._options;
        const timer = clock.schedule(CALL_TIMEOUT_MS, () => {
          resolve(Result.err(CALL_TIMED_OUT));
        });
        const settle = (result: Result<unknown, PeerError>): void => {
          timer.dispose();
          resolve(result);
        };
        const delivery = chooseDelivery(from, to);
        if (delivery.kind === 'lose-request') return;
        const encodedRequest = JSON.stringify({ jsonrpc: '2.0', id: 1, method, params });
        clock.schedule(delivery.delayMs, () => {
          void this._handle(from, to, method, encodedRequest).then((reply) => {
            if (delivery.kind === 'lose-reply') return;
            clock.schedule(delivery.delayMs, () => {
              settle(reply);
            });
          });
        });
        if (delivery.repeatMs === undefined) return;
        clock.schedule(delivery.repeatMs, () => void this._handle(from, to, method, encodedRequest));
      });
  }

  private async _handle(
    from: string,
    to: string,
    method: PeerMethod,
    encodedRequest: string,
  ): Promise<Result<unknown, PeerError>> {
    const handler = this.handlers.get(to)?.[method];
    if (!handler) return Result.err(CONNECTION_REFUSED);
    try {
      const result = await handler((JSON.parse(encodedRequest) as { params: unknown }).params, from);
      const encodedReply = JSON.stringify({ jsonrpc: '2.0', id: 1, result });
      this._countTraffic(method, encodedRequest.length + encodedReply.length, [from, to]);
      return Result.ok((JSON.parse(encodedReply) as { result: unknown }).result);
    } catch {
      return Result.err(HANDLER_FAILED);
    }
  }

  private _countTraffic(method: PeerMethod, bytes: number, hosts: readonly string[]): void {
    this._options.onCall?.(method, bytes);
    for (const host of hosts) {
      const traffic = this.traffic.get(host) ?? { bytes: 0, calls: 0 };
      this.traffic.set(host, { bytes: traffic.bytes + bytes, calls: traffic.calls + 1 });
    }
  }
}

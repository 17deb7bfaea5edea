import { Result } from 'true-myth';
import type { PeerError, PeerHandlers, PeerMethod, SendToPeer } from '../common/coordination/Peers.js';
import type { IClock, Millis } from '../common/Types.js';

/** What happens to one message: it arrives late, arrives twice, or is lost on the way. */
export interface IDelivery {
  kind: 'deliver' | 'lose-request' | 'lose-reply';
  delayMs: Millis;
  /** Delay of a second copy of the request. Default: no copy. */
  repeatMs?: Millis;
}

/** Traffic of one host: encoded bytes of JSON-RPC requests and replies, and calls, in both directions. */
export interface IPeerTraffic {
  bytes: number;
  calls: number;
}

/** Options of peers in memory. */
export interface IMemoryPeersOptions {
  clock: IClock;
  chooseDelivery: (from: string, to: string) => IDelivery;
  /** Called with the method and the encoded size of each handled call, request and reply together. */
  onCall?: (method: PeerMethod, bytes: number) => void;
}

const TIMEOUT_MS = 1000;
const LATE: PeerError = { kind: 'unknown-outcome', message: 'The peer did not answer in time.' };
const STOPPED: PeerError = { kind: 'unreachable', message: 'The peer refused the connection.' };
const FAILED: PeerError = { kind: 'unknown-outcome', message: 'The peer answered with an error.' };

/** Peer protocol in memory. Messages are encoded and decoded, so that sizes and lost types show. */
export class MemoryPeers {
  public readonly handlers = new Map<string, PeerHandlers>();
  public readonly traffic = new Map<string, IPeerTraffic>();

  constructor(private readonly _options: IMemoryPeersOptions) {}

  /** Creates the function by which a host calls its peers. */
  public createSend(from: string): SendToPeer {
    return (to, method, params) =>
      new Promise((resolve) => {
        const { chooseDelivery, clock } = this._options;
        const timer = clock.schedule(TIMEOUT_MS, () => {
          resolve(Result.err(LATE));
        });
        const settle = (result: Result<unknown, PeerError>): void => {
          timer.dispose();
          resolve(result);
        };
        const delivery = chooseDelivery(from, to);
        if (delivery.kind === 'lose-request') return;
        const text = JSON.stringify({ jsonrpc: '2.0', id: 1, method, params });
        clock.schedule(delivery.delayMs, () => {
          void this._handle(from, to, method, text).then((reply) => {
            if (delivery.kind === 'lose-reply') return;
            clock.schedule(delivery.delayMs, () => {
              settle(reply);
            });
          });
        });
        if (delivery.repeatMs === undefined) return;
        clock.schedule(delivery.repeatMs, () => void this._handle(from, to, method, text));
      });
  }

  private async _handle(
    from: string,
    to: string,
    method: PeerMethod,
    text: string,
  ): Promise<Result<unknown, PeerError>> {
    const handler = this.handlers.get(to)?.[method];
    if (!handler) return Result.err(STOPPED);
    try {
      const result = await handler((JSON.parse(text) as { params: unknown }).params, from);
      const reply = JSON.stringify({ jsonrpc: '2.0', id: 1, result });
      this._countBytes(method, text.length + reply.length, [from, to]);
      return Result.ok((JSON.parse(reply) as { result: unknown }).result);
    } catch {
      return Result.err(FAILED);
    }
  }

  private _countBytes(method: PeerMethod, bytes: number, hosts: readonly string[]): void {
    this._options.onCall?.(method, bytes);
    for (const host of hosts) {
      const traffic = this.traffic.get(host) ?? { bytes: 0, calls: 0 };
      this.traffic.set(host, { bytes: traffic.bytes + bytes, calls: traffic.calls + 1 });
    }
  }
}

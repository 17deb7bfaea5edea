import type { z } from 'zod';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAccountEntry, IRequestEntry } from '../blackboard/Types.js';
import type { PeerHandler, SendToPeer } from '../coordination/Peers.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { computeFallbackRate, computeUnleasedRate, SHARE_LEASE_MS } from '../policy/RateShares.js';
import type { IClock, Millis } from '../Types.js';
import { countLiveHosts, LEASE_REPLY } from './AccountShares.js';
import { formatAccount } from './RequestQueue.js';
import { computeBurst, TokenBucket } from './TokenBucket.js';

/** Options of the account limit controller. */
export interface IAccountLimitOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  host: string;
  sendToPeer: SendToPeer;
  /** The coordinating side at this host, for accounts that this host coordinates. */
  handleLease: PeerHandler;
  hashTexts: (...texts: readonly string[]) => string;
}

/** Interval of lease renewals; a lost one is repeated before the lease ends. */
const RENEW_MS = SHARE_LEASE_MS / 2;

/** Weight of the newest interval in the smoothed demand. */
const DEMAND_WEIGHT = 0.5;

/** Smallest change of demand, relative to the lease, that renews before the interval has passed. */
const SURGE_FACTOR = 1.5;

/** Shortest time between two renewals. */
const MIN_RENEW_MS = 200;

/** Renewals in a row without a request after which an account's state is dropped. */
const MAX_IDLE_RENEWALS = 4;

interface IAccountState {
  service: string;
  account: string;
  bucket: TokenBucket;
  /** Requests offered since the last renewal began. */
  offered: number;
  renewedAt: Millis;
  idleRenewals: number;
  /** When the coordinating host last had, or may have had, a call of this host. */
  contactAt: Millis;
  /** Whether the coordinating host knows of demand here, and so reserves an even share in silence. */
  isKnown: boolean;
  isRenewing: boolean;
  timer: IDisposable | undefined;
}

type LeaseReply = z.output<typeof LEASE_REPLY> | 'unreachable' | 'unknown';

/**
 * Admits requests within the limits of client accounts over all hosts. Each host has a token bucket per
 * account; its rate is leased from the account's coordinating host in proportion to demand, without a
 * call per request. Keeps the `accounts` panel.
 */
export class AccountLimitController extends Disposable {
  private readonly _states = new Map<string, IAccountState>();
  /** Counted at changes of the panel, not at each request. */
  private _liveHosts: number;

  constructor(private readonly _options: IAccountLimitOptions) {
    super();
    const { board } = _options;
    this._liveHosts = countLiveHosts(board);
    this._register(
      board.hosts.onChange(({ before, after }) => {
        if (before?.state !== after?.state) this._liveHosts = countLiveHosts(board);
      }),
    );
  }

  /** Takes one request from the account's share at this host; false when the share is used up. */
  public readonly takeRateShare = (request: IRequestEntry): boolean => {
    const limit = this._findLimit(request);
    if (limit === undefined) return true;
    const now = this._options.clock.now();
    const state = this._getState(request, limit, now);
    state.offered += 1;
    state.idleRenewals = 0;
    this._refreshRate(state, limit, now);
    if (this._isSurging(state, now)) void this._renew(state);
    return state.bucket.take(now);
  };

  public override dispose(): void {
    super.dispose();
    for (const { timer } of this._states.values()) timer?.dispose();
    this._states.clear();
  }

  private _getState(request: IRequestEntry, limit: number, now: Millis): IAccountState {
    const key = formatAccount(request);
    const known = this._states.get(key);
    if (known) return known;
    const { service, account } = request;
    const liveHosts = this._liveHosts;
    const burst = computeBurst(computeFallbackRate(limit, liveHosts));
    const state: IAccountState = {
      service,
      account,
      // Starts with the burst of an even share, so that the first requests need not wait for the lease.
      bucket: new TokenBucket(computeUnleasedRate(limit, liveHosts), burst, now),
      offered: 0,
      renewedAt: now,
      idleRenewals: 0,
      contactAt: now,
      isKnown: false,
      isRenewing: false,
      timer: undefined,
    };
    this._states.set(key, state);
    this._options.board.accounts.set(key, createAccount(service, account, now));
    void this._renew(state);
    return state;
  }

  private _isSurging(state: IAccountState, now: Millis): boolean {
    const sinceMs = now - state.renewedAt;
    if (state.isRenewing || sinceMs < MIN_RENEW_MS) return false;
    const leasedRate = this._getEntry(state)?.leasedRate ?? 0;
    return (state.offered * 1000) / sinceMs > SURGE_FACTOR * leasedRate;
  }

  private async _renew(state: IAccountState): Promise<void> {
    if (state.isRenewing || this._isDisposed) return;
    const { clock } = this._options;
    state.isRenewing = true;
    const sentAt = clock.now();
    const demand = this._measureDemand(state, sentAt);
    state.renewedAt = sentAt;
    state.offered = 0;
    if (demand === 0) state.isKnown = false;
    const reply = await this._lease(state, demand);
    state.isRenewing = false;
    if (reply !== 'unreachable') state.contactAt = clock.now();
    if (typeof reply === 'object') {
      state.isKnown = demand > 0;
      // Counted from the sending, so that the lease ends here before it ends at the coordinating host.
      this._updateEntry(state, { demand, leasedRate: reply.rate, leasedUntil: sentAt + reply.leaseMs });
    } else this._updateEntry(state, { demand });
    const limit = this._findLimit(state);
    if (limit !== undefined) this._refreshRate(state, limit, clock.now());
    this._scheduleRenewal(state);
  }

  private _scheduleRenewal(state: IAccountState): void {
    if (this._isDisposed) return;
    state.timer?.dispose();
    state.idleRenewals += 1;
    if (state.idleRenewals > MAX_IDLE_RENEWALS) {
      this._states.delete(formatAccount(state));
      this._options.board.accounts.delete(formatAccount(state));
      return;
    }
    state.timer = this._options.clock.schedule(RENEW_MS, () => void this._renew(state));
  }

  private _measureDemand(state: IAccountState, now: Millis): number {
    const sinceMs = now - state.renewedAt;
    const known = this._getEntry(state)?.demand ?? 0;
    if (state.offered === 0 && state.idleRenewals >= 2) return 0;
    if (sinceMs <= 0) return Math.max(known, state.offered);
    const offered = (state.offered * 1000) / sinceMs;
    return offered > known ? offered : known + DEMAND_WEIGHT * (offered - known);
  }

  /** The coordinating host is the live host with the highest rendezvous rank for the account. */
  private async _lease(state: IAccountState, demand: number): Promise<LeaseReply> {
    const { handleLease, host, sendToPeer } = this._options;
    const { account, service } = state;
    const params = { service, account, demand };
    const coordinator = this._findCoordinator(formatAccount(state));
    if (coordinator === host) return LEASE_REPLY.parse(await handleLease(params, host));
    const result = await sendToPeer(coordinator, 'account.lease', params);
    if (result.isErr) return result.error.kind === 'unreachable' ? 'unreachable' : 'unknown';
    return LEASE_REPLY.safeParse(result.value).data ?? 'unknown';
  }

  private _findCoordinator(key: string): string {
    const { board, hashTexts, host } = this._options;
    let best = host;
    let bestRank = hashTexts(key, host);
    for (const { id, state } of board.hosts.list()) {
      if (state !== 'alive' && state !== 'suspect') continue;
      const rank = hashTexts(key, id);
      if (rank > bestRank) [best, bestRank] = [id, rank];
    }
    return best;
  }

  /**
   * Sets the bucket's rate: the lease while it lasts; an even share when the coordinating host knows this
   * host and has been out of reach for two leases (this host's lease has then ended there, and so have
   * those that other hosts got before); else the small rate that needs no lease.
   */
  private _refreshRate(state: IAccountState, limit: number, now: Millis): void {
    const liveHosts = this._liveHosts;
    const entry = this._getEntry(state);
    const unleased = computeUnleasedRate(limit, liveHosts);
    const isLeased = entry !== undefined && entry.leasedUntil > now;
    const isCutOff = state.isKnown && now - state.contactAt > 2 * SHARE_LEASE_MS;
    const rate = isLeased
      ? entry.leasedRate + unleased
      : isCutOff
        ? computeFallbackRate(limit, liveHosts)
        : unleased;
    state.bucket.setRate(rate, now);
  }

  private _findLimit({ account, service }: { service: string; account: string }): number | undefined {
    return this._options.board.services.get(service)?.document.accounts[account]?.requestsPerSecond;
  }

  private _getEntry(state: IAccountState): Readonly<IAccountEntry> | undefined {
    return this._options.board.accounts.get(formatAccount(state));
  }

  private _updateEntry(state: IAccountState, patch: Partial<IAccountEntry>): void {
    this._options.board.accounts.update(formatAccount(state), patch);
  }
}

function createAccount(service: string, account: string, now: Millis): IAccountEntry {
  return { service, account, inFlight: 0, leasedRate: 0, leasedUntil: now, demand: 0 };
}

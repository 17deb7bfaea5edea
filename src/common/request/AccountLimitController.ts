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
  /** Handles `account.lease` for the accounts that this host coordinates itself. */
  handleLease: PeerHandler;
  hashTexts: (...texts: readonly string[]) => string;
}

/**
 * Interval of lease renewals: half of the lease, so that a lost renewal is repeated before the lease ends.
 */
const RENEW_MS = SHARE_LEASE_MS / 2;

/** Weight of the newest interval in the smoothed demand when demand falls; a rise counts at once. */
const DEMAND_WEIGHT = 0.5;

/**
 * Demand, as a multiple of the leased rate, above which the lease is renewed before `RENEW_MS` has passed.
 */
const SURGE_FACTOR = 1.5;

/** Shortest time between two renewals. */
const MIN_RENEW_MS = 200;

/** Renewals in a row without a request after which the state of an account is removed. */
const MAX_IDLE_RENEWALS = 4;

interface IAccountState {
  service: string;
  account: string;
  bucket: TokenBucket;
  /** Requests, admitted or not, since the last renewal began. */
  offeredRequests: number;
  /** When the last renewal began. */
  renewedAt: Millis;
  /** Renewals since the last request. */
  idleRenewals: number;
  /**
   * When a lease call last ended with a reply, or with an error that leaves open whether the call arrived.
   */
  lastContactAt: Millis;
  /**
   * Whether the coordinating host knows of demand at this host. It then keeps an even share of the limit
   * reserved for this host, even if it hears no more of it.
   */
  hasReportedDemand: boolean;
  isRenewing: boolean;
  timer: IDisposable | undefined;
}

type LeaseReply = z.output<typeof LEASE_REPLY> | 'unreachable' | 'unknown';

/**
 * Enforces the rate limits of client accounts across all hosts. Each host has a token bucket per account,
 * whose rate it leases from the account's coordinating host in proportion to the demand, so that no call per
 * request is needed. Maintains the `accounts` panel.
 */
export class AccountLimitController extends Disposable {
  private readonly _states = new Map<string, IAccountState>();
  /** Cached count of the live hosts; updated when the state of a host changes, not at each request. */
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

  /** Takes one request from this host's share of the account's limit; false if the share is used up. */
  public readonly takeRateShare = (request: IRequestEntry): boolean => {
    const limit = this._findLimit(request);
    if (limit === undefined) return true;
    const now = this._options.clock.now();
    const state = this._getState(request, limit, now);
    state.offeredRequests += 1;
    state.idleRenewals = 0;
    this._refreshRate(state, limit, now);
    if (this._hasDemandSurge(state, now)) void this._renew(state);
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
      // The bucket starts with the burst of an even share, so that the first requests need not wait for a
      // lease.
      bucket: new TokenBucket(computeUnleasedRate(limit, liveHosts), burst, now),
      offeredRequests: 0,
      renewedAt: now,
      idleRenewals: 0,
      lastContactAt: now,
      hasReportedDemand: false,
      isRenewing: false,
      timer: undefined,
    };
    this._states.set(key, state);
    this._options.board.accounts.set(key, createAccountEntry(service, account, now));
    void this._renew(state);
    return state;
  }

  private _hasDemandSurge(state: IAccountState, now: Millis): boolean {
    const elapsedMs = now - state.renewedAt;
    if (state.isRenewing || elapsedMs < MIN_RENEW_MS) return false;
    const leasedRate = this._getEntry(state)?.leasedRate ?? 0;
    return (state.offeredRequests * 1000) / elapsedMs > SURGE_FACTOR * leasedRate;
  }

  private async _renew(state: IAccountState): Promise<void> {
    if (state.isRenewing || this._isDisposed) return;
    const { clock } = this._options;
    state.isRenewing = true;
    const sentAt = clock.now();
    const demand = this._measureDemand(state, sentAt);
    state.renewedAt = sentAt;
    state.offeredRequests = 0;
    if (demand === 0) state.hasReportedDemand = false;
    const reply = await this._lease(state, demand);
    state.isRenewing = false;
    if (reply !== 'unreachable') state.lastContactAt = clock.now();
    if (typeof reply === 'object') {
      state.hasReportedDemand = demand > 0;
      // The lease runs from the time of sending, so that it ends here before it ends at the coordinating
      // host.
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
    const elapsedMs = now - state.renewedAt;
    const previousDemand = this._getEntry(state)?.demand ?? 0;
    if (state.offeredRequests === 0 && state.idleRenewals >= 2) return 0;
    if (elapsedMs <= 0) return Math.max(previousDemand, state.offeredRequests);
    const offeredRate = (state.offeredRequests * 1000) / elapsedMs;
    return offeredRate > previousDemand
      ? offeredRate
      : previousDemand + DEMAND_WEIGHT * (offeredRate - previousDemand);
  }

  /** Asks the account's coordinating host, which may be this host, for a lease. */
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

  /**
   * Finds the account's coordinating host: the live host with the highest rendezvous rank for the account.
   */
  private _findCoordinator(key: string): string {
    const { board, hashTexts, host } = this._options;
    let coordinator = host;
    let highestRank = hashTexts(key, host);
    for (const { id, state } of board.hosts.list()) {
      if (state !== 'alive' && state !== 'suspect') continue;
      const rank = hashTexts(key, id);
      if (rank > highestRank) [coordinator, highestRank] = [id, rank];
    }
    return coordinator;
  }

  /**
   * Sets the bucket's rate. While a lease lasts, it is the leased rate plus the unleased rate. It is an even
   * share of the limit if the coordinating host knows of demand here and has been unreachable for two lease
   * times: by then this host's last lease has ended there, and so have the earlier leases of other hosts.
   * Otherwise it is the small rate that needs no lease.
   */
  private _refreshRate(state: IAccountState, limit: number, now: Millis): void {
    const liveHosts = this._liveHosts;
    const entry = this._getEntry(state);
    const unleasedRate = computeUnleasedRate(limit, liveHosts);
    const isLeased = entry !== undefined && entry.leasedUntil > now;
    const isCoordinatorUnreachable =
      state.hasReportedDemand && now - state.lastContactAt > 2 * SHARE_LEASE_MS;
    const rate = isLeased
      ? entry.leasedRate + unleasedRate
      : isCoordinatorUnreachable
        ? computeFallbackRate(limit, liveHosts)
        : unleasedRate;
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

function createAccountEntry(service: string, account: string, now: Millis): IAccountEntry {
  return { service, account, inFlight: 0, leasedRate: 0, leasedUntil: now, demand: 0 };
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import type { ComputeAttemptInterval, IEndpointRateLimit, IFactStore } from './Types.js';

/** Options of the rate limit controller. */
export interface IRateLimitOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  /** Id of this host. */
  host: string;
  store: Pick<IFactStore, 'writeRateLimit'>;
  computeAttemptInterval: ComputeAttemptInterval;
}

/**
 * Largest random delay before a limit is written to the store. Several hosts hear of it within the same second, and one
 * write suffices.
 */
const MAX_WRITE_DELAY_MS: Millis = 400;

/** Largest number of processes without an announcement whose limits are kept. */
const MAX_SAVED_LIMITS = 1024;

/**
 * Time after which an endpoint that is not announced is gone for good. It is alive and limited if its heartbeats are lost or
 * it is cut off from the store, or if only this host has lost it. Such outages last minutes.
 */
const GONE_PERIOD_MS: Millis = 3_600_000;

/** Largest random delay before the limit of an endpoint that is gone is deleted from the store. */
const MAX_DELETION_DELAY_MS: Millis = 600_000;

const WRITE_RETRY_MS: Millis = 1000;

/** Time for which what an endpoint said to this host goes before what another host wrote, which may be older. */
const OWN_NEWS_PRECEDENCE_MS: Millis = 2500;

/** A limit in the store, and the era of the store in which it was read. */
interface ISharedLimit extends IEndpointRateLimit {
  era: number;
}

/**
 * Keeps this host to its share of the rate that an endpoint takes from all hosts together. Hosts share through the
 * store what an endpoint said, so that those that it has not told keep to the limit too, and those that send it nothing
 * hear of its end. A new incarnation of an endpoint begins without a limit. A process that is announced again is the same
 * as before, and so is its limit.
 */
export class RateLimitController extends Disposable {
  /** Limits in the store, by endpoint. */
  private readonly _sharedLimits = new Map<string, ISharedLimit>();
  /** Last entries of endpoints that named a limit and are not announced any more, by endpoint. */
  private readonly _departedEndpoints = new Map<string, IEndpointEntry>();
  /** Timers that let this host send to an endpoint again. */
  private readonly _reopenTimers = new Map<string, IDisposable>();
  private readonly _writeTimers = new Map<string, IDisposable>();
  /** Timers that delete the shared limits of endpoints that are gone. */
  private readonly _deletionTimers = new Map<string, IDisposable>();
  /** Timers that look again at a shared limit that was older than what the endpoint had said. */
  private readonly _compareTimers = new Map<string, IDisposable>();

  constructor(private readonly _options: IRateLimitOptions) {
    super();
    const { board } = _options;
    this._register(
      board.endpoints.onChange(({ key, before, after }) => {
        if (after) this._handleChange(before, after);
        else if (before) this._removeEndpoint(key, before);
      }),
    );
    this._register(
      board.facts.onChange(({ before, after }) => {
        const { fact } = after ?? before ?? {};
        if (fact?.kind !== 'rate-limit') return;
        const { endpoint } = fact.limit;
        if (after) this._sharedLimits.set(endpoint, { ...fact.limit, era: after.era ?? 0 });
        else {
          this._sharedLimits.delete(endpoint);
          clearTimer(this._deletionTimers, endpoint);
        }
        this._applySharedLimit(endpoint);
        if (!board.endpoints.has(endpoint)) this._scheduleDeletion(endpoint);
      }),
    );
    this._register(
      board.storeConnection.onChange(({ before, after }) => {
        if (before && (after?.era ?? 0) > (before.era ?? 0)) this._scheduleLimitWrites();
      }),
    );
    this._register(
      board.presentHosts.onChange(({ before, after }) => {
        if (before && after) return;
        for (const endpoint of [...board.endpoints.list()])
          if (endpoint.maxRequestsPerS !== undefined) this._updateInterval(endpoint);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    for (const timers of [this._reopenTimers, this._writeTimers, this._compareTimers, this._deletionTimers]) {
      for (const timer of timers.values()) timer.dispose();
      timers.clear();
    }
  }

  private _handleChange(before: IEndpointEntry | undefined, after: IEndpointEntry): void {
    const isSameProcess = before?.incarnation === after.incarnation;
    if (!before) clearTimer(this._deletionTimers, after.id);
    if (!before || !isSameProcess) {
      this._restoreLimit(after.id);
      if (this._sharedLimits.has(after.id)) this._applySharedLimit(after.id);
    }
    if (after.maxRequestsPerS !== before?.maxRequestsPerS) {
      this._updateInterval(after);
      if (isSameProcess || after.maxRequestsPerS !== undefined) this._scheduleWrite(after.id);
    }
    if (after.nextAttemptAt !== before?.nextAttemptAt) this._scheduleReopening(after);
  }

  /** Gives an endpoint that is announced again the limit that its process had, and this host the time of its turn. */
  private _restoreLimit(id: string): void {
    const { board } = this._options;
    const departed = this._departedEndpoints.get(id);
    this._departedEndpoints.delete(id);
    const endpoint = board.endpoints.get(id);
    if (!endpoint || !departed || endpoint.rateLimitHeardAt !== undefined) return;
    if (departed.incarnation !== endpoint.incarnation || departed.address !== endpoint.address) return;
    const { attemptDueAt, attemptIntervalMs, maxRequestsPerS, nextAttemptAt, rateLimitHeardAt } = departed;
    const pace = this._computeInterval({ ...endpoint, maxRequestsPerS, nextAttemptAt });
    const hasKeptPace = pace.attemptIntervalMs === attemptIntervalMs;
    board.endpoints.update(id, {
      maxRequestsPerS,
      rateLimitHeardAt,
      attemptDueAt,
      ...(hasKeptPace ? { attemptIntervalMs, nextAttemptAt } : pace),
    });
  }

  /** Takes over what another host heard from an endpoint, unless this host has heard otherwise since. */
  private _applySharedLimit(id: string): void {
    const { board, clock } = this._options;
    const endpoint = board.endpoints.get(id);
    if (!endpoint || this._compareTimers.has(id)) return;
    const maxRequestsPerS = this._findSharedLimit(endpoint);
    if (maxRequestsPerS === endpoint.maxRequestsPerS) return;
    const ownNewsAgeMs = clock.now() - (endpoint.rateLimitHeardAt ?? -Infinity);
    if (ownNewsAgeMs >= OWN_NEWS_PRECEDENCE_MS) {
      board.endpoints.update(id, {
        maxRequestsPerS,
        ...this._computeInterval({ ...endpoint, maxRequestsPerS }),
      });
      return;
    }
    const timer = clock.schedule(OWN_NEWS_PRECEDENCE_MS - ownNewsAgeMs, () => {
      this._compareTimers.delete(id);
      this._applySharedLimit(id);
    });
    this._compareTimers.set(id, timer);
  }

  private _findSharedLimit({ id, incarnation = 0 }: IEndpointEntry): number | undefined {
    const shared = this._sharedLimits.get(id);
    return shared?.startedAt === incarnation ? shared.requestsPerS : undefined;
  }

  /** Brings the interval in line with the limit and the hosts, if it is not. */
  private _updateInterval(endpoint: IEndpointEntry): void {
    const pace = this._computeInterval(endpoint);
    if (pace.attemptIntervalMs !== endpoint.attemptIntervalMs)
      this._options.board.endpoints.update(endpoint.id, pace);
  }

  /** Computes this host's interval for the limit of an endpoint. It is set in the same update as the limit. */
  private _computeInterval({
    id,
    maxRequestsPerS,
    nextAttemptAt,
  }: IEndpointEntry): Pick<IEndpointEntry, 'attemptIntervalMs' | 'nextAttemptAt'> {
    const { board, clock, computeAttemptInterval, host, random } = this._options;
    if (maxRequestsPerS === undefined) return { attemptIntervalMs: undefined, nextAttemptAt: undefined };
    const hosts = [...board.presentHosts.list()].map((entry) => entry.host);
    const attemptIntervalMs = computeAttemptInterval({
      endpoint: id,
      host,
      hosts,
      requestsPerS: maxRequestsPerS,
    });
    // The hosts hear of a limit at about the same time, so they begin at random times.
    const firstAt =
      attemptIntervalMs === Infinity ? Infinity : clock.now() + attemptIntervalMs * (0.5 + 0.5 * random());
    const isWaiting = nextAttemptAt !== undefined && nextAttemptAt !== Infinity;
    return {
      attemptIntervalMs,
      nextAttemptAt: isWaiting ? Math.min(nextAttemptAt, firstAt) : firstAt,
    };
  }

  private _scheduleReopening({ id, nextAttemptAt }: IEndpointEntry): void {
    const { board, clock } = this._options;
    clearTimer(this._reopenTimers, id);
    if (nextAttemptAt === undefined || nextAttemptAt === Infinity) return;
    const timer = clock.schedule(nextAttemptAt - clock.now(), () => {
      this._reopenTimers.delete(id);
      board.endpoints.update(id, { nextAttemptAt: undefined, attemptDueAt: nextAttemptAt });
    });
    this._reopenTimers.set(id, timer);
  }

  private _scheduleWrite(id: string, delayMs = MAX_WRITE_DELAY_MS * this._options.random()): void {
    if (this._writeTimers.has(id) || this._isDisposed) return;
    const timer = this._options.clock.schedule(delayMs, () => {
      this._writeTimers.delete(id);
      void this._writeLimit(id);
    });
    this._writeTimers.set(id, timer);
  }

  /** Writes the limits that a restored store may lack; the first host that writes one spares the others the write. */
  private _scheduleLimitWrites(): void {
    for (const { id, maxRequestsPerS } of this._options.board.endpoints.list())
      if (maxRequestsPerS !== undefined) this._scheduleWrite(id);
  }

  /** Writes what an endpoint said, unless another host has done so. */
  private async _writeLimit(id: string): Promise<void> {
    const { board, store } = this._options;
    const endpoint = board.endpoints.get(id);
    if (!endpoint) return;
    const shared = this._findSharedLimit(endpoint);
    const era = board.storeConnection.get('store')?.era ?? 0;
    const isInStore = shared === undefined || this._sharedLimits.get(id)?.era === era;
    if (shared === endpoint.maxRequestsPerS && isInStore) return;
    const { incarnation: startedAt = 0, maxRequestsPerS: requestsPerS } = endpoint;
    const written = await store.writeRateLimit({ endpoint: id, startedAt, requestsPerS });
    if (written.isErr) this._scheduleWrite(id, WRITE_RETRY_MS);
  }

  private _removeEndpoint(id: string, departed: IEndpointEntry): void {
    for (const timers of [this._reopenTimers, this._writeTimers, this._compareTimers]) clearTimer(timers, id);
    this._saveLimit(departed);
    this._scheduleDeletion(id);
  }

  private _scheduleDeletion(id: string): void {
    const { clock, random } = this._options;
    if (!this._sharedLimits.has(id) || this._deletionTimers.has(id)) return;
    const timer = clock.schedule(GONE_PERIOD_MS + MAX_DELETION_DELAY_MS * random(), () => {
      this._deletionTimers.delete(id);
      void this._deleteSharedLimit(id);
    });
    this._deletionTimers.set(id, timer);
  }

  /** Deletes the limit of an endpoint that is gone, unless another host has done so. */
  private async _deleteSharedLimit(id: string): Promise<void> {
    const shared = this._sharedLimits.get(id);
    if (!shared || this._isDisposed) return;
    const written = await this._options.store.writeRateLimit({
      endpoint: id,
      startedAt: shared.startedAt,
      requestsPerS: undefined,
    });
    if (written.isErr) this._scheduleDeletion(id);
  }

  private _saveLimit(departed: IEndpointEntry): void {
    const { id, maxRequestsPerS, rateLimitHeardAt } = departed;
    this._departedEndpoints.delete(id);
    if (maxRequestsPerS === undefined && rateLimitHeardAt === undefined) return;
    this._departedEndpoints.set(id, departed);
    const [oldest] = this._departedEndpoints.keys();
    if (this._departedEndpoints.size > MAX_SAVED_LIMITS && oldest !== undefined)
      this._departedEndpoints.delete(oldest);
  }
}

function clearTimer(timers: Map<string, IDisposable>, id: string): void {
  timers.get(id)?.dispose();
  timers.delete(id);
}

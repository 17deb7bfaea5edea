import type { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import type { StoreError } from '../coordination/Types.js';
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
 * Time after which an endpoint that is not announced is gone for good. Until then it may be alive and limited: its
 * heartbeats are lost, it is cut off from the store, or only this host has lost it. Such outages last minutes.
 */
const GONE_PERIOD_MS: Millis = 3_600_000;

/** Largest random delay before the limit of an endpoint that is gone is deleted from the store. */
const MAX_DELETION_DELAY_MS: Millis = 600_000;

const WRITE_RETRY_MS: Millis = 1000;
const MAX_WRITE_RETRY_MS: Millis = 32_000;

/** Time for which what an endpoint said to this host goes before what another host wrote, which may be older. */
const OWN_NEWS_PRECEDENCE_MS: Millis = 2500;

/**
 * Time from reading of the end of a limit until it counts. The store may carry out the write of an end seconds late, when
 * the endpoint names a limit again. A host that hears so has time to write it and the others to read it.
 */
const END_SETTLING_MS: Millis = 4000;

/** A limit in the store, or its end. */
interface ISharedLimit extends IEndpointRateLimit {
  /** Revision of the record; 0 if it was deleted. */
  revision: number;
  /** Era of the store in which it was read. */
  era: number;
  readAt: Millis;
}

/** How far what an endpoint said to this host has been written. */
interface IWriteState {
  /** Whether the endpoint has said something else than the store has. */
  hasNews: boolean;
  /** Number of conflicts in a row, each with the same known record. */
  conflicts: number;
  /** Revision of the record at which the store may still carry out a write of this host. */
  doubtfulRevision?: number;
}

/**
 * Keeps this host to its share of the rate that an endpoint takes from all hosts together. Hosts share through the
 * store what an endpoint said, so that those that it has not told keep to the limit too, and those that send it nothing
 * hear of its end. Each write is on the condition that the record is the one that the host knows. A new incarnation of an
 * endpoint begins without a limit. A process that is announced again is the same as before, and so is its limit.
 */
export class RateLimitController extends Disposable {
  /** Limits in the store and their ends, by endpoint. */
  private readonly _sharedLimits = new Map<string, ISharedLimit>();
  /** Last entries of endpoints that named a limit and are not announced any more, by endpoint. */
  private readonly _departedEndpoints = new Map<string, IEndpointEntry>();
  /** Timers that let this host send to an endpoint again. */
  private readonly _reopenTimers = new Map<string, IDisposable>();
  private readonly _writeTimers = new Map<string, IDisposable>();
  private readonly _writeStates = new Map<string, IWriteState>();
  /** Timers that delete the shared limits of endpoints that are gone. */
  private readonly _deletionTimers = new Map<string, IDisposable>();
  /** Timers that look again at a shared limit or end that does not count yet. */
  private readonly _compareTimers = new Map<string, IDisposable>();

  constructor(private readonly _options: IRateLimitOptions) {
    super();
    const { board, clock } = _options;
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
        // Builds before this one delete the record of a limit that has ended.
        const limit: IEndpointRateLimit = after ? fact.limit : { ...fact.limit, requestsPerS: 'none' };
        const [revision, era] = after ? [after.revision, after.era ?? 0] : [0, this._era];
        this._recordSharedLimit({ ...limit, revision, era, readAt: clock.now() });
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
          if (endpoint.maxRequestsPerS !== undefined) this._updateInterval(endpoint.id);
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
    const { id, maxRequestsPerS, nextAttemptAt, rateLimitHeardAt } = after;
    const isSameProcess = before !== undefined && isProcessOf(before, after);
    if (!before) clearTimer(this._deletionTimers, id);
    if (!isSameProcess) {
      this._restoreLimit(id);
      this._applySharedLimit(id);
    }
    if (maxRequestsPerS !== before?.maxRequestsPerS) this._updateInterval(id);
    if (isSameProcess && rateLimitHeardAt !== before.rateLimitHeardAt) this._compareWithShared(id);
    if (nextAttemptAt !== before?.nextAttemptAt) this._scheduleReopening(after);
  }

  /** Lets this host write what an endpoint has said to it, if the store has something else. */
  private _compareWithShared(id: string): void {
    const endpoint = this._options.board.endpoints.get(id);
    if (!endpoint || this._isStored(endpoint)) return;
    const { rateLimitHeardAt: heardAt = -Infinity } = endpoint;
    if (heardAt < (this._findSharedLimit(endpoint)?.readAt ?? -Infinity)) return;
    this._updateWriteState(id, { hasNews: true });
    this._scheduleWrite(id);
  }

  private _updateWriteState(id: string, patch: Partial<IWriteState>): void {
    const state = this._writeStates.get(id) ?? { hasNews: false, conflicts: 0 };
    this._writeStates.set(id, { ...state, ...patch });
  }

  /** Tells whether the store has the limit that is known of an endpoint, and no late write of this host replaces it. */
  private _isStored(endpoint: IEndpointEntry): boolean {
    const shared = this._findSharedLimit(endpoint);
    const requestsPerS = endpoint.maxRequestsPerS ?? 'none';
    if (!shared) return requestsPerS === 'none';
    const isInDoubt = this._writeStates.get(endpoint.id)?.doubtfulRevision === shared.revision;
    return shared.requestsPerS === requestsPerS && shared.era === this._era && !isInDoubt;
  }

  private get _era(): number {
    return this._options.board.storeConnection.get('store')?.era ?? 0;
  }

  private _recordSharedLimit(shared: ISharedLimit): void {
    const { endpoint: id, era, requestsPerS, revision } = shared;
    const known = this._sharedLimits.get(id);
    // This host knows of its own write before it reads it, and may read an earlier one in between.
    if (known?.era === era && revision > 0 && revision <= known.revision) return;
    this._sharedLimits.set(id, shared);
    // Of two hosts that write at the same time, the one with a limit goes first. If the limit has ended, the endpoint
    // says so again.
    const hasNews = requestsPerS === 'none' && (this._writeStates.get(id)?.hasNews ?? false);
    this._updateWriteState(id, { hasNews, conflicts: 0 });
  }

  /** Gives an endpoint that is announced again the limit that its process had, and this host the time of its turn. */
  private _restoreLimit(id: string): void {
    const { board } = this._options;
    const departed = this._departedEndpoints.get(id);
    this._departedEndpoints.delete(id);
    const endpoint = board.endpoints.get(id);
    if (!endpoint || endpoint.rateLimitHeardAt !== undefined) return;
    if (!departed || !isProcessOf(departed, endpoint)) {
      this._writeStates.delete(id);
      return;
    }
    const { attemptDueAt, attemptIntervalMs, maxRequestsPerS, nextAttemptAt } = departed;
    const { rateLimitHeardAt, rateLimitSource } = departed;
    const pace = this._computeInterval({ ...endpoint, maxRequestsPerS, nextAttemptAt });
    const hasKeptPace = pace.attemptIntervalMs === attemptIntervalMs;
    board.endpoints.update(id, {
      maxRequestsPerS,
      rateLimitSource,
      rateLimitHeardAt,
      attemptDueAt,
      ...(hasKeptPace ? { attemptIntervalMs, nextAttemptAt } : pace),
    });
  }

  /** Takes over what another host heard from an endpoint, unless this host has heard otherwise since. */
  private _applySharedLimit(id: string): void {
    const { board, clock } = this._options;
    clearTimer(this._compareTimers, id);
    const endpoint = board.endpoints.get(id);
    const shared = endpoint && this._findSharedLimit(endpoint);
    if (!shared) return;
    const maxRequestsPerS = shared.requestsPerS === 'none' ? undefined : shared.requestsPerS;
    const { rateLimitHeardAt: heardAt = -Infinity } = endpoint;
    if (maxRequestsPerS === endpoint.maxRequestsPerS || heardAt > shared.readAt) return;
    const dueAt =
      maxRequestsPerS === undefined ? shared.readAt + END_SETTLING_MS : heardAt + OWN_NEWS_PRECEDENCE_MS;
    if (clock.now() >= dueAt) {
      this._updateWriteState(id, { hasNews: false });
      board.endpoints.update(id, {
        maxRequestsPerS,
        rateLimitSource: 'shared',
        ...this._computeInterval({ ...endpoint, maxRequestsPerS }),
      });
      return;
    }
    const timer = clock.schedule(dueAt - clock.now(), () => {
      this._compareTimers.delete(id);
      this._applySharedLimit(id);
    });
    this._compareTimers.set(id, timer);
  }

  private _findSharedLimit({ id, incarnation = 0 }: IEndpointEntry): ISharedLimit | undefined {
    const shared = this._sharedLimits.get(id);
    return shared?.startedAt === incarnation ? shared : undefined;
  }

  /** Brings the interval in line with the limit and the hosts, if it is not. */
  private _updateInterval(id: string): void {
    const { endpoints } = this._options.board;
    const endpoint = endpoints.get(id);
    if (!endpoint) return;
    const pace = this._computeInterval(endpoint);
    if (pace.attemptIntervalMs !== endpoint.attemptIntervalMs) endpoints.update(id, pace);
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

  /** Writes what an endpoint said to this host, or what a restored store has lost, unless another host has done so. */
  private async _writeLimit(id: string): Promise<void> {
    const endpoint = this._options.board.endpoints.get(id);
    if (!endpoint || this._isStored(endpoint)) return;
    const { incarnation: startedAt = 0, maxRequestsPerS: requestsPerS = 'none' } = endpoint;
    const shared = this._sharedLimits.get(id);
    const { conflicts = 0, hasNews = false } = this._writeStates.get(id) ?? {};
    const isLost = shared?.startedAt === startedAt && shared.requestsPerS === requestsPerS;
    const isOfLaterProcess = shared !== undefined && shared.startedAt > startedAt;
    if (isOfLaterProcess || !(isLost || hasNews)) return;
    const written = await this._putLimit(id, { endpoint: id, startedAt, requestsPerS });
    if (written.isOk) return;
    const isConflict = written.error.kind === 'conflict';
    // The news of the other write may still come. If the record cannot be read, they never do.
    if (isConflict) this._updateWriteState(id, { conflicts: conflicts + 1 });
    const delayMs = isConflict ? WRITE_RETRY_MS * 2 ** conflicts : WRITE_RETRY_MS;
    this._scheduleWrite(id, Math.min(MAX_WRITE_RETRY_MS, delayMs));
  }

  /** Replaces the record of an endpoint's limit, if it is the one known, or deletes it. */
  private async _putLimit(
    id: string,
    limit: IEndpointRateLimit | undefined,
  ): Promise<Result<number, StoreError>> {
    const { clock, store } = this._options;
    const { _era: era } = this;
    const readAt = clock.now();
    const shared = this._sharedLimits.get(id);
    const expectedRevision = shared?.era === era ? shared.revision : 0;
    const written = await store.writeRateLimit(id, limit, expectedRevision, era);
    if (written.isOk) {
      this._writeStates.delete(id);
      if (limit) this._recordSharedLimit({ ...limit, revision: written.value, era, readAt });
      this._compareWithShared(id);
    } else if (limit && written.error.kind !== 'conflict') {
      this._updateWriteState(id, { doubtfulRevision: expectedRevision });
    }
    return written;
  }

  private _removeEndpoint(id: string, departed: IEndpointEntry): void {
    for (const timers of [this._reopenTimers, this._writeTimers, this._compareTimers]) clearTimer(timers, id);
    this._saveLimit(departed);
    this._scheduleDeletion(id);
  }

  private _scheduleDeletion(id: string): void {
    const { clock, random } = this._options;
    if (this._sharedLimits.get(id)?.revision === 0) {
      this._sharedLimits.delete(id);
      this._writeStates.delete(id);
      clearTimer(this._deletionTimers, id);
    }
    if (!this._sharedLimits.has(id) || this._deletionTimers.has(id)) return;
    const timer = clock.schedule(GONE_PERIOD_MS + MAX_DELETION_DELAY_MS * random(), () => {
      this._deletionTimers.delete(id);
      void this._deleteSharedLimit(id);
    });
    this._deletionTimers.set(id, timer);
  }

  /** Deletes the limit of an endpoint that is gone, unless another host has done so. */
  private async _deleteSharedLimit(id: string): Promise<void> {
    if (this._isDisposed) return;
    const written = await this._putLimit(id, undefined);
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

function isProcessOf(first: IEndpointEntry, second: IEndpointEntry): boolean {
  return first.incarnation === second.incarnation && first.address === second.address;
}

function clearTimer(timers: Map<string, IDisposable>, id: string): void {
  timers.get(id)?.dispose();
  timers.delete(id);
}

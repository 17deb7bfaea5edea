import type { Blackboard } from '../blackboard/Blackboard.js';
import { hasPeerContact } from '../coordination/Readiness.js';
import type { IStore, IStoreValue, StoreError } from '../coordination/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import type { IConfigCodec } from './ConfigApplier.js';
import type { Result } from 'true-myth';

/**
 * Computes a host's rank for choosing the watching hosts by rendezvous hashing: in each availability zone,
 * the hosts with the lowest ranks watch the index.
 */
export type ComputeWatcherRank = (host: string) => string;

/** Options of `ConfigStoreReader`. */
export interface IConfigStoreReaderOptions {
  board: Blackboard;
  store: IStore;
  clock: IClock;
  codec: IConfigCodec;
  random: RandomSource;
  /** Id of this host. */
  self: string;
  zone: string;
  computeWatcherRank: ComputeWatcherRank;
  /** Number of hosts in each availability zone that watch the index. Default 2. */
  watchersPerZone?: number;
  /** Longest wait of one watch call. Default 1000, so that a lost connection is noticed within 2 s. */
  watchTimeoutMs?: Millis;
  /** Delay before the index is read again after a failed read. Default 250. */
  retryDelayMs?: Millis;
  /**
   * Mean time between two sample reads by any hosts of the fleet. Default 200: the store receives at most
   * about 5 sample reads per second, however many hosts there are. Sample reads find a revision that none of
   * the watching hosts can read.
   */
  fleetSampleIntervalMs?: Millis;
}

/**
 * How this host learns of a new index: with `watch`, its calls wait in the store for a change; with
 * `sample`, it reads the index at random intervals.
 */
export type ReaderRole = 'watch' | 'sample';

/**
 * Outcome of a read of the index. `done`: the index is no newer than the revision in force, or has been put
 * in force by this read. `failed`: a store call failed or a document was missing; the next read may succeed.
 * `unusable`: the store holds a configuration that is not valid on this host.
 */
type ReadOutcome = 'done' | 'failed' | 'unusable';

/** Delay before an unusable configuration is read again. Long, as an operator has to correct it first. */
const UNUSABLE_RETRY_DELAY_MS = 2000;
/** Shortest mean time between two sample reads of one host, and the time after which it checks its role. */
const MIN_SAMPLE_INTERVAL_MS = 1000;

/**
 * Reads the configuration from the store and offers it on the `configuration` panel. Some hosts of each
 * availability zone watch the index; the others receive changes from peers and read it from time to time.
 */
export class ConfigStoreReader extends Disposable {
  private readonly _options: Required<IConfigStoreReaderOptions>;
  private readonly _ranksByHost = new Map<string, string>();
  private _cancelWait: (() => void) | undefined;

  constructor(options: IConfigStoreReaderOptions) {
    super();
    this._options = {
      watchersPerZone: 2,
      watchTimeoutMs: 1000,
      retryDelayMs: 250,
      fleetSampleIntervalMs: 200,
      ...options,
    };
  }

  /** Reads the index whenever it may have changed, until the reader is disposed. */
  public async run(): Promise<void> {
    let outcome = await this._readIndex('sample');
    while (!this._isDisposed) {
      if (outcome === 'failed') await this._wait(this._options.retryDelayMs);
      if (outcome === 'unusable') await this._wait(UNUSABLE_RETRY_DELAY_MS);
      await this._waitForNextSample();
      outcome = await this._readIndex(this._chooseRole());
    }
  }

  public override dispose(): void {
    super.dispose();
    this._cancelWait?.();
  }

  private _chooseRole(): ReaderRole {
    const { board, clock, self, watchersPerZone, zone } = this._options;
    // Without contact to peers, this host learns of changes only from the store, so it watches the index
    // itself. As long as it has no configuration at all, it reads the index at short intervals instead.
    if (!hasPeerContact(board, clock.now())) return this._getRevisionInForce() === 0 ? 'sample' : 'watch';
    const candidates = [...board.hosts.list()].filter((host) => host.zone === zone && host.state === 'alive');
    const ranks = candidates.map((host) => this._getWatcherRank(host.id)).sort();
    const highestWatchingRank = ranks[Math.min(watchersPerZone, ranks.length) - 1];
    return highestWatchingRank !== undefined && this._getWatcherRank(self) <= highestWatchingRank
      ? 'watch'
      : 'sample';
  }

  private async _readIndex(role: ReaderRole): Promise<ReadOutcome> {
    if (this._hasBeenDisposed()) return 'done';
    const { board, clock } = this._options;
    const found = await this._queryStore(role);
    if (this._hasBeenDisposed() || found.isErr) return 'failed';
    board.contacts.set('store', { at: clock.now() });
    // The store may answer with a stale value. The revision in force on a host never decreases.
    if (!found.value || found.value.version <= this._getRevisionInForce()) return 'done';
    return this._readAndOfferConfig(found.value);
  }

  private _queryStore(role: ReaderRole): Promise<Result<IStoreValue | undefined, StoreError>> {
    const { codec, store, watchTimeoutMs } = this._options;
    if (role === 'sample') return store.get(codec.indexKey);
    return store.watch(codec.indexKey, this._getRevisionInForce(), watchTimeoutMs);
  }

  /** Reads the documents that this host does not hold yet, then offers the whole configuration. */
  private async _readAndOfferConfig(found: IStoreValue): Promise<ReadOutcome> {
    const { board, store } = this._options;
    const keys = this._listDocumentKeys(found.value);
    if (!keys) return 'unusable';
    const heldRecords = board.configuration.get('in-force')?.records ?? {};
    const records: Record<string, string> = {};
    const reads = keys.map(async (key) => {
      const read = heldRecords[key] === undefined ? await store.get(key) : undefined;
      const value = heldRecords[key] ?? (read?.isOk ? read.value?.value : undefined);
      if (value !== undefined) records[key] = value;
    });
    await Promise.all(reads);
    if (this._isDisposed || Object.keys(records).length < keys.length) return 'failed';
    board.configuration.set('offered', {
      revision: found.version,
      index: found.value,
      records,
      from: 'store',
    });
    return this._getRevisionInForce() >= found.version ? 'done' : 'unusable';
  }

  private _listDocumentKeys(index: string): string[] | undefined {
    const { codec } = this._options;
    try {
      const { services } = codec.decodeIndex(index);
      return Object.entries(services).map(([service, number]) => codec.formatDocumentKey(service, number));
    } catch {
      return undefined;
    }
  }

  /**
   * Waits until this host's next sample read is due; does not wait on a watching host. The wait is divided
   * into steps, so that a host that becomes a watching host begins to watch soon.
   */
  private async _waitForNextSample(): Promise<void> {
    const { board, clock, random, fleetSampleIntervalMs } = this._options;
    if (this._chooseRole() === 'watch') return;
    const meanIntervalMs =
      this._getRevisionInForce() === 0 ? MIN_SAMPLE_INTERVAL_MS : board.hosts.size * fleetSampleIntervalMs;
    const nextSampleAt = clock.now() + Math.max(MIN_SAMPLE_INTERVAL_MS, meanIntervalMs) * (0.5 + random());
    for (
      let remainingMs = nextSampleAt - clock.now();
      remainingMs > 0 && !this._isDisposed;
      remainingMs = nextSampleAt - clock.now()
    ) {
      await this._wait(Math.min(remainingMs, MIN_SAMPLE_INTERVAL_MS));
      if (this._chooseRole() === 'watch') return;
    }
  }

  /** Reads the flag through a method, because the compiler assumes that it is unchanged after an `await`. */
  private _hasBeenDisposed(): boolean {
    return this._isDisposed;
  }

  private _getRevisionInForce(): number {
    return this._options.board.configuration.get('in-force')?.revision ?? 0;
  }

  private _getWatcherRank(host: string): string {
    const rank = this._ranksByHost.get(host) ?? this._options.computeWatcherRank(host);
    this._ranksByHost.set(host, rank);
    return rank;
  }

  private _wait(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      const timer = this._options.clock.schedule(delay, resolve);
      this._cancelWait = () => {
        timer.dispose();
        resolve();
      };
    });
  }
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import { hasPeerContact } from '../coordination/Readiness.js';
import type { IStore, IStoreValue, StoreError } from '../coordination/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import type { IConfigCodec } from './ConfigFeed.js';
import type { Result } from 'true-myth';

/** Computes the rendezvous rank of a host as a watcher; the lowest two of each zone watch. */
export type RankWatcher = (host: string) => string;

/** Options of the reader of the configuration in the store. */
export interface IConfigStoreReaderOptions {
  board: Blackboard;
  store: IStore;
  clock: IClock;
  codec: IConfigCodec;
  random: RandomSource;
  /** Id of this host. */
  self: string;
  zone: string;
  rankWatcher: RankWatcher;
  /** Watching hosts in each availability zone. Default 2. */
  watchersPerZone?: number;
  /** Longest wait of one watch call. Default 1000, so that a lost connection is noticed within 2 s. */
  watchTimeoutMs?: Millis;
  /** Wait after a failed call. Default 250. */
  retryDelayMs?: Millis;
  /**
   * Mean time between two sample reads of all hosts together. Default 200: 5 reads/s whatever the size
   * of the fleet. Samples find a revision that no watcher can see.
   */
  sampleMs?: Millis;
}

/** How this host follows the index: a watcher waits for changes, the others read it now and then. */
export type ReaderRole = 'watch' | 'sample';

/** `failed` may succeed at the next try; `unusable` is what the store holds but this host cannot use. */
type ReadOutcome = 'done' | 'failed' | 'unusable';

/** Wait before an index that is not valid here is read again; an operator has to correct it first. */
const UNUSABLE_DELAY_MS = 2000;
/** Shortest mean time between two sample reads of one host. */
const MIN_SAMPLE_MS = 1000;

/** Reads the configuration from the store and offers it on the `configuration` panel. */
export class ConfigStoreReader extends Disposable {
  private readonly _options: Required<IConfigStoreReaderOptions>;
  private readonly _ranks = new Map<string, string>();
  private _wake: (() => void) | undefined;

  constructor(options: IConfigStoreReaderOptions) {
    super();
    this._options = {
      watchersPerZone: 2,
      watchTimeoutMs: 1000,
      retryDelayMs: 250,
      sampleMs: 200,
      ...options,
    };
  }

  /** Follows the index until the reader is disposed. */
  public async run(): Promise<void> {
    let outcome = await this._readIndex('sample');
    while (!this._isDisposed) {
      if (outcome === 'failed') await this._wait(this._options.retryDelayMs);
      if (outcome === 'unusable') await this._wait(UNUSABLE_DELAY_MS);
      await this._waitWhileSampling();
      outcome = await this._readIndex(this._chooseRole());
    }
  }

  public override dispose(): void {
    super.dispose();
    this._wake?.();
  }

  private _chooseRole(): ReaderRole {
    const { board, clock, self, watchersPerZone, zone } = this._options;
    // A host without peers would hear of no change; one without a configuration asks at short intervals.
    if (!hasPeerContact(board, clock.now())) return this._getRevision() === 0 ? 'sample' : 'watch';
    const candidates = [...board.hosts.list()].filter((host) => host.zone === zone && host.state === 'alive');
    const ranks = candidates.map((host) => this._getRank(host.id)).sort();
    const limit = ranks[Math.min(watchersPerZone, ranks.length) - 1];
    return limit !== undefined && this._getRank(self) <= limit ? 'watch' : 'sample';
  }

  private async _readIndex(role: ReaderRole): Promise<ReadOutcome> {
    if (this._hasEnded()) return 'done';
    const { board, clock } = this._options;
    const found = await this._queryStore(role);
    if (this._hasEnded() || found.isErr) return 'failed';
    board.contacts.set('store', { at: clock.now() });
    // A store may answer with an old value; revisions only ever grow.
    if (!found.value || found.value.version <= this._getRevision()) return 'done';
    return this._collectRecords(found.value);
  }

  private _queryStore(role: ReaderRole): Promise<Result<IStoreValue | undefined, StoreError>> {
    const { codec, store, watchTimeoutMs } = this._options;
    if (role === 'sample') return store.get(codec.indexKey);
    return store.watch(codec.indexKey, this._getRevision(), watchTimeoutMs);
  }

  /** Reads the documents that are not known yet, then offers all. */
  private async _collectRecords(found: IStoreValue): Promise<ReadOutcome> {
    const { board, store } = this._options;
    const keys = this._listDocumentKeys(found.value);
    if (!keys) return 'unusable';
    const known = board.configuration.get('in-force')?.records ?? {};
    const records: Record<string, string> = {};
    const reads = keys.map(async (key) => {
      const read = known[key] === undefined ? await store.get(key) : undefined;
      const value = known[key] ?? (read?.isOk ? read.value?.value : undefined);
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
    return this._getRevision() >= found.version ? 'done' : 'unusable';
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

  /** Waits for this host's share of the samples, in steps, so that a change of role is noticed. */
  private async _waitWhileSampling(): Promise<void> {
    const { board, clock, random, sampleMs } = this._options;
    if (this._chooseRole() === 'watch') return;
    const mean = this._getRevision() === 0 ? MIN_SAMPLE_MS : board.hosts.size * sampleMs;
    const end = clock.now() + Math.max(MIN_SAMPLE_MS, mean) * (0.5 + random());
    for (let left = end - clock.now(); left > 0 && !this._isDisposed; left = end - clock.now()) {
      await this._wait(Math.min(left, MIN_SAMPLE_MS));
      if (this._chooseRole() === 'watch') return;
    }
  }

  private _hasEnded(): boolean {
    return this._isDisposed;
  }

  private _getRevision(): number {
    return this._options.board.configuration.get('in-force')?.revision ?? 0;
  }

  private _getRank(host: string): string {
    const rank = this._ranks.get(host) ?? this._options.rankWatcher(host);
    this._ranks.set(host, rank);
    return rank;
  }

  private _wait(delay: Millis): Promise<void> {
    return new Promise((resolve) => {
      const timer = this._options.clock.schedule(delay, resolve);
      this._wake = () => {
        timer.dispose();
        resolve();
      };
    });
  }
}

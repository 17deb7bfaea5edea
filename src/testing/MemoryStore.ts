import { Result, Unit } from 'true-myth';
import type { IStore, IStoreValue, StoreError } from '../common/coordination/Types.js';
import type { IClock } from '../common/Types.js';

/**
 * Fault of one store call. `unavailable`: the call fails and has no effect. `lost-request` and `lost-reply`:
 * the caller of a write learns that its outcome is unknown; the write takes effect only with `lost-reply`. A
 * read or a watch fails with `unavailable` on any fault.
 */
export type StoreFault = 'none' | 'unavailable' | 'lost-request' | 'lost-reply';

/** Options of `MemoryStore`. */
export interface IMemoryStoreOptions {
  clock: IClock;
  /** Chooses the fault of each call. Default: none. */
  chooseFault?: (operation: 'get' | 'put' | 'delete' | 'watch', key: string) => StoreFault;
}

/** Key-value service in memory, with expiry, watches and injected faults, for tests of the controllers. */
export class MemoryStore implements IStore {
  public readonly entries = new Map<string, IStoreValue>();
  /** Number of calls by operation, including those that failed. */
  public readonly counts = { get: 0, put: 0, delete: 0, watch: 0 };
  private readonly _watchers = new Set<() => void>();
  private _lastVersion = 0;

  constructor(private readonly _options: IMemoryStoreOptions) {}

  public readonly get: IStore['get'] = (key) => {
    this.counts.get += 1;
    if (this._chooseFault('get', key) !== 'none') return Promise.resolve(Result.err(UNAVAILABLE));
    return Promise.resolve(Result.ok(this.entries.get(key)));
  };

  public readonly put: IStore['put'] = (key, value, options) => {
    this.counts.put += 1;
    if (value.length > MAX_VALUE_CHARACTERS) return Promise.resolve(Result.err(UNAVAILABLE));
    const fault = this._chooseFault('put', key);
    if (fault === 'unavailable') return Promise.resolve(Result.err(UNAVAILABLE));
    if (fault === 'lost-request') return Promise.resolve(Result.err(UNKNOWN_OUTCOME));
    const written = this._compareAndSwap(key, options.expectedVersion, value, options.ttlMs);
    return Promise.resolve(fault === 'lost-reply' ? Result.err(UNKNOWN_OUTCOME) : written);
  };

  public readonly delete: IStore['delete'] = (key, expectedVersion) => {
    this.counts.delete += 1;
    const fault = this._chooseFault('delete', key);
    if (fault === 'unavailable') return Promise.resolve(Result.err(UNAVAILABLE));
    if (fault === 'lost-request') return Promise.resolve(Result.err(UNKNOWN_OUTCOME));
    const current = this.entries.get(key);
    if ((current?.version ?? 0) !== expectedVersion)
      return Promise.resolve(Result.err({ kind: 'conflict', current }));
    this.entries.delete(key);
    return Promise.resolve(fault === 'lost-reply' ? Result.err(UNKNOWN_OUTCOME) : Result.ok(Unit));
  };

  public readonly watch: IStore['watch'] = (key, afterVersion, timeoutMs) => {
    this.counts.watch += 1;
    if (this._chooseFault('watch', key) !== 'none') return Promise.resolve(Result.err(UNAVAILABLE));
    return new Promise((resolve) => {
      const settle = (result: IStoreValue | undefined): void => {
        this._watchers.delete(resolveIfChanged);
        timer.dispose();
        resolve(Result.ok(result));
      };
      const resolveIfChanged = (): void => {
        const current = this.entries.get(key);
        if (current && current.version > afterVersion) settle(current);
      };
      const timer = this._options.clock.schedule(timeoutMs, () => {
        settle(undefined);
      });
      this._watchers.add(resolveIfChanged);
      resolveIfChanged();
    });
  };

  private _compareAndSwap(
    key: string,
    expectedVersion: number,
    value: string,
    ttlMs: number | undefined,
  ): Result<number, StoreError> {
    const current = this.entries.get(key);
    if ((current?.version ?? 0) !== expectedVersion) return Result.err({ kind: 'conflict', current });
    this._lastVersion += 1;
    const version = this._lastVersion;
    this.entries.set(key, { value, version });
    if (ttlMs !== undefined) this._scheduleExpiry(key, version, ttlMs);
    for (const notifyWatcher of [...this._watchers]) notifyWatcher();
    return Result.ok(version);
  }

  private _scheduleExpiry(key: string, version: number, ttlMs: number): void {
    this._options.clock.schedule(ttlMs, () => {
      if (this.entries.get(key)?.version === version) this.entries.delete(key);
    });
  }

  private _chooseFault(operation: 'get' | 'put' | 'delete' | 'watch', key: string): StoreFault {
    return this._options.chooseFault?.(operation, key) ?? 'none';
  }
}

/** Largest length of a value that the platform's store accepts. */
const MAX_VALUE_CHARACTERS = 1_048_576;

const UNAVAILABLE: StoreError = { kind: 'unavailable', message: 'The store is down.' };
const UNKNOWN_OUTCOME: StoreError = { kind: 'unknown-outcome', message: 'The reply was lost.' };

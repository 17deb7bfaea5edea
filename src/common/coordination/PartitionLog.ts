import { Result, Unit } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { PartitionPhase } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import {
  applyEntry,
  createPartitionState,
  expireRecords,
  restoreBillRecord,
  type IPartitionState,
} from './PartitionState.js';
import { PartitionStorage, type IPartitionStorageOptions } from './PartitionStorage.js';
import type { AppendOutcome, IBillTotal, IJournalRecord, JournalEntry, JournalError } from './Types.js';

/** Options of a partition log. */
export interface IPartitionLogOptions extends IPartitionStorageOptions {
  board: Blackboard;
  clock: IClock;
  /** Wall-clock time in milliseconds, for retention only. */
  readWallClock: () => number;
  /** Shortest time between the starts of two commits; bounds the writes per second. Default 40. */
  commitIntervalMs?: Millis;
  /** When a commit has been in progress for longer than this, new appends fail at once. Default 500. */
  failFastAfterMs?: Millis;
  /** How long an append waits for its commit. Default 3000. */
  appendTimeoutMs?: Millis;
  /** How long finished records of idempotency keys are kept. Default 7 days. */
  retentionMs?: Millis;
  /** How long records of keys that no caller can repeat are kept. Default 1 hour. */
  shortRetentionMs?: Millis;
}

interface IPendingAppend {
  entries: readonly JournalEntry[];
  /** Characters of the entries as JSON. */
  jsonLength: number;
  settle: (result: Result<readonly AppendOutcome[], JournalError>) => void;
}

const DAY_MS = 86_400_000;
const HOUR_MS = 3_600_000;
/** Callers' clocks may be ahead by this much, so that UUIDv7 keys seem younger than their records. */
const CLOCK_SKEW_MS = HOUR_MS;
const MAX_PENDING_APPENDS = 20_000;
/**
 * Longest batch in characters of JSON, except for a single append that is longer. The store takes values of
 * up to 1 MB, and a character takes up to 3 bytes. A batch that the store rejects for its size would block
 * the partition for ever.
 */
const MAX_BATCH_CHARACTERS = 200_000;

/**
 * Writes one journal partition on the host that owns it. Collects entries and commits them in batches,
 * one batch at a time. When another host has taken the partition, the next commit fails and the log stops.
 */
export class PartitionLog extends Disposable {
  private _state: IPartitionState = createPartitionState();
  private _pending: IPendingAppend[] = [];
  private _lastCommitAt = Number.NEGATIVE_INFINITY;
  private _commitStartedAt: Millis | undefined;
  private _isCommitScheduled = false;
  private _phase: PartitionPhase = 'unowned';
  private readonly _storage: PartitionStorage;
  private readonly _options: Required<
    Omit<IPartitionLogOptions, keyof Omit<IPartitionStorageOptions, 'partition' | 'host'>>
  > & { clock: IClock };

  constructor(options: IPartitionLogOptions) {
    super();
    this._options = {
      commitIntervalMs: 40,
      failFastAfterMs: 500,
      appendTimeoutMs: 3000,
      retentionMs: 7 * DAY_MS,
      shortRetentionMs: HOUR_MS,
      ...options,
    };
    this._storage = new PartitionStorage(options);
    this._writePanel();
  }

  /** Loads the whole partition and makes this host its owner. */
  public async open(): Promise<Result<Unit, JournalError>> {
    this._setPhase('loading');
    const loaded = await this._storage.load();
    if (loaded.isErr) {
      this._setPhase('unowned');
      return Result.err(loaded.error);
    }
    this._state = loaded.value;
    if ((await this._storage.takeOwnership()) === 'fenced') {
      this._setPhase('fenced');
      return Result.err({ kind: 'not-owner', message: 'Another host took the partition first.' });
    }
    this._setPhase('owned');
    return Result.ok(Unit);
  }

  /** Appends entries atomically; resolves when they are durable. */
  public append(entries: readonly JournalEntry[]): Promise<Result<readonly AppendOutcome[], JournalError>> {
    const rejection = this._findRejection();
    if (rejection) return Promise.resolve(Result.err(rejection));
    return new Promise((resolve) => {
      const timeout = this._options.clock.schedule(this._options.appendTimeoutMs, () => {
        resolve(Result.err({ kind: 'unknown-outcome', message: 'The commit did not finish in time.' }));
      });
      this._pending.push({
        entries,
        jsonLength: JSON.stringify(entries).length,
        settle: (result) => {
          timeout.dispose();
          resolve(result);
        },
      });
      this._scheduleCommit();
    });
  }

  /** Reads the record of a key, after all earlier appends have become durable. */
  public async readRecord(key: string): Promise<Result<IJournalRecord | undefined, JournalError>> {
    const barrier = await this.append([]);
    return barrier.map(() => this._state.records.get(key));
  }

  /** Lists the totals of the bills in this partition, by service and client account. */
  public listTotals(): readonly IBillTotal[] {
    return [...this._state.totals.values()];
  }

  /** Waits until every accepted append has been committed or has failed. */
  public async drain(): Promise<void> {
    if (this._phase === 'owned') await this.append([]);
  }

  public override dispose(): void {
    if (this._isDisposed) return;
    this._storage.close();
    this._failPending({ kind: 'not-owner', message: 'The partition log is closed.' });
    this._setPhase('unowned');
    super.dispose();
  }

  private _findRejection(): JournalError | undefined {
    if (this._phase !== 'owned') return { kind: 'not-owner', message: `The partition is ${this._phase}.` };
    if (this._pending.length >= MAX_PENDING_APPENDS) {
      return { kind: 'unavailable', message: 'Too many appends are waiting.' };
    }
    const now = this._options.clock.now();
    if (now - (this._commitStartedAt ?? now) > this._options.failFastAfterMs) {
      return { kind: 'unavailable', message: 'The store does not answer.' };
    }
    return undefined;
  }

  private _scheduleCommit(): void {
    if (this._isCommitScheduled || this._pending.length === 0 || this._phase !== 'owned') return;
    this._isCommitScheduled = true;
    const wait = this._lastCommitAt + this._options.commitIntervalMs - this._options.clock.now();
    this._options.clock.schedule(Math.max(0, wait), () => {
      void this._runCommit();
    });
  }

  private async _runCommit(): Promise<void> {
    const appends = this._takeBatch();
    await this._restoreExpiredBillRecords(appends);
    const written: JournalEntry[] = [];
    const outcomes = appends.map((append) => this._applyEntries(append.entries, written));
    if (written.length > 0 && !(await this._commitBatch(written))) {
      this._stopAsFenced(appends);
      return;
    }
    appends.forEach((append, index) => {
      append.settle(Result.ok(outcomes[index] ?? []));
    });
    if (!(await this._writeCheckpointIfDue())) {
      this._stopAsFenced([]);
      return;
    }
    this._isCommitScheduled = false;
    this._scheduleCommit();
  }

  private _takeBatch(): IPendingAppend[] {
    let length = 0;
    const end = this._pending.findIndex((append, index) => {
      length += append.jsonLength;
      return index > 0 && length > MAX_BATCH_CHARACTERS;
    });
    return this._pending.splice(0, end < 0 ? this._pending.length : end);
  }

  /**
   * Restores the records of bills that were counted before and whose records may have expired since. Such
   * bills come from a host that was cut off for a long time and then repeats appends with an unknown
   * outcome. They must not be counted again.
   */
  private async _restoreExpiredBillRecords(appends: readonly IPendingAppend[]): Promise<void> {
    const before = this._options.readWallClock() - this._options.shortRetentionMs;
    for (const entry of appends.flatMap((append) => append.entries)) {
      if (entry.kind !== 'bill' || entry.atMs >= before) continue;
      if (this._state.records.get(entry.key)?.billedRequest !== undefined) continue;
      const found = await this._storage.findArchivedBill(entry.key, entry.atMs);
      if (found) restoreBillRecord(this._state, found);
    }
  }

  private _applyEntries(entries: readonly JournalEntry[], written: JournalEntry[]): AppendOutcome[] {
    return entries.map((entry) => {
      const before = this._state.records.get(entry.key);
      const outcome = applyEntry(this._state, entry);
      // An entry that changed nothing is not written, so each bill is in the log once.
      if (this._state.records.get(entry.key) !== before) written.push(entry);
      return outcome;
    });
  }

  private async _commitBatch(entries: readonly JournalEntry[]): Promise<boolean> {
    this._lastCommitAt = this._options.clock.now();
    this._commitStartedAt = this._lastCommitAt;
    const outcome = await this._storage.commit(entries);
    this._commitStartedAt = undefined;
    this._writePanel();
    return outcome === 'committed';
  }

  private async _writeCheckpointIfDue(): Promise<boolean> {
    if (!this._storage.needsCheckpoint()) return true;
    const now = this._options.readWallClock();
    expireRecords(this._state, {
      short: now - this._options.shortRetentionMs,
      long: now - this._options.retentionMs - CLOCK_SKEW_MS,
    });
    return (await this._storage.writeCheckpoint(this._state)) === 'committed';
  }

  private _stopAsFenced(appends: readonly IPendingAppend[]): void {
    this._isCommitScheduled = false;
    this._setPhase('fenced');
    // The failed batch may still be committed if the log was closed while a swap was in progress.
    const unknown: JournalError = { kind: 'unknown-outcome', message: 'The partition changed its owner.' };
    for (const append of appends) append.settle(Result.err(unknown));
    this._failPending({ kind: 'not-owner', message: 'Another host owns the partition.' });
  }

  private _failPending(error: JournalError): void {
    const pending = this._pending;
    this._pending = [];
    for (const append of pending) append.settle(Result.err(error));
  }

  private _setPhase(phase: PartitionPhase): void {
    if (this._isDisposed) return;
    this._phase = phase;
    this._writePanel();
  }

  private _writePanel(): void {
    // After the disposal, the panel entry may describe a newer log of the same partition.
    if (this._isDisposed) return;
    const { partition, host, board } = this._options;
    const known = board.partitions.get(partition)?.owner;
    const other = known === host ? undefined : known;
    board.partitions.set(partition, {
      partition,
      phase: this._phase,
      owner: this._phase === 'owned' ? host : other,
      epoch: this._storage.head.epoch,
      nextSequence: this._storage.head.sequence,
    });
  }
}

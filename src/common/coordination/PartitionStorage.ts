import { Result } from 'true-myth';
import type { IClock, Millis } from '../Types.js';
import {
  applyEntry,
  buildState,
  createPartitionState,
  buildSnapshots,
  type IPartitionSnapshot,
  type IPartitionState,
} from './PartitionState.js';
import type {
  IBill,
  IBillTotal,
  IStore,
  IStoreValue,
  JournalEntry,
  JournalError,
  StoreError,
} from './Types.js';

/**
 * Value of the key `journal/<partition>/head`. A compare-and-swap of it commits a batch and also fences
 * former owners: the store never reuses a version, so an owner that another host has replaced can never
 * swap the head again, however long it was paused.
 */
export interface IPartitionHead {
  /**
   * Id of the last batch. A writer that lost the reply recognizes its own swap by it. A trim leaves it
   * unchanged.
   */
  batchId: string;
  owner: string;
  /** Grows with each change of owner. */
  epoch: number;
  /** Grows with each batch. */
  sequence: number;
  /** Keys of the checkpoint's parts. */
  checkpoint: readonly string[];
  /** Keys of merged segments after the checkpoint, oldest first. */
  mergedSegments: readonly string[];
  /** Keys of the segments after the merged ones, oldest first. */
  segments: readonly string[];
  /** Entries after the last segment. */
  entries: readonly JournalEntry[];
  /**
   * Parts with the archived bills, which checkpoints moved out of the segments and no trim removed; oldest
   * first.
   */
  billParts: readonly IBillPart[];
  /** Key of the totals of trimmed bills; empty before the first trim. */
  trimmed: string;
  /** Number of trimmed bills, which are the oldest ones. */
  trimmedCount: number;
}

/**
 * A store key that holds archived bills, or a list of older parts, which keeps the head small. The bills of
 * a partition are numbered in journal order from 0.
 */
export interface IBillPart {
  kind: 'bills' | 'index';
  key: string;
  /** Number of the part's first bill. */
  first: number;
  count: number;
  /** Wall-clock time of the oldest bill in the part. */
  fromMs: number;
  /** Wall-clock time of the newest bill in the part. */
  toMs: number;
}

/** A bill in the journal. */
export interface IJournalBill {
  key: string;
  bill: IBill;
  atMs: number;
}

/** Options of a partition's storage. */
export interface IPartitionStorageOptions {
  partition: number;
  host: string;
  store: IStore;
  clock: IClock;
  createId: () => string;
  /** Wait before a failed store call is tried again. Default 200. */
  retryDelayMs?: Millis;
  /** Entries move from the head to a segment before their encoded size exceeds this. Default 16,384. */
  segmentBytes?: number;
  /**
   * Number of segments that are merged into one, so that the head names few keys. Default 16, about
   * 256 KB.
   */
  segmentsPerMerge?: number;
  /** Largest number of records in a part of a checkpoint, or of bills in a bill part. Default 2,000. */
  recordsPerPart?: number;
  /** Number of bill parts that move from the head to an index part at once. Default 100, about 12 KB. */
  billPartsPerIndex?: number;
  /** Smallest size of all segments, in bytes, above which a checkpoint is written. Default 262,144. */
  checkpointBytes?: number;
}

/** Result of a swap: whether this host is still the owner. */
export type SwapOutcome = 'committed' | 'fenced';

/**
 * Longest merged segment in characters of JSON. The store takes values of up to 1 MB, and a character takes
 * up to 3 bytes.
 */
const MAX_MERGED_SEGMENT_CHARACTERS = 300_000;

/** Head of a partition that no host has opened yet. */
export const EMPTY_HEAD: IPartitionHead = {
  batchId: '',
  owner: '',
  epoch: 0,
  sequence: 0,
  checkpoint: [],
  mergedSegments: [],
  segments: [],
  entries: [],
  billParts: [],
  trimmed: '',
  trimmedCount: 0,
};

/**
 * Reads and writes the store keys of one journal partition. `PartitionLog` queues entries and times commits.
 */
export class PartitionStorage {
  private _head: IPartitionHead = EMPTY_HEAD;
  private _headVersion = 0;
  private _entryBytes = 0;
  private _segmentBytes = 0;
  /** Contents of the segments that are not merged, as JSON. */
  private _unmergedSegmentTexts: string[] = [];
  private _checkpointBytes = 0;
  private _isClosed = false;
  private readonly _options: Required<IPartitionStorageOptions>;

  constructor(options: IPartitionStorageOptions) {
    this._options = {
      retryDelayMs: 200,
      segmentBytes: 16_384,
      segmentsPerMerge: 16,
      recordsPerPart: 2000,
      billPartsPerIndex: 100,
      checkpointBytes: 262_144,
      ...options,
    };
  }

  public get head(): IPartitionHead {
    return this._head;
  }

  /** Reads the head and all keys that it names, and rebuilds the state. */
  public async load(): Promise<Result<IPartitionState, JournalError>> {
    const found = await this._options.store.get(this._headKey);
    if (found.isErr) return Result.err(mapStoreError(found.error));
    this._setHead(found.value ? decodeHead(found.value.value) : EMPTY_HEAD, found.value?.version ?? 0);
    const checkpoint = await this._readAll(this._head.checkpoint);
    if (checkpoint.isErr) return Result.err(checkpoint.error);
    const segments = await this._readAll([...this._head.mergedSegments, ...this._head.segments]);
    if (segments.isErr) return Result.err(segments.error);
    this._unmergedSegmentTexts = segments.value.slice(this._head.mergedSegments.length);
    this._checkpointBytes = sumLengths(checkpoint.value);
    this._segmentBytes = sumLengths(segments.value);
    return Result.ok(rebuildState(checkpoint.value, segments.value, this._head.entries));
  }

  /** Makes this host the owner. Fails when another host swapped the head since `load`. */
  public takeOwnership(): Promise<SwapOutcome> {
    return this._swapHead(({ epoch }) => ({ owner: this._options.host, epoch: epoch + 1 }));
  }

  /** Commits a batch. Retries during a store outage until the outcome is known. */
  public async commit(entries: readonly JournalEntry[]): Promise<SwapOutcome> {
    const bytes = JSON.stringify(entries).length;
    if (this._entryBytes + bytes <= this._options.segmentBytes || this._head.entries.length === 0) {
      this._entryBytes += bytes;
      return this._swapHead((head) => ({ entries: [...head.entries, ...entries] }));
    }
    return this._commitWithNewSegment(entries, bytes);
  }

  /** Tells whether the segments have grown so large that a checkpoint should be written. */
  public needsCheckpoint(): boolean {
    // Half of the checkpoint's size limits both how often it is rewritten and how much a new owner reads.
    return this._segmentBytes > Math.max(this._options.checkpointBytes, this._checkpointBytes / 2);
  }

  /** Replaces the checkpoint and the segments by a new checkpoint of the committed state. */
  public async writeCheckpoint(state: IPartitionState): Promise<SwapOutcome> {
    const parts = buildSnapshots(state, this._options.recordsPerPart).map((part) => JSON.stringify(part));
    const unarchived = await this._readUnarchivedBills();
    if (unarchived === 'fenced') return 'fenced';
    const keys: string[] = [];
    for (const part of parts) keys.push(await this._createPart('checkpoint', part));
    const added = await this._createBillParts(state, unarchived);
    const { checkpoint, mergedSegments, segments } = this._head;
    const replaced = [...checkpoint, ...mergedSegments, ...segments];
    const outcome = await this._swapHead((head) => ({
      checkpoint: keys,
      mergedSegments: [],
      segments: [],
      entries: [],
      billParts: [...head.billParts, ...added],
    }));
    if (outcome === 'fenced') return outcome;
    this._checkpointBytes = sumLengths(parts);
    this._segmentBytes = 0;
    this._unmergedSegmentTexts = [];
    this._entryBytes = 0;
    await this._deleteKeys(replaced);
    return this._moveBillPartsToIndex();
  }

  /** Finds the bill with a given key and time among the archived bills. */
  public findArchivedBill(key: string, atMs: number): Promise<IJournalBill | undefined> {
    return this._findInParts(this._head.billParts, key, atMs);
  }

  /** Ends the retries of swaps in progress; they resolve with `fenced`. */
  public close(): void {
    this._isClosed = true;
  }

  private async _findInParts(
    parts: readonly IBillPart[],
    key: string,
    atMs: number,
  ): Promise<IJournalBill | undefined> {
    for (const part of parts) {
      if (atMs < part.fromMs || atMs > part.toMs) continue;
      // A part whose key is absent has been trimmed.
      const content = (await this._readPart(part.key)) ?? '[]';
      const found =
        part.kind === 'index'
          ? await this._findInParts(JSON.parse(content) as IBillPart[], key, atMs)
          : (JSON.parse(content) as IJournalBill[]).find((bill) => bill.key === key);
      if (found) return found;
    }
    return undefined;
  }

  /** Reads the bills of the segments and entries that the next checkpoint replaces. */
  private async _readUnarchivedBills(): Promise<IJournalBill[] | 'fenced'> {
    const bills: IJournalBill[] = [];
    for (const key of [...this._head.mergedSegments, ...this._head.segments]) {
      const segment = await this._readPart(key);
      if (segment === undefined) return 'fenced';
      bills.push(...selectBills(JSON.parse(segment) as JournalEntry[]));
    }
    return [...bills, ...selectBills(this._head.entries)];
  }

  private async _createBillParts(
    state: IPartitionState,
    bills: readonly IJournalBill[],
  ): Promise<IBillPart[]> {
    const parts: IBillPart[] = [];
    let first = sumCounts(state.totals.values()) - bills.length;
    for (let start = 0; start < bills.length; start += this._options.recordsPerPart) {
      const slice = bills.slice(start, start + this._options.recordsPerPart);
      const key = await this._createPart('bills', JSON.stringify(slice));
      const times = slice.map((bill) => bill.atMs);
      const range = { fromMs: Math.min(...times), toMs: Math.max(...times) };
      parts.push({ kind: 'bills', key, first, count: slice.length, ...range });
      first += slice.length;
    }
    return parts;
  }

  /** Moves the oldest bill parts of the head to an index part when there are many. */
  private async _moveBillPartsToIndex(): Promise<SwapOutcome> {
    const { billParts } = this._head;
    const size = this._options.billPartsPerIndex;
    const plain = billParts.filter((part) => part.kind === 'bills');
    if (plain.length < 2 * size) return 'committed';
    const moved = plain.slice(0, size);
    const key = await this._createPart('bills', JSON.stringify(moved));
    const index: IBillPart = {
      kind: 'index',
      key,
      first: Math.min(...moved.map((part) => part.first)),
      count: moved.reduce((sum, part) => sum + part.count, 0),
      fromMs: Math.min(...moved.map((part) => part.fromMs)),
      toMs: Math.max(...moved.map((part) => part.toMs)),
    };
    const next = [...billParts.filter((part) => part.kind === 'index'), index, ...plain.slice(size)];
    // If a trim has changed the parts meanwhile, the index may list deleted keys. The parts then stay as they
    // are, and the next checkpoint creates another index.
    return this._swapHead((head) => ({ billParts: head.billParts === billParts ? next : head.billParts }));
  }

  /** Reads a key that the head names. The key is absent only if another host has changed the head since. */
  private async _readPart(key: string): Promise<string | undefined> {
    while (!this._isClosed) {
      const found = await this._options.store.get(key);
      if (found.isOk) return found.value?.value;
      await this._waitToRetry();
    }
    return undefined;
  }

  private async _commitWithNewSegment(entries: readonly JournalEntry[], bytes: number): Promise<SwapOutcome> {
    const text = JSON.stringify(this._head.entries);
    const key = await this._createPart('segment', text);
    const mergedCount = this._countSegmentsToMerge();
    const merged = mergedCount > 0 ? await this._mergeSegments(mergedCount) : [];
    const replaced = this._head.segments.slice(0, mergedCount);
    const outcome = await this._swapHead((head) => ({
      mergedSegments: [...head.mergedSegments, ...merged],
      segments: [...head.segments.slice(mergedCount), key],
      entries,
    }));
    if (outcome === 'fenced') return outcome;
    this._unmergedSegmentTexts = [...this._unmergedSegmentTexts.slice(mergedCount), text];
    this._segmentBytes += this._entryBytes;
    this._entryBytes = bytes;
    // Not awaited: the commit has succeeded, and a key that the head does not name has no effect.
    void this._deleteKeys(replaced);
    return outcome;
  }

  /** Counts the oldest segments that should be merged now and fit into one value of the store. */
  private _countSegmentsToMerge(): number {
    const size = this._options.segmentsPerMerge;
    if (this._unmergedSegmentTexts.length < 2 * size) return 0;
    let length = 0;
    const oldest = this._unmergedSegmentTexts.slice(0, size);
    const end = oldest.findIndex((text) => (length += text.length) > MAX_MERGED_SEGMENT_CHARACTERS);
    // A segment that is too long to be merged is moved alone.
    return end < 0 ? size : Math.max(1, end);
  }

  /** Writes the oldest segments as one merged segment, which the next swap names in their place. */
  private async _mergeSegments(count: number): Promise<string[]> {
    const texts = this._unmergedSegmentTexts.slice(0, count);
    const entries = texts.flatMap((text) => JSON.parse(text) as JournalEntry[]);
    return [await this._createPart('segment', JSON.stringify(entries))];
  }

  /** Creates a key with a unique name. The key has no effect until the head names it. */
  private async _createPart(kind: 'bills' | 'checkpoint' | 'segment', value: string): Promise<string> {
    const key = `journal/${this._options.partition}/${kind}/${this._options.createId()}`;
    for (;;) {
      const created = await this._options.store.put(key, value, { expectedVersion: 0 });
      // A conflict on a unique name is this host's own earlier write, whose reply was lost.
      if (created.isOk || created.error.kind === 'conflict' || this._isClosed) return key;
      await this._waitToRetry();
    }
  }

  /**
   * Changes the head, with repeated tries until the outcome is known. The patch is built anew for each try,
   * because a trim may have changed the head in between.
   */
  private async _swapHead(
    buildPatch: (head: IPartitionHead) => Partial<IPartitionHead>,
  ): Promise<SwapOutcome> {
    const batchId = this._options.createId();
    const sequence = this._head.sequence + 1;
    while (!this._isClosed) {
      const head: IPartitionHead = { ...this._head, ...buildPatch(this._head), batchId, sequence };
      const outcome = await this._trySwap(head);
      if (outcome === 'committed' || outcome === 'fenced') return outcome;
      if (outcome === 'unknown') await this._waitToRetry();
    }
    return 'fenced';
  }

  /** Tries one swap. If the outcome is unknown, reads the head back to find out. */
  private async _trySwap(head: IPartitionHead): Promise<SwapOutcome | 'trimmed' | 'unknown'> {
    const { store } = this._options;
    const expectedVersion = this._headVersion;
    const swapped = await store.put(this._headKey, JSON.stringify(head), { expectedVersion });
    if (swapped.isOk) {
      this._setHead(head, swapped.value);
      return 'committed';
    }
    if (swapped.error.kind === 'conflict' && swapped.error.current) {
      return this._classifyHead(swapped.error.current, head.batchId);
    }
    const found = await store.get(this._headKey);
    if (found.isErr) return 'unknown';
    if (!found.value) return expectedVersion === 0 ? 'unknown' : 'fenced';
    return this._classifyHead(found.value, head.batchId);
  }

  /**
   * Determines the outcome of a swap from the current head. A trim keeps the batch id, so the id tells
   * whether the last commit in the head is this host's own.
   */
  private _classifyHead(found: IStoreValue, batchId: string): SwapOutcome | 'trimmed' | 'unknown' {
    const current = decodeHead(found.value);
    if (current.batchId === batchId) {
      this._setHead(current, found.version);
      return 'committed';
    }
    if (found.version === this._headVersion) return 'unknown';
    if (this._headVersion === 0 || current.batchId !== this._head.batchId) return 'fenced';
    this._setHead(current, found.version);
    return 'trimmed';
  }

  private async _readAll(keys: readonly string[]): Promise<Result<string[], JournalError>> {
    const values: string[] = [];
    for (const key of keys) {
      const found = await this._options.store.get(key);
      if (found.isErr) return Result.err(mapStoreError(found.error));
      // Another host has taken the partition in the meantime and deleted the key.
      if (!found.value)
        return Result.err({ kind: 'not-owner', message: 'The partition changed while read.' });
      values.push(found.value.value);
    }
    return Result.ok(values);
  }

  private async _deleteKeys(keys: readonly string[]): Promise<void> {
    for (const key of keys) {
      const found = await this._options.store.get(key);
      if (found.isOk && found.value) await this._options.store.delete(key, found.value.version);
    }
  }

  private _waitToRetry(): Promise<void> {
    return new Promise((resolve) => {
      this._options.clock.schedule(this._options.retryDelayMs, resolve);
    });
  }

  private _setHead(head: IPartitionHead, version: number): void {
    this._head = head;
    this._headVersion = version;
  }

  private get _headKey(): string {
    return formatHeadKey(this._options.partition);
  }
}

function rebuildState(
  checkpoint: readonly string[],
  segments: readonly string[],
  entries: readonly JournalEntry[],
): IPartitionState {
  const state =
    checkpoint.length > 0
      ? buildState(checkpoint.map((part) => JSON.parse(part) as IPartitionSnapshot))
      : createPartitionState();
  for (const segment of segments) applyAll(state, JSON.parse(segment) as JournalEntry[]);
  applyAll(state, entries);
  return state;
}

function applyAll(state: IPartitionState, entries: readonly JournalEntry[]): void {
  for (const entry of entries) applyEntry(state, entry);
}

/** Formats the key of a partition's head. */
export function formatHeadKey(partition: number): string {
  return `journal/${partition}/head`;
}

/** Decodes the value of a partition's head. */
export function decodeHead(value: string): IPartitionHead {
  return JSON.parse(value) as IPartitionHead;
}

/** Selects the bills among entries of the log, which contains each counted bill once. */
export function selectBills(entries: readonly JournalEntry[]): IJournalBill[] {
  return entries.flatMap((entry) =>
    entry.kind === 'bill' ? [{ key: entry.key, bill: entry.bill, atMs: entry.atMs }] : [],
  );
}

function sumCounts(totals: Iterable<IBillTotal>): number {
  let sum = 0;
  for (const total of totals) sum += total.count;
  return sum;
}

function sumLengths(values: readonly string[]): number {
  return values.reduce((sum, value) => sum + value.length, 0);
}

function mapStoreError(error: StoreError): JournalError {
  if (error.kind === 'conflict') return { kind: 'not-owner', message: 'Another host wrote the key.' };
  return { kind: 'unavailable', message: error.message };
}

import { Result } from 'true-myth';
import type { IClock, Millis } from '../Types.js';
import { combineTotals } from './LocalJournal.js';
import { addBill } from './PartitionState.js';
import {
  decodeHead,
  EMPTY_HEAD,
  formatHeadKey,
  selectBills,
  type IBillPart,
  type IJournalBill,
  type IPartitionHead,
} from './PartitionStorage.js';
import type { IBillTotal, IStore, IStoreValue, JournalEntry, StoreError } from './Types.js';

/** A bill with its place in the journal. */
export interface IExportedBill extends IJournalBill {
  partition: number;
  /** Number of the bill in its partition, in journal order from 0. */
  number: number;
}

/** Bills that were trimmed, as totals, and all later ones one by one. No bill is in both. */
export interface IBillList {
  trimmed: IBillTotal[];
  bills: IExportedBill[];
  /** All bills ever counted: those of `trimmed` and of `bills` together. */
  totals: IBillTotal[];
  /** Number of the next bill of each partition; pass it to `exportBills` or `trimBills` later. */
  positions: number[];
}

/** Why bills could not be read or trimmed. Nothing was trimmed, or the whole of some partitions. */
export type BillExportError =
  { kind: 'unavailable'; message: string } | { kind: 'contended'; message: string };

/** Options of the functions that read bills from the store. */
export interface IBillExportOptions {
  store: IStore;
  partitions: number;
  clock: IClock;
  createId: () => string;
  /** Tries for each partition while its owner writes. Default 50. */
  maxTries?: number;
  /** Wait between tries. Default 20, half of a commit interval, so that a try falls between two commits. */
  retryDelayMs?: Millis;
}

/**
 * Reads every bill that has not been trimmed, and the totals. Needs the store only, no host.
 *
 * ```ts
 * const listed = await listBills({ store, partitions: 8, clock, createId });
 * if (listed.isOk) print(listed.value.totals);
 * ```
 */
export async function listBills(options: IBillExportOptions): Promise<Result<IBillList, BillExportError>> {
  const trimmed: IBillTotal[] = [];
  const bills: IExportedBill[] = [];
  const positions: number[] = [];
  for (let partition = 0; partition < options.partitions; partition += 1) {
    const read = await repeatUntilStable(options, () => readPartition(options.store, partition));
    if (read.isErr) return Result.err(read.error);
    trimmed.push(...read.value.trimmed);
    bills.push(...read.value.bills);
    positions.push(read.value.position);
  }
  const combined = combineTotals(trimmed);
  return Result.ok({
    trimmed: combined,
    bills,
    totals: combineTotals([...combined, ...sumBills(bills)]),
    positions,
  });
}

/** Reads the bills from given positions on, as a former export returned them. */
export async function exportBills(
  options: IBillExportOptions,
  positions: readonly number[],
): Promise<Result<IBillList, BillExportError>> {
  const listed = await listBills(options);
  return listed.map((list) => ({
    ...list,
    bills: list.bills.filter((bill) => bill.number >= (positions[bill.partition] ?? 0)),
  }));
}

/**
 * Moves bills before given positions into the trimmed totals, in the same compare-and-swap of the
 * head that drops them. Bills that are not in a checkpoint yet stay. Resolves with the number of
 * trimmed bills.
 */
export async function trimBills(
  options: IBillExportOptions,
  positions: readonly number[],
): Promise<Result<number, BillExportError>> {
  let count = 0;
  for (let partition = 0; partition < options.partitions; partition += 1) {
    const before = positions[partition] ?? 0;
    const trimmed = await trimPartition(options, partition, before);
    if (trimmed.isErr) return Result.err(trimmed.error);
    count += trimmed.value;
  }
  return Result.ok(count);
}

interface IPartitionBills {
  trimmed: IBillTotal[];
  bills: IExportedBill[];
  position: number;
}

/** Outcome of one try: `changed` when the head moved on while its parts were read. */
type Try<T> = Result<T, StoreError | { kind: 'changed' }>;

const CHANGED = { kind: 'changed' } as const;

async function readPartition(store: IStore, partition: number): Promise<Try<IPartitionBills>> {
  const found = await store.get(formatHeadKey(partition));
  if (found.isErr) return Result.err(found.error);
  const head = found.value ? decodeHead(found.value.value) : EMPTY_HEAD;
  const trimmed = await readTrimmed(store, head);
  if (trimmed.isErr) return Result.err(trimmed.error);
  const leaves = await readLeaves(store, head.billParts);
  if (leaves.isErr) return Result.err(leaves.error);
  const parts = await readParts<IJournalBill>(
    store,
    leaves.value.map((part) => part.key),
  );
  if (parts.isErr) return Result.err(parts.error);
  const segments = await readParts<JournalEntry>(store, [...head.mergedSegments, ...head.segments]);
  if (segments.isErr) return Result.err(segments.error);
  const bills = [...parts.value, ...selectBills(segments.value), ...selectBills(head.entries)];
  return Result.ok({
    trimmed: trimmed.value,
    bills: bills.map((bill, index) => ({ ...bill, partition, number: head.trimmedCount + index })),
    position: head.trimmedCount + bills.length,
  });
}

async function readTrimmed(store: IStore, head: IPartitionHead): Promise<Try<IBillTotal[]>> {
  return head.trimmed === '' ? Result.ok([]) : readParts<IBillTotal>(store, [head.trimmed]);
}

/** Replaces index parts by the parts that they list; sorts by number, as a trim can leave old parts last. */
async function readLeaves(store: IStore, parts: readonly IBillPart[]): Promise<Try<IBillPart[]>> {
  const indexes = parts.filter((part) => part.kind === 'index').map((part) => part.key);
  const indexed = await readParts<IBillPart>(store, indexes);
  const plain = parts.filter((part) => part.kind === 'bills');
  return indexed.map((leaves) => [...leaves, ...plain].sort((first, second) => first.first - second.first));
}

/** Reads lists and joins them. */
async function readParts<T>(store: IStore, keys: readonly string[]): Promise<Try<T[]>> {
  const values: T[] = [];
  for (const key of keys) {
    const found = await store.get(key);
    if (found.isErr) return Result.err(found.error);
    if (!found.value) return Result.err(CHANGED);
    values.push(...(JSON.parse(found.value.value) as T[]));
  }
  return Result.ok(values);
}

/** A swap that drops parts from the head; `key` holds the new trimmed totals. */
interface ITrimPlan {
  key: string;
  /** Parts that stay in the head. An index part that is trimmed in part is replaced by its list. */
  kept: readonly IBillPart[];
  replaced: readonly string[];
  count: number;
}

async function trimPartition(
  options: IBillExportOptions,
  partition: number,
  before: number,
): Promise<Result<number, BillExportError>> {
  const tried: ITrimPlan[] = [];
  return repeatUntilStable<number>(options, async () => {
    const found = await options.store.get(formatHeadKey(partition));
    if (found.isErr) return Result.err(found.error);
    if (!found.value) return Result.ok(0);
    const head = decodeHead(found.value.value);
    // The swap of an earlier try took effect although its reply was lost.
    const done = tried.find((plan) => plan.key === head.trimmed);
    if (done) return finishTrim(options.store, done);
    const touched = head.billParts.filter((part) => part.first < before);
    const leaves = await readLeaves(options.store, touched);
    if (leaves.isErr) return Result.err(leaves.error);
    if (!leaves.value.some((part) => isBefore(part, before))) return Result.ok(0);
    const plan = await planTrim(options, partition, head, leaves.value, before);
    if (plan.isErr) return Result.err(plan.error);
    tried.push(plan.value);
    return swapTrimmed(options.store, partition, found.value, plan.value);
  });
}

/** Writes the totals of all trimmed bills under a new key, which has no effect until the head names it. */
async function planTrim(
  { createId, store }: IBillExportOptions,
  partition: number,
  head: IPartitionHead,
  leaves: readonly IBillPart[],
  before: number,
): Promise<Try<ITrimPlan>> {
  const keys = leaves.filter((part) => isBefore(part, before)).map((part) => part.key);
  const trimmed = await readTrimmed(store, head);
  if (trimmed.isErr) return Result.err(trimmed.error);
  const bills = await readParts<IJournalBill>(store, keys);
  if (bills.isErr) return Result.err(bills.error);
  const totals = combineTotals([...trimmed.value, ...sumBills(bills.value)]);
  const key = `journal/${partition}/trimmed/${createId()}`;
  const written = await store.put(key, JSON.stringify(totals), { expectedVersion: 0 });
  if (written.isErr) return Result.err(written.error);
  const kept = [
    ...leaves.filter((part) => !isBefore(part, before)),
    ...head.billParts.filter((part) => part.first >= before),
  ];
  const expanded = head.billParts.filter((part) => part.kind === 'index' && part.first < before);
  const replaced = [
    ...keys,
    ...expanded.map((part) => part.key),
    ...(head.trimmed === '' ? [] : [head.trimmed]),
  ];
  return Result.ok({ key, kept, replaced, count: bills.value.length });
}

async function swapTrimmed(
  store: IStore,
  partition: number,
  found: IStoreValue,
  plan: ITrimPlan,
): Promise<Try<number>> {
  const head = decodeHead(found.value);
  // The batch id stays, so that the partition's owner takes this swap for a trim and not for another owner.
  const next: IPartitionHead = {
    ...head,
    billParts: plan.kept,
    trimmed: plan.key,
    trimmedCount: head.trimmedCount + plan.count,
  };
  const expectedVersion = found.version;
  const swapped = await store.put(formatHeadKey(partition), JSON.stringify(next), { expectedVersion });
  return swapped.isErr ? Result.err(swapped.error) : finishTrim(store, plan);
}

function isBefore(part: IBillPart, before: number): boolean {
  return part.first + part.count <= before;
}

async function finishTrim(store: IStore, plan: ITrimPlan): Promise<Try<number>> {
  for (const key of plan.replaced) {
    const found = await store.get(key);
    if (found.isOk && found.value) await store.delete(key, found.value.version);
  }
  return Result.ok(plan.count);
}

/** Tries again while the partition's owner writes at the same time, or a reply was lost. */
async function repeatUntilStable<T>(
  options: IBillExportOptions,
  attempt: () => Promise<Try<T>>,
): Promise<Result<T, BillExportError>> {
  const { clock, maxTries = 50, retryDelayMs = 20 } = options;
  let last: StoreError | { kind: 'changed' } = CHANGED;
  for (let tries = 0; tries < maxTries; tries += 1) {
    const result = await attempt();
    if (result.isOk) return Result.ok(result.value);
    last = result.error;
    await new Promise<void>((resolve) => clock.schedule(retryDelayMs, resolve));
  }
  if (last.kind === 'changed' || last.kind === 'conflict') {
    return Result.err({ kind: 'contended', message: 'The partition changed during every try.' });
  }
  return Result.err({ kind: 'unavailable', message: last.message });
}

function sumBills(bills: readonly IJournalBill[]): IBillTotal[] {
  const totals = new Map<string, IBillTotal>();
  for (const { bill } of bills) addBill(totals, bill);
  return [...totals.values()];
}

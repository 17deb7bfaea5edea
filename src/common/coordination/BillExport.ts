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

/** A bill with its position in the journal. */
export interface IExportedBill extends IJournalBill {
  partition: number;
  /** Number of the bill in its partition, in journal order from 0. */
  number: number;
}

/** Totals of the trimmed bills, and all later bills one by one. No bill is in both. */
export interface IBillList {
  trimmed: IBillTotal[];
  bills: IExportedBill[];
  /** All bills ever counted: those of `trimmed` and of `bills` together. */
  totals: IBillTotal[];
  /** Number of the next bill of each partition; pass it to `exportBills` or `trimBills` later. */
  positions: number[];
}

/**
 * Why bills could not be read or trimmed. Some partitions may have been trimmed, but none of them in part.
 */
export type BillExportError =
  { kind: 'unavailable'; message: string } | { kind: 'contended'; message: string };

/** Options of the functions that read bills from the store. */
export interface IBillExportOptions {
  store: IStore;
  partitions: number;
  clock: IClock;
  createId: () => string;
  /** Largest number of tries for each partition, whose owner may write at the same time. Default 50. */
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
    const read = await runWithRetries(options, () => readPartition(options.store, partition));
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

/** Reads the bills from the given positions on, which an earlier export returned. */
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
 * Removes the bills before the given positions and adds them to the trimmed totals, both in one
 * compare-and-swap of the head. Bills that no checkpoint has archived yet stay. A part that reaches beyond
 * its position stays as a whole. Resolves with the number of trimmed bills.
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

/** Result of one try; the error is `changed` when the head changed while its parts were read. */
type AttemptResult<T> = Result<T, StoreError | { kind: 'changed' }>;

const HEAD_CHANGED = { kind: 'changed' } as const;

async function readPartition(store: IStore, partition: number): Promise<AttemptResult<IPartitionBills>> {
  const found = await store.get(formatHeadKey(partition));
  if (found.isErr) return Result.err(found.error);
  const head = found.value ? decodeHead(found.value.value) : EMPTY_HEAD;
  const trimmed = await readTrimmed(store, head);
  if (trimmed.isErr) return Result.err(trimmed.error);
  const billParts = await resolveIndexParts(store, head.billParts);
  if (billParts.isErr) return Result.err(billParts.error);
  const parts = await readLists<IJournalBill>(
    store,
    billParts.value.map((part) => part.key),
  );
  if (parts.isErr) return Result.err(parts.error);
  const segments = await readLists<JournalEntry>(store, [...head.mergedSegments, ...head.segments]);
  if (segments.isErr) return Result.err(segments.error);
  const bills = [...parts.value, ...selectBills(segments.value), ...selectBills(head.entries)];
  return Result.ok({
    trimmed: trimmed.value,
    bills: bills.map((bill, index) => ({ ...bill, partition, number: head.trimmedCount + index })),
    position: head.trimmedCount + bills.length,
  });
}

async function readTrimmed(store: IStore, head: IPartitionHead): Promise<AttemptResult<IBillTotal[]>> {
  return head.trimmed === '' ? Result.ok([]) : readLists<IBillTotal>(store, [head.trimmed]);
}

/**
 * Replaces index parts by the parts that they list; sorts by bill number, as a trim can leave old parts
 * after newer ones.
 */
async function resolveIndexParts(
  store: IStore,
  parts: readonly IBillPart[],
): Promise<AttemptResult<IBillPart[]>> {
  const indexes = parts.filter((part) => part.kind === 'index').map((part) => part.key);
  const indexed = await readLists<IBillPart>(store, indexes);
  const notIndexed = parts.filter((part) => part.kind === 'bills');
  return indexed.map((listed) =>
    [...listed, ...notIndexed].sort((first, second) => first.first - second.first),
  );
}

/** Reads the lists at several store keys and concatenates them. */
async function readLists<T>(store: IStore, keys: readonly string[]): Promise<AttemptResult<T[]>> {
  const values: T[] = [];
  for (const key of keys) {
    const found = await store.get(key);
    if (found.isErr) return Result.err(found.error);
    if (!found.value) return Result.err(HEAD_CHANGED);
    values.push(...(JSON.parse(found.value.value) as T[]));
  }
  return Result.ok(values);
}

/** A planned swap that removes parts from the head. The key holds the new trimmed totals. */
interface ITrimPlan {
  key: string;
  /**
   * Parts that stay in the head. An index part with trimmed bills is replaced by the remaining parts of its
   * list.
   */
  kept: readonly IBillPart[];
  /** Keys that are deleted after the swap. */
  replaced: readonly string[];
  count: number;
}

async function trimPartition(
  options: IBillExportOptions,
  partition: number,
  before: number,
): Promise<Result<number, BillExportError>> {
  const attemptedPlans: ITrimPlan[] = [];
  return runWithRetries<number>(options, async () => {
    const found = await options.store.get(formatHeadKey(partition));
    if (found.isErr) return Result.err(found.error);
    if (!found.value) return Result.ok(0);
    const head = decodeHead(found.value.value);
    // The swap of an earlier try took effect, although its reply was lost.
    const done = attemptedPlans.find((plan) => plan.key === head.trimmed);
    if (done) return finishTrim(options.store, done);
    const affectedParts = head.billParts.filter((part) => part.first < before);
    const affectedBillParts = await resolveIndexParts(options.store, affectedParts);
    if (affectedBillParts.isErr) return Result.err(affectedBillParts.error);
    if (!affectedBillParts.value.some((part) => isPartBefore(part, before))) return Result.ok(0);
    const plan = await planTrim(options, partition, head, affectedBillParts.value, before);
    if (plan.isErr) return Result.err(plan.error);
    attemptedPlans.push(plan.value);
    return swapTrimmed(options.store, partition, found.value, plan.value);
  });
}

/** Writes the totals of all trimmed bills to a new key, which has no effect until the head names it. */
async function planTrim(
  { createId, store }: IBillExportOptions,
  partition: number,
  head: IPartitionHead,
  affectedBillParts: readonly IBillPart[],
  before: number,
): Promise<AttemptResult<ITrimPlan>> {
  const keys = affectedBillParts.filter((part) => isPartBefore(part, before)).map((part) => part.key);
  const trimmed = await readTrimmed(store, head);
  if (trimmed.isErr) return Result.err(trimmed.error);
  const bills = await readLists<IJournalBill>(store, keys);
  if (bills.isErr) return Result.err(bills.error);
  const totals = combineTotals([...trimmed.value, ...sumBills(bills.value)]);
  const key = `journal/${partition}/trimmed/${createId()}`;
  const written = await store.put(key, JSON.stringify(totals), { expectedVersion: 0 });
  if (written.isErr) return Result.err(written.error);
  const kept = [
    ...affectedBillParts.filter((part) => !isPartBefore(part, before)),
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
): Promise<AttemptResult<number>> {
  const head = decodeHead(found.value);
  // From the unchanged batch id, the partition's owner sees that this swap is a trim, not a change of owner.
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

function isPartBefore(part: IBillPart, before: number): boolean {
  return part.first + part.count <= before;
}

async function finishTrim(store: IStore, plan: ITrimPlan): Promise<AttemptResult<number>> {
  for (const key of plan.replaced) {
    const found = await store.get(key);
    if (found.isOk && found.value) await store.delete(key, found.value.version);
  }
  return Result.ok(plan.count);
}

/**
 * Repeats an attempt that failed because the partition's owner wrote at the same time or a reply was lost.
 */
async function runWithRetries<T>(
  options: IBillExportOptions,
  attempt: () => Promise<AttemptResult<T>>,
): Promise<Result<T, BillExportError>> {
  const { clock, maxTries = 50, retryDelayMs = 20 } = options;
  let last: StoreError | { kind: 'changed' } = HEAD_CHANGED;
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

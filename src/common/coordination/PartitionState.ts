import { roundCost } from './Costs.js';
import type { AppendOutcome, IBill, IBillTotal, IJournalRecord, JournalEntry, Retention } from './Types.js';

/** In-memory state of a journal partition; rebuilt from the checkpoint and the entries after it. */
export interface IPartitionState {
  records: Map<string, IJournalRecord>;
  totals: Map<string, IBillTotal>;
}

/** State of a partition, or a part of it, in a form that can be encoded as JSON. */
export interface IPartitionSnapshot {
  records: IJournalRecord[];
  totals: IBillTotal[];
}

/** Creates an empty state. */
export function createPartitionState(): IPartitionState {
  return { records: new Map(), totals: new Map() };
}

/**
 * Longest part of a checkpoint in characters of JSON, except for a single record that is longer. The store
 * takes values of up to 1 MB, and a character takes up to 3 bytes.
 */
const MAX_PART_CHARACTERS = 250_000;

/** Copies a state into the parts of a checkpoint; the totals are in the first part. */
export function buildSnapshots(state: IPartitionState, recordsPerPart: number): IPartitionSnapshot[] {
  const parts: IPartitionSnapshot[] = [{ records: [], totals: [...state.totals.values()] }];
  let records = parts[0]?.records ?? [];
  let length = 0;
  for (const record of state.records.values()) {
    length += JSON.stringify(record).length;
    if (records.length > 0 && (records.length >= recordsPerPart || length > MAX_PART_CHARACTERS)) {
      records = [];
      parts.push({ records, totals: [] });
      length = JSON.stringify(record).length;
    }
    records.push(record);
  }
  return parts;
}

/** Builds a state from the parts of a checkpoint. */
export function buildState(parts: readonly IPartitionSnapshot[]): IPartitionState {
  const state = createPartitionState();
  for (const part of parts) {
    for (const record of part.records) state.records.set(record.key, record);
    for (const total of part.totals) state.totals.set(formatTotalKey(total), total);
  }
  return state;
}

/**
 * Applies one entry. The owner applies entries before it commits them, and every reader of the log applies
 * them in the same order, so that both reach the same state. A duplicate changes nothing. An entry that the
 * same request appended before is reported as `committed` again, without a change, because a sender that
 * did not receive the reply repeats its append.
 */
export function applyEntry(state: IPartitionState, entry: JournalEntry): AppendOutcome {
  const record = state.records.get(entry.key) ?? createRecord(entry);
  switch (entry.kind) {
    case 'claim':
      return applyClaim(state, record, entry);
    case 'release':
      return applyRelease(state, record, entry.request);
    case 'outcome':
      if (record.claim === entry.outcome && record.request === entry.request) return { kind: 'committed' };
      if (record.claim !== 'claimed' || record.request !== entry.request)
        return { kind: 'duplicate', record };
      return writeRecord(state, { ...record, claim: entry.outcome, answer: entry.answer });
    case 'bill':
      if (record.billedRequest === entry.bill.request) return { kind: 'committed' };
      if (record.billedRequest !== undefined) return { kind: 'duplicate', record };
      addBill(state.totals, entry.bill);
      return writeRecord(state, {
        ...record,
        billedRequest: entry.bill.request,
        ...(entry.retention === undefined ? {} : { retention: entry.retention }),
      });
    case 'pin':
      if (record.version !== undefined) return { kind: 'duplicate', record };
      return writeRecord(state, { ...record, version: entry.version });
  }
}

/** Wall-clock times before which records are removed, by retention. */
export type RetentionLimits = Readonly<Record<Retention, number>>;

/**
 * Removes records that are older than their retention limit. Open claims of keys that a caller can
 * repeat are kept.
 */
export function expireRecords(state: IPartitionState, limits: RetentionLimits): void {
  for (const [key, record] of state.records) {
    const retention = record.retention ?? 'long';
    const isOpen = record.claim === 'claimed' && retention === 'long';
    if (!isOpen && record.atMs < limits[retention]) state.records.delete(key);
  }
}

/** Restores the record of a bill that was counted before, without counting it again. */
export function restoreBillRecord(
  state: IPartitionState,
  counted: { key: string; bill: IBill; atMs: number },
): void {
  const record =
    state.records.get(counted.key) ?? createRecord({ kind: 'bill', ...counted, retention: 'short' });
  writeRecord(state, { ...record, billedRequest: counted.bill.request });
}

function applyClaim(
  state: IPartitionState,
  record: IJournalRecord,
  { fingerprint, request }: Extract<JournalEntry, { kind: 'claim' }>,
): AppendOutcome {
  // The request already holds the claim and repeats its own append after a lost reply.
  if (record.claim === 'claimed' && record.request === request) return { kind: 'committed' };
  if (record.claim !== 'unclaimed') return { kind: 'duplicate', record };
  return writeRecord(state, {
    ...record,
    claim: 'claimed',
    request,
    ...(fingerprint === undefined ? {} : { fingerprint }),
  });
}

function applyRelease(state: IPartitionState, record: IJournalRecord, request: string): AppendOutcome {
  if (record.claim !== 'claimed' || record.request !== request) return { kind: 'duplicate', record };
  return writeRecord(state, { ...record, claim: 'unclaimed', request: undefined });
}

function writeRecord(state: IPartitionState, record: IJournalRecord): AppendOutcome {
  state.records.set(record.key, record);
  return { kind: 'committed' };
}

function createRecord(entry: JournalEntry): IJournalRecord {
  return {
    key: entry.key,
    claim: 'unclaimed',
    request: undefined,
    answer: undefined,
    billedRequest: undefined,
    version: undefined,
    atMs: 'atMs' in entry ? entry.atMs : 0,
    ...('retention' in entry ? { retention: entry.retention } : {}),
  };
}

/** Adds a bill to the totals of its client account. */
export function addBill(totals: Map<string, IBillTotal>, bill: IBill): void {
  const key = formatTotalKey(bill);
  const total = totals.get(key);
  totals.set(key, {
    service: bill.service,
    account: bill.account,
    count: (total?.count ?? 0) + 1,
    promptTokens: (total?.promptTokens ?? 0) + bill.promptTokens,
    completionTokens: (total?.completionTokens ?? 0) + bill.completionTokens,
    cost: roundCost((total?.cost ?? 0) + bill.cost),
  });
}

function formatTotalKey(item: { service: string; account: string }): string {
  return `${item.service}/${item.account}`;
}

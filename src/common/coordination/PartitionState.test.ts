import test from 'ava';
import { applyEntry, createPartitionState, expireRecords } from './PartitionState.js';
import type { IBill, JournalEntry } from './Types.js';

function createBill(request: string): IBill {
  return {
    service: 'deposits',
    account: 'a-1',
    request,
    version: 'small-1',
    promptTokens: 3,
    completionTokens: 4,
    cost: 2,
  };
}

// A sender that lost the reply repeats its append; a report of a duplicate would make it drop the answer.
test('a repeated outcome or bill of the same request counts as committed, and once', (t) => {
  const state = createPartitionState();
  const done: JournalEntry = {
    kind: 'outcome',
    key: 'k',
    request: 'r-1',
    outcome: 'done',
    answer: undefined,
  };
  const bill: JournalEntry = { kind: 'bill', key: 'k', bill: createBill('r-1'), atMs: 5 };
  const entries: JournalEntry[] = [
    { kind: 'claim', key: 'k', request: 'r-1', atMs: 5 },
    done,
    bill,
    done,
    bill,
    { ...done, request: 'r-2' },
    { ...bill, bill: createBill('r-2') },
  ];
  const outcomes = entries.map((entry) => applyEntry(state, entry).kind);
  t.snapshot({ outcomes, totals: [...state.totals.values()] });
});

// A record dropped early lets a repeat run twice; one kept too long fills the checkpoint.
test('records are dropped by their own retention, open claims of repeatable keys never', (t) => {
  const state = createPartitionState();
  applyEntry(state, { kind: 'claim', key: 'open', request: 'r-1', atMs: 10 });
  applyEntry(state, { kind: 'claim', key: 'open-short', request: 'r-2', atMs: 10, retention: 'short' });
  applyEntry(state, { kind: 'bill', key: 'long', bill: createBill('r-3'), atMs: 10 });
  applyEntry(state, { kind: 'bill', key: 'short', bill: createBill('r-4'), atMs: 10, retention: 'short' });
  expireRecords(state, { short: 11, long: 10 });
  const afterShort = [...state.records.keys()];
  expireRecords(state, { short: 11, long: 11 });
  t.snapshot({ afterShort, afterLong: [...state.records.keys()] });
});

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

// A sender that did not receive the reply repeats its append. If the result were `duplicate`, it would drop
// the answer.
test('a repeated outcome or bill of the same request is reported as committed and counted once', (t) => {
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

// Guards against records that expire too early, so that a repeated request runs twice, and against records
// that are kept too long and fill the checkpoint.
test('records expire after their own retention time, and open claims of repeatable keys never do', (t) => {
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

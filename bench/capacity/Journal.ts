import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { createUniqueId, hashTexts } from '../../src/adapters/Random.js';
import { systemClock } from '../../src/adapters/SystemClock.js';
import { Blackboard } from '../../src/common/blackboard/Blackboard.js';
import { PartitionLog } from '../../src/common/coordination/PartitionLog.js';
import { applyEntry, createPartitionState } from '../../src/common/coordination/PartitionState.js';
import type { JournalEntry } from '../../src/common/coordination/Types.js';
import { waitFor } from '../../src/standins/HttpTools.js';
import { MemoryStore } from '../../src/testing/MemoryStore.js';
import type { IPoint } from './Types.js';

const MEASURE_MS = 5000;
const APPEND_INTERVAL_MS = 10;

/** Measures the log of one journal partition with a store in memory while bills arrive at a constant rate. */
export async function measureJournal(billsPerSecond: number): Promise<IPoint> {
  const store = new MemoryStore({ clock: systemClock });
  const log = new PartitionLog({
    partition: 0,
    host: 'bench',
    board: new Blackboard(),
    store,
    clock: systemClock,
    readWallClock: Date.now,
    createId: createUniqueId,
  });
  const opened = await log.open();
  if (opened.isErr) throw new Error(opened.error.message);
  await appendBills(log, billsPerSecond);
  const callsBefore = countCalls(store);
  const before = process.cpuUsage();
  const seconds = (await appendBills(log, billsPerSecond)) / 1000;
  const { system, user } = process.cpuUsage(before);
  const storeCalls = (countCalls(store) - callsBefore) / seconds;
  log.dispose();
  return { x: billsPerSecond, cpuMs: (system + user) / 1000 / seconds, storeCalls };
}

/** Measures the memory that the records of a partition take, with one record for each bill. */
export function measureRecords(records: number): IPoint {
  const state = createPartitionState();
  const before = measureLiveHeapBytes();
  for (let index = 0; index < records; index += 1) applyEntry(state, createBill());
  const megabytes = (measureLiveHeapBytes() - before) / 1_048_576;
  return { x: state.records.size, megabytes };
}

/** Reads the size of the heap after a full garbage collection, so that only reachable objects count. */
function measureLiveHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

async function appendBills(log: PartitionLog, billsPerSecond: number): Promise<number> {
  const startedAt = performance.now();
  const appends: Promise<unknown>[] = [];
  for (let elapsed = 0; elapsed < MEASURE_MS; elapsed = performance.now() - startedAt) {
    while (appends.length < (elapsed * billsPerSecond) / 1000) appends.push(log.append([createBill()]));
    await waitFor(APPEND_INTERVAL_MS);
  }
  await Promise.all(appends);
  return performance.now() - startedAt;
}

function createBill(): Extract<JournalEntry, { kind: 'bill' }> {
  const request = createUniqueId();
  return {
    kind: 'bill',
    key: hashTexts('request', request),
    bill: {
      service: 'bench',
      account: 'account-0',
      request,
      version: 'small-1',
      promptTokens: 100,
      completionTokens: 364,
      cost: 0.464,
    },
    atMs: Date.now(),
  };
}

function countCalls({ counts }: MemoryStore): number {
  return counts.get + counts.put + counts.delete + counts.watch;
}

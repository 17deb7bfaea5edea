import test from 'ava';
import { ManualClock } from '../../testing/ManualClock.js';
import { MemoryStore, type StoreFault } from '../../testing/MemoryStore.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { exportBills, listBills, trimBills, type IBillExportOptions } from './BillExport.js';
import { PartitionLog } from './PartitionLog.js';
import type { JournalEntry } from './Types.js';

interface IFixture {
  clock: ManualClock;
  faults: StoreFault[];
  log: PartitionLog;
  options: IBillExportOptions;
  appendBills: (from: number, to: number) => Promise<void>;
}

function createBill(request: string, atMs = 0): JournalEntry {
  const common = { service: 's', account: 'a-1', version: 'small-1', promptTokens: 1, completionTokens: 1 };
  return { kind: 'bill', key: request, bill: { ...common, request, cost: 1 }, atMs, retention: 'short' };
}

/** Creates a partition that writes a checkpoint after a few bills. */
async function createFixture(): Promise<IFixture> {
  const clock = new ManualClock();
  const faults: StoreFault[] = [];
  const store = new MemoryStore({
    clock,
    chooseFault: (operation, key) =>
      operation === 'put' && key.endsWith('/head') ? (faults.shift() ?? 'none') : 'none',
  });
  let lastId = 0;
  const createId = (): string => `id-${(lastId += 1)}`;
  const log = new PartitionLog({
    partition: 0,
    host: 'host-1',
    board: new Blackboard(),
    store,
    clock,
    createId,
    readWallClock: () => clock.now(),
    segmentBytes: 300,
    checkpointBytes: 600,
    recordsPerPart: 2,
    billPartsPerIndex: 2,
  });
  await log.open();
  const appendBills = async (from: number, to: number): Promise<void> => {
    for (let number = from; number < to; number += 1) {
      void log.append([createBill(`r-${number}`, clock.now() < 3_600_000 ? 0 : clock.now())]);
      await clock.advance(50);
    }
  };
  return { clock, faults, log, options: { store, partitions: 1, clock, createId }, appendBills };
}

async function finish<T>(clock: ManualClock, work: Promise<T>): Promise<T> {
  await clock.advance(2000);
  return work;
}

// Guards against a bill that is lost or counted twice when it moves from the log to the archive, and from
// there to the trimmed totals.
test('bills stay readable through checkpoints, and totals are the same before and after a trim', async (t) => {
  const { appendBills, clock, log, options } = await createFixture();
  await appendBills(0, 12);
  const before = (await finish(clock, listBills(options))).unwrapOr(undefined)!;
  const trimmed = await finish(clock, trimBills(options, [7]));
  await appendBills(12, 15);
  const after = (await finish(clock, exportBills(options, before.positions))).unwrapOr(undefined)!;
  await finish(clock, trimBills(options, [9]));
  const all = (await finish(clock, listBills(options))).unwrapOr(undefined)!;
  t.snapshot({
    before: before.bills.map((bill) => `${bill.number} ${bill.bill.request}`),
    totalsBefore: before.totals,
    trimmed,
    sinceExport: after.bills.map((bill) => `${bill.number} ${bill.bill.request}`),
    remaining: all.bills.map((bill) => `${bill.number} ${bill.bill.request}`),
    trimmedTotals: all.trimmed,
    totalsAfter: all.totals,
    ownerTotals: log.listTotals(),
  });
});

// Guards against a trim after which the owner loses its partition, or which takes effect twice after a lost
// reply.
test('a trim whose reply was lost takes effect once, and the owner can still commit', async (t) => {
  const { appendBills, clock, faults, log, options } = await createFixture();
  await appendBills(0, 12);
  faults.push('lost-reply');
  const trimmed = await finish(clock, trimBills(options, [100]));
  faults.push('lost-reply');
  await appendBills(12, 13);
  const all = (await finish(clock, listBills(options))).unwrapOr(undefined)!;
  t.snapshot({ trimmed, totals: all.totals, trimmedTotals: all.trimmed, ownerTotals: log.listTotals() });
});

// Guards against a bill that is counted twice because a host that was cut off appends it again after its
// record has expired.
test('a bill that is appended again after its record has expired is found in the archive', async (t) => {
  const { appendBills, clock, log } = await createFixture();
  await appendBills(0, 12);
  await clock.advance(2 * 3_600_000);
  await appendBills(20, 32);
  const repeated = log.append([createBill('r-1'), createBill('r-99')]);
  await clock.advance(50);
  t.snapshot({ repeated: await repeated, count: log.listTotals()[0]?.count });
});

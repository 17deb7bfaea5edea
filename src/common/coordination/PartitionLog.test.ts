import test from 'ava';
import { Blackboard } from '../blackboard/Blackboard.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { MemoryStore, type StoreFault } from '../../testing/MemoryStore.js';
import { PartitionLog } from './PartitionLog.js';
import type { JournalEntry } from './Types.js';

interface IFixture {
  clock: ManualClock;
  store: MemoryStore;
  faults: StoreFault[];
  createLog: (host: string) => PartitionLog;
}

function createFixture(): IFixture {
  const clock = new ManualClock();
  const faults: StoreFault[] = [];
  const store = new MemoryStore({
    clock,
    chooseFault: (operation) => (operation === 'put' ? (faults.shift() ?? 'none') : 'none'),
  });
  let lastId = 0;
  const createId = (): string => `id-${(lastId += 1)}`;
  const createLog = (host: string): PartitionLog =>
    new PartitionLog({
      partition: 0,
      host,
      board: new Blackboard(),
      store,
      clock,
      readWallClock: () => clock.now(),
      createId,
    });
  return { clock, store, faults, createLog };
}

const CLAIM: JournalEntry = { kind: 'claim', key: 'k', request: 'r-1', atMs: 0 };

test('a repeated claim finds the first one, even after a change of owner', async (t) => {
  const { clock, createLog } = createFixture();
  const first = createLog('host-1');
  await first.open();
  const claimed = first.append([CLAIM]);
  await clock.advance(50);
  const second = createLog('host-2');
  await second.open();
  const repeated = second.append([{ ...CLAIM, request: 'r-2' }]);
  await clock.advance(50);
  t.snapshot({ claimed: await claimed, repeated: await repeated });
});

test('an owner that was replaced commits nothing, however late it resumes', async (t) => {
  const { clock, createLog, store } = createFixture();
  const paused = createLog('host-1');
  await paused.open();
  const owner = createLog('host-2');
  await owner.open();
  const late = paused.append([CLAIM]);
  await clock.advance(50);
  const current = owner.append([{ ...CLAIM, request: 'r-2' }]);
  await clock.advance(50);
  const head = JSON.parse(store.entries.get('journal/0/head')?.value ?? '') as { entries: unknown };
  t.snapshot({ late: await late, current: await current, entries: head.entries });
});

test('a commit whose reply was lost is read back, not written twice', async (t) => {
  const { clock, createLog, faults, store } = createFixture();
  const log = createLog('host-1');
  await log.open();
  faults.push('lost-reply');
  const claimed = log.append([CLAIM]);
  await clock.advance(50);
  t.snapshot({ claimed: await claimed, puts: store.counts.put });
});

test('appends fail at once while the store is down, and the commit in progress ends when it is back', async (t) => {
  const { clock, createLog, faults } = createFixture();
  const log = createLog('host-1');
  await log.open();
  faults.push(...Array.from({ length: 5 }, (): StoreFault => 'unavailable'));
  const waiting = log.append([CLAIM]);
  await clock.advance(700);
  const rejected = await log.append([{ ...CLAIM, key: 'k-2' }]);
  await clock.advance(1000);
  t.snapshot({ waiting: await waiting, rejected });
});

test('a burst after an outage is split, so that no value exceeds the size limit of the store', async (t) => {
  const { clock, createLog, store } = createFixture();
  const log = createLog('host-1');
  await log.open();
  const answer = { status: 200, contentType: 'text/plain', body: 'x'.repeat(65_536) };
  const appends = Array.from({ length: 5000 }, (_, index) => {
    const [key, request] = [`k-${index}`, `r-${index}`];
    const bill = {
      service: 's',
      account: 'a',
      request,
      version: 'v',
      promptTokens: 1,
      completionTokens: 1,
      cost: 1,
    };
    const entries: JournalEntry[] = [{ kind: 'bill', key, bill, atMs: 0 }];
    if (index < 40) {
      entries.unshift(
        { kind: 'claim', key, request, atMs: 0 },
        { kind: 'outcome', key, request, outcome: 'done', answer },
      );
    }
    return log.append(entries);
  });
  await clock.advance(3000);
  const results = await Promise.all(appends);
  const next = createLog('host-2');
  const reopened = next.open();
  await clock.advance(1000);
  t.snapshot({
    committed: results.filter((result) => result.isOk).length,
    isEveryValueShort: [...store.entries.values()].every(({ value }) => value.length <= 1_048_576),
    reopened: (await reopened).isOk,
    billsReadBack: next.listTotals().map(({ count }) => count),
  });
});

// Guards against a value that the store rejects for its size, which would block the partition for ever.
test('many long answers are committed in values below the size limit of the store', async (t) => {
  const { clock, createLog, store } = createFixture();
  const log = createLog('host-1');
  await log.open();
  const answer = { status: 200, contentType: 'text/plain', body: 'x'.repeat(65_536) };
  const done = Array.from({ length: 40 }, (_, index) => {
    const common = { key: `k-${index}`, request: `r-${index}` };
    return log.append([
      { kind: 'claim', ...common, atMs: 0 },
      { kind: 'outcome', ...common, outcome: 'done', answer },
    ]);
  });
  await clock.advance(2500);
  const results = await Promise.all(done);
  t.true(results.every((result) => result.isOk));
  // Half of the store's limit of 1 MB: the store counts bytes, and this counts characters.
  t.true(Math.max(...[...store.entries.values()].map(({ value }) => value.length)) < 524_288);
});

import test from 'ava';
import { createSeededRandom } from '../../adapters/Random.js';
import { ManualClock } from '../../testing/ManualClock.js';
import type { IRolloutRecord, RolloutStage } from './Types.js';
import { createRolloutTestHost, InMemoryFactStore } from '../../testing/RolloutHosts.js';

// Guards against a rollout of a good release that misses its deadline, or that moves sessions to the new
// release in the first half of its duration.
test('the rollout of a good release passes through its stages and succeeds in time', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = ['host-1', 'host-2'].map((self) => createRolloutTestHost(clock, store, self));
  store.publishOrder(24_000);
  for (let second = 0; second < 24; second += 1) {
    for (const host of hosts) for (const release of ['v1', 'v2']) host.finishAttempt(release, true);
    await clock.advance(1000);
  }
  t.snapshot(store.acceptedRecords);
  t.deepEqual(
    hosts.map(({ board }) => board.rollouts.get('drafts')?.stage),
    ['succeeded', 'succeeded'],
  );
});

// Guards against a bad release that is not rolled back because no single host has counted enough bad answers.
test('a bad release is rolled back on the combined evidence of all hosts', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = ['host-1', 'host-2', 'host-3'].map((self) => createRolloutTestHost(clock, store, self));
  for (const host of hosts) for (let count = 0; count < 30; count += 1) host.finishAttempt('v1', true);
  store.publishOrder(24_000);
  for (let second = 0; second < 4; second += 1) {
    await clock.advance(1000);
    for (const host of hosts) host.finishAttempt('v2', second === 0);
  }
  await clock.advance(1000);
  t.snapshot(store.acceptedRecords);
});

// Guards against an idle host that ends the old endpoints while other hosts have requests in flight there.
test('a host without requests on the old release does not end a rollout for the others', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const [busy] = ['host-1', 'host-2'].map((id) => createRolloutTestHost(clock, store, id));
  busy?.startAttempt('v1');
  store.publishOrder(24_000);
  await clock.advance(23_200);
  t.deepEqual(store.acceptedRecords, ['0 s canary', '23 s full']);
});

// Guards against missing the deadline of the operator, which counts from the write of the order.
test('a rollout succeeds in time although the order was read late, in the pause between two watches', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const host = createRolloutTestHost(clock, store, 'host-1');
  const connection = { state: 'connected' as const, changedAt: 0, revision: 1, losses: 0, changesSince: 0 };
  host.board.storeConnection.set('store', connection);
  await clock.advance(600);
  store.publishOrder(24_000);
  await clock.advance(23_400);
  t.is(host.board.rollouts.get('drafts')?.stage, 'succeeded');
});

// Guards against judging a release by the answers of those hosts only that have seen a bad one.
test('a good release is not rolled back because hosts without bad answers are missing from the total', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = Array.from({ length: 90 }, (_, index) =>
    createRolloutTestHost(clock, store, `host-${index}`),
  );
  store.publishOrder(24_000);
  await clock.advance(1000);
  for (const [index, host] of hosts.entries()) {
    for (let count = 0; count < 20; count += 1) host.finishAttempt('v1', count > 0);
    for (let count = 0; count < 5; count += 1) host.finishAttempt('v2', count > 0 || index % 3 > 0);
  }
  await clock.advance(2000);
  t.deepEqual(store.acceptedRecords, ['0 s canary']);
});

// Guards against using a bad release again because the rollback could not be written to the store.
test('a rollback stays in force while the store is down and is recorded once it is back', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const host = createRolloutTestHost(clock, store, 'host-1');
  store.publishOrder(24_000);
  await clock.advance(2000);
  store.isDown = true;
  for (let count = 0; count < 6; count += 1) host.finishAttempt('v2', false);
  await clock.advance(3000);
  const stage = host.board.rollouts.get('drafts')?.stage;
  store.isDown = false;
  await clock.advance(2000);
  t.snapshot({ stage, records: store.acceptedRecords });
});

// Guards against every host writing every stage, because hosts read each other's writes only after a delay.
test('only a few of many hosts write each stage', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  store.recordDelayMs = 1000;
  const random = createSeededRandom(7);
  const hosts = Array.from({ length: 60 }, (_, index) =>
    createRolloutTestHost(clock, store, `host-${index}`, random),
  );
  store.publishOrder(24_000);
  for (let second = 0; second < 24; second += 1) {
    for (const host of hosts) for (const release of ['v1', 'v2']) host.finishAttempt(release, true);
    await clock.advance(1000);
  }
  t.deepEqual(
    store.acceptedRecords.map((record) => record.split(' ').at(-1)),
    ['canary', 'full', 'succeeded'],
  );
  t.true(store.recordWriteCount <= 6, `${store.recordWriteCount} writes`);
});

/** Runs a rollout of 24 s whose store is restored, in a stage, from a copy with an earlier record. */
async function restoreDuringRollout(
  stage: RolloutStage,
  chooseCopy: (record: IRolloutRecord) => IRolloutRecord | undefined,
) {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = ['host-1', 'host-2'].map((id) => createRolloutTestHost(clock, store, id));
  store.publishOrder(24_000);
  const stages = new Set<string>();
  let restoredAt = Infinity;
  while (clock.now() < 26_000) {
    for (const host of hosts) for (const release of ['v1', 'v2']) host.finishAttempt(release, true);
    if (store.record?.stage === stage && restoredAt === Infinity) {
      restoredAt = clock.now();
      store.restore(chooseCopy(store.record));
    }
    // The operator writes the order again, under another revision, and a host starts that reads it under this one.
    if (clock.now() === restoredAt + 500) {
      store.publishOrder(24_000);
      const late = createRolloutTestHost(clock, store, 'host-3');
      hosts.push(late);
      for (const entry of hosts[0]!.board.facts.list()) late.board.facts.set(entry.key, entry);
    }
    await clock.advance(250);
    if (restoredAt < Infinity)
      stages.add(hosts.map(({ board }) => board.rollouts.get('drafts')?.stage).join(' '));
  }
  return { stages: [...stages], records: store.acceptedRecords, last: store.record?.stage };
}

// Guards against PINNED and EXPOSURE: a rollout that begins anew or goes back, because the store was restored from a
// copy with an earlier stage or without a record.
test('a rollout goes on at its stage after the store was restored from a copy', async (t) => {
  t.snapshot(await restoreDuringRollout('canary', () => undefined));
  t.snapshot(await restoreDuringRollout('full', (record) => ({ ...record, stage: 'canary' })));
  t.snapshot(await restoreDuringRollout('succeeded', (record) => ({ ...record, stage: 'full' })));
});

// Guards against using a bad release again, because the store was restored from a copy made before its rollback.
test('a rollback is recorded again after the store was restored from a copy', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const host = createRolloutTestHost(clock, store, 'host-1');
  store.publishOrder(24_000);
  await clock.advance(2000);
  const copy = store.record!;
  for (let count = 0; count < 6; count += 1) host.finishAttempt('v2', false);
  await clock.advance(1000);
  const before = store.record?.stage;
  store.restore(copy);
  const during = host.board.rollouts.get('drafts')?.stage;
  await clock.advance(1000);
  t.deepEqual([before, during, store.record?.stage], ['rolled-back', 'rolled-back', 'rolled-back']);
});

// Guards against an order that is never carried out, because a rollout of the same release had ended before the store
// was restored.
test('a release that was rolled back before a restoration can be ordered again after it', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const host = createRolloutTestHost(clock, store, 'host-1');
  store.publishOrder(24_000);
  await clock.advance(2000);
  for (let count = 0; count < 6; count += 1) host.finishAttempt('v2', false);
  await clock.advance(1000);
  store.restore(store.record);
  store.publishOrder(24_000);
  await clock.advance(20_000);
  const afterRestoration = host.board.rollouts.get('drafts')?.stage;
  store.publishOrder(24_000);
  await clock.advance(1000);
  t.deepEqual([afterRestoration, host.board.rollouts.get('drafts')?.stage], ['rolled-back', 'canary']);
});

import test from 'ava';
import { ManualClock } from '../../testing/ManualClock.js';
import {
  createRolloutTestHost,
  InMemoryFactStore,
  type IRolloutTestHost,
} from '../../testing/RolloutHosts.js';

/** Answers that each host has seen of the old release; too few for one host to know what is normal. */
const OLD_ANSWERS_PER_HOST = 4;

/** Starts hosts that have each seen a few answers of the old release after 100 ms, and begins a rollout. */
async function startRollout(clock: ManualClock, store: InMemoryFactStore): Promise<IRolloutTestHost[]> {
  const hosts = ['host-1', 'host-2', 'host-3'].map((id) => createRolloutTestHost(clock, store, id));
  const attempts = hosts.map((host) =>
    Array.from({ length: OLD_ANSWERS_PER_HOST }, () => host.startAttempt('v1')),
  );
  await clock.advance(100);
  for (const [index, host] of hosts.entries()) for (const id of attempts[index] ?? []) host.endAttempt(id);
  store.publishOrder(24_000);
  await clock.advance(1000);
  return hosts;
}

test('a release that does not begin its answers is rolled back before any of them has ended', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = await startRollout(clock, store);
  for (const host of hosts) for (let count = 0; count < 3; count += 1) host.startAttempt('v2');
  await clock.advance(3000);
  t.deepEqual(store.acceptedRecords, ['0 s canary', '2 s rolled-back']);
});

test('a release whose answers come slowly is rolled back by their first tokens', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = await startRollout(clock, store);
  const setPace = (host: IRolloutTestHost, id: string, paceMs: number): void => {
    host.board.attempts.update(id, { phase: 'streaming', firstTokenAt: clock.now(), paceMs });
  };
  for (const host of hosts)
    for (let count = 0; count < 4; count += 1) setPace(host, host.startAttempt('v1'), 20);
  await clock.advance(1000);
  for (const host of hosts)
    for (let count = 0; count < 4; count += 1) setPace(host, host.startAttempt('v2'), 160);
  await clock.advance(1500);
  t.is(hosts[0]?.board.rollouts.get('drafts')?.decision?.verdict?.symptom, 'slow-pace');
  t.deepEqual(
    store.acceptedRecords.slice(1).map((record) => record.split(' ')[2]),
    ['rolled-back'],
  );
});

test('a good release is not rolled back for a few slow answers', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  const hosts = await startRollout(clock, store);
  for (const host of hosts) {
    const ids = Array.from({ length: 10 }, () => host.startAttempt('v2'));
    await clock.advance(100);
    for (const id of ids.slice(2)) host.endAttempt(id);
    await clock.advance(1000);
    for (const id of ids.slice(0, 2)) host.endAttempt(id);
  }
  await clock.advance(2000);
  t.deepEqual(store.acceptedRecords, ['0 s canary']);
});

test('a host without requests publishes its baseline once a rollout', async (t) => {
  const clock = new ManualClock();
  const store = new InMemoryFactStore(clock);
  createRolloutTestHost(clock, store, 'host-1');
  store.publishOrder(24_000);
  await clock.advance(10_000);
  t.is(store.baselineWriteCount, 1);
});

import test from 'ava';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { EndpointRegistryController } from './EndpointRegistryController.js';
import type { IEndpointAnnouncement, IStoreConnectionEntry } from './Types.js';

const ANNOUNCEMENT: IEndpointAnnouncement = {
  id: 'e-1',
  service: 'drafts',
  address: '10.0.0.1:80',
  zone: 'a',
  release: 'v1',
  slots: 8,
  isLeaving: false,
  models: ['small'],
  startedAt: 1,
  warmUpMs: 0,
};

function createFixture(connection: Partial<IStoreConnectionEntry> = {}) {
  const clock = new ManualClock();
  const board = new Blackboard();
  board.storeConnection.set('store', {
    state: 'connected',
    changedAt: 0,
    revision: 1,
    losses: 0,
    changesSince: 0,
    ...connection,
  });
  new EndpointRegistryController({ board, clock });
  let revision = 1;
  const publish = (patch: Partial<IEndpointAnnouncement> = {}): void => {
    revision += 1;
    const fact = { kind: 'endpoint' as const, endpoint: { ...ANNOUNCEMENT, ...patch } };
    const era = board.storeConnection.get('store')?.era ?? 0;
    board.facts.set('e-1', { key: 'e-1', revision, era, fact });
  };
  const readHealth = (): string => board.endpoints.get('e-1')?.health ?? 'absent';
  return { clock, board, publish, readHealth };
}

// Guards against sending requests to an endpoint that is leaving or gone.
test('an endpoint is updated by its announcements and removed with them', (t) => {
  const { publish, board, readHealth } = createFixture();
  publish();
  board.endpoints.update('e-1', { inFlight: 3, health: 'suspect' });
  publish();
  const kept = { ...board.endpoints.get('e-1')! };
  publish({ startedAt: 2 });
  const restarted = { ...board.endpoints.get('e-1')! };
  publish({ isLeaving: true, startedAt: 2 });
  const leaving = readHealth();
  board.facts.delete('e-1');
  t.snapshot({ kept: [kept.inFlight, kept.health], restarted: [restarted.inFlight, restarted.health] });
  t.deepEqual([leaving, readHealth()], ['leaving', 'absent']);
});

// Guards against removing all endpoints because their announcements expired during a store outage.
test('an endpoint may announce itself again within 2 s after a store outage', async (t) => {
  const { publish, board, clock, readHealth } = createFixture({ losses: 1, changedAt: 0 });
  publish();
  await clock.advance(500);
  board.facts.delete('e-1');
  const duringPeriod = readHealth();
  await clock.advance(1000);
  publish();
  await clock.advance(2000);
  const returned = readHealth();
  board.storeConnection.update('store', { changedAt: clock.now() });
  board.facts.delete('e-1');
  await clock.advance(2100);
  t.deepEqual([duringPeriod, returned, readHealth()], ['healthy', 'healthy', 'absent']);
});

// Guards against sending requests to an endpoint that left after a store outage. From 3 s after the outage
// they are not allowed, but an endpoint was kept for 2 s from its removal, and so for up to 5 s after the
// outage.
test('the 2 s for a new announcement count from the end of the outage', async (t) => {
  const { publish, board, clock, readHealth } = createFixture({ losses: 1, changedAt: 0 });
  publish();
  await clock.advance(1900);
  board.facts.delete('e-1');
  const beforePeriodEnd = readHealth();
  await clock.advance(200);
  const afterPeriodEnd = readHealth();
  publish();
  board.facts.delete('e-1');
  t.deepEqual([beforePeriodEnd, afterPeriodEnd, readHealth()], ['healthy', 'absent', 'absent']);
});

// Guards against removing a known endpoint because its announcement cannot be decoded.
test('an unreadable announcement leaves the endpoint unchanged', (t) => {
  const { publish, board, readHealth } = createFixture();
  publish();
  board.facts.set('e-1', { key: 'e-1', revision: 9, fact: { kind: 'unreadable', reason: 'no JSON' } });
  t.is(readHealth(), 'healthy');
});

// Guards against sending requests to an endpoint that was removed during an outage, for 2 s after this host has reached
// the store again, which may be long after the store was back.
test('the time for a new announcement counts from the return of the store, not from the next call to it', (t) => {
  const { publish, board, readHealth } = createFixture({ losses: 1, changedAt: 0, availableSince: -2100 });
  publish();
  board.facts.delete('e-1');
  t.is(readHealth(), 'absent');
});

// Guards against requests to an endpoint that is gone, whose announcement another writer had made unreadable.
test('an endpoint is removed with its announcement although that had become unreadable', (t) => {
  const { publish, board, readHealth } = createFixture();
  publish();
  board.facts.set('e-1', { key: 'e-1', revision: 9, fact: { kind: 'unreadable', reason: 'no JSON' } });
  board.facts.delete('e-1');
  t.is(readHealth(), 'absent');
});

// Guards against DRAIN: requests to a process that had left or gone, because a restored store lists it as ready again.
test('a process that has gone is not used because the copy of a restored store announces it', async (t) => {
  const seen: Record<string, string[]> = {};
  for (const isLeaving of [false, true]) {
    const { publish, board, clock, readHealth } = createFixture({ era: 1 });
    publish({ isLeaving });
    board.facts.delete('e-1');
    board.storeConnection.update('store', { era: 2, availableSince: clock.now() });
    publish();
    const states = [readHealth()];
    await clock.advance(9000);
    states.push(readHealth());
    // Still listed after three missed heartbeats, so it is alive.
    await clock.advance(2000);
    states.push(readHealth());
    publish({ startedAt: 2 });
    seen[isLeaving ? 'left' : 'deleted'] = [...states, readHealth()];
  }
  t.snapshot(seen);
});

// Guards against refusing an endpoint that is alive: one that announces itself again, or writes in the new era.
test('a process that announces itself again after it was removed is used', (t) => {
  const { publish, board, readHealth } = createFixture({ era: 1 });
  publish();
  board.facts.delete('e-1');
  publish();
  const inSameEra = readHealth();
  board.facts.delete('e-1');
  board.storeConnection.update('store', { era: 2 });
  publish();
  const asListed = readHealth();
  publish({ slots: 9 });
  t.deepEqual([inSameEra, asListed, readHealth()], ['healthy', 'absent', 'healthy']);
});

// Guards against dropping an endpoint at once that is alive, because the copy of a restored store does not know it yet.
test('an endpoint that a restored store lacks is kept for 2 s', async (t) => {
  const { publish, board, clock, readHealth } = createFixture({ era: 1 });
  publish();
  board.storeConnection.update('store', { era: 2, availableSince: clock.now() });
  board.facts.delete('e-1');
  const states = [readHealth()];
  await clock.advance(2100);
  t.deepEqual([...states, readHealth()], ['healthy', 'absent']);
});

// Guards against requests to a process that wants none, as its heartbeats were lost and it is announced again.
test('a process that is announced again is paused and leaving as before', async (t) => {
  const seen: Record<string, unknown> = {};
  for (const [name, patch] of [
    ['same process', {}],
    ['later process', { startedAt: 2 }],
    ['other address', { address: '10.0.0.2:80' }],
  ] as const) {
    const { publish, board, clock } = createFixture();
    publish();
    board.endpoints.update('e-1', { pausedUntil: 5000, hasSaidLeaving: true });
    board.facts.delete('e-1');
    await clock.advance(1500);
    publish(patch);
    const { hasSaidLeaving, pausedUntil } = board.endpoints.get('e-1')!;
    seen[name] = { hasSaidLeaving, pausedUntil };
  }
  t.snapshot(seen);
});

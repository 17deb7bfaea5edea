import test from 'ava';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { EndpointRegistryController } from './EndpointRegistryController.js';
import type { IEndpointAnnouncement, IFeedEntry } from './Types.js';

const ANNOUNCED: IEndpointAnnouncement = {
  id: 'e-1',
  service: 'drafts',
  address: '10.0.0.1:80',
  zone: 'a',
  release: 'v1',
  slots: 8,
  isLeaving: false,
  models: ['small'],
  startedAt: 1,
};

function createRig(feed: Partial<IFeedEntry> = {}) {
  const clock = new ManualClock();
  const board = new Blackboard();
  board.feed.set('store', { state: 'connected', changedAt: 0, revision: 1, losses: 0, ...feed });
  new EndpointRegistryController({ board, clock });
  let revision = 1;
  const publish = (patch: Partial<IEndpointAnnouncement> = {}): void => {
    revision += 1;
    const fact = { kind: 'endpoint' as const, endpoint: { ...ANNOUNCED, ...patch } };
    board.facts.set('e-1', { key: 'e-1', revision, fact });
  };
  const readHealth = (): string => board.endpoints.get('e-1')?.health ?? 'absent';
  return { clock, board, publish, readHealth };
}

// Guards against work for an endpoint that leaves or has gone.
test('an endpoint follows its announcements', (t) => {
  const { publish, board, readHealth } = createRig();
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

// Guards against a pool that empties because entries lapsed while the store was away.
test('an entry that vanishes after an outage is kept for the time of its return', async (t) => {
  const { publish, board, clock, readHealth } = createRig({ losses: 1, changedAt: 0 });
  publish();
  await clock.advance(500);
  board.facts.delete('e-1');
  const atOnce = readHealth();
  await clock.advance(1000);
  publish();
  await clock.advance(2000);
  const returned = readHealth();
  board.feed.update('store', { changedAt: clock.now() });
  board.facts.delete('e-1');
  await clock.advance(2100);
  t.deepEqual([atOnce, returned, readHealth()], ['healthy', 'healthy', 'absent']);
});

// Guards against work for an endpoint that left after an outage: a bound on that holds 3 s after the outage.
test('an entry that vanishes long after an outage is kept no longer than one that vanishes in it', async (t) => {
  const { publish, board, clock, readHealth } = createRig({ losses: 1, changedAt: 0 });
  publish();
  await clock.advance(1900);
  board.facts.delete('e-1');
  const near = readHealth();
  await clock.advance(200);
  const gone = readHealth();
  publish();
  board.facts.delete('e-1');
  t.deepEqual([near, gone, readHealth()], ['healthy', 'absent', 'absent']);
});

// Guards against a known endpoint that is dropped for a value that cannot be read.
test('an unreadable value changes nothing', (t) => {
  const { publish, board, readHealth } = createRig();
  publish();
  board.facts.set('e-1', { key: 'e-1', revision: 9, fact: { kind: 'unreadable', reason: 'no JSON' } });
  t.is(readHealth(), 'healthy');
});

import test from 'ava';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IEndpointEntry } from '../blackboard/Types.js';
import { EndpointStateController } from './EndpointStateController.js';
import { reconcileEndpoint, type IListedEndpointState } from './EndpointStates.js';
import type { GossipUpdate } from './Updates.js';
import { publishUpdate } from './UpdateQueue.js';

const ENDPOINT = createTestEndpoint('engine-1', {
  service: 'deposits',
  address: 'http://10.0.0.1:80',
  zone: 'zone-a',
  incarnation: 1,
});
const REPORT = { running: 0, waiting: 0, cacheUse: 0, versions: ['small-1'], isLeaving: true, receivedAt: 0 };
const REFUSED: IAttemptEntry = {
  id: 'a-1',
  phase: 'failed',
  role: 'primary',
  request: 'r-1',
  endpoint: 'engine-1',
  plannedAt: 0,
  version: 'small-1',
  firstTokenAt: undefined,
  endedAt: 1,
  tokens: 0,
  answer: undefined,
  error: { kind: 'leaving', message: 'The endpoint is leaving.', ran: 'no' },
};
const LEAVING: GossipUpdate = { kind: 'endpoint', id: 'engine-1', condition: 'leaving', incarnation: 1 };

function createFixture(endpoint = ENDPOINT): { board: Blackboard; published: unknown[]; clock: ManualClock } {
  const clock = new ManualClock();
  const board = new Blackboard();
  const published: unknown[] = [];
  board.endpoints.set(endpoint.id, endpoint);
  new EndpointStateController({
    board,
    clock,
    publish: (update, urgency) => published.push({ update, urgency }),
  });
  return { board, published, clock };
}

function applyPeerUpdate(board: Blackboard, update: GossipUpdate): void {
  publishUpdate(board, update, { urgency: 'now', origin: 'peer', now: 0 });
}

// Guards against requests to an endpoint that is known to be leaving from only one of the possible signs.
test('the first sign that an endpoint is leaving takes it out of use and is published to the peers', (t) => {
  const signs: Record<string, (board: Blackboard) => void> = {
    list: (board) => board.endpoints.update('engine-1', { health: 'leaving' }),
    report: (board) => board.endpoints.update('engine-1', { report: REPORT }),
    refusal: (board) => {
      board.attempts.set('a-1', REFUSED);
    },
    peer: (board) => {
      applyPeerUpdate(board, LEAVING);
    },
    earlierStart: (board) => {
      applyPeerUpdate(board, { ...LEAVING, incarnation: 0 });
    },
  };
  const outcomes = Object.entries(signs).map(([sign, apply]) => {
    const { board, published } = createFixture();
    apply(board);
    return { sign, health: board.endpoints.get('engine-1')?.health, published };
  });
  t.snapshot(outcomes);
});

test("a peer's update about an endpoint that is not in the host list yet takes effect when it is listed", (t) => {
  const { board } = createFixture();
  applyPeerUpdate(board, { ...LEAVING, id: 'engine-2' });
  board.endpoints.set('engine-2', { ...ENDPOINT, id: 'engine-2' });
  t.is(board.endpoints.get('engine-2')?.health, 'leaving');
});

// Guards against an endpoint that stays out of use after its return, and against one that returns too early
// because the host list lags.
test('an endpoint returns with a higher incarnation or, if the list gives none, when the list shows its return', (t) => {
  const leaving: IEndpointEntry = { ...ENDPOINT, health: 'leaving', report: REPORT };
  const withoutStart: IEndpointEntry = { ...leaving, incarnation: 0 };
  const decide = (
    known: IEndpointEntry,
    before: IListedEndpointState['state'],
    state: IListedEndpointState['state'],
    incarnation?: number,
  ): string => reconcileEndpoint(known, { state: before, incarnation }, { state, incarnation }, 100).health;
  t.snapshot({
    sameStart: decide(leaving, 'live', 'live', 1),
    sameStartAfterLeaving: decide(leaving, 'leaving', 'live', 1),
    laterStart: decide(leaving, 'leaving', 'live', 2),
    earlierStartLeaving: decide({ ...ENDPOINT, incarnation: 3 }, 'live', 'leaving', 2),
    noStartStillLive: decide(withoutStart, 'live', 'live'),
    noStartAfterLeaving: decide(withoutStart, 'leaving', 'live'),
    noStartAfterGone: decide({ ...withoutStart, health: 'gone' }, 'live', 'live'),
  });
});

test('late updates about the previous run of an endpoint without an incarnation are ignored after its return', async (t) => {
  const { board, clock } = createFixture({ ...ENDPOINT, health: 'leaving', incarnation: 0 });
  applyPeerUpdate(board, { ...LEAVING, incarnation: 0 });
  board.endpoints.update('engine-1', { health: 'healthy' });
  const returned = board.endpoints.get('engine-1')?.health;
  await clock.advance(61_000);
  board.gossipUpdates.delete('endpoint:engine-1');
  applyPeerUpdate(board, { ...LEAVING, incarnation: 0 });
  t.snapshot({ returned, leavesAgain: board.endpoints.get('engine-1')?.health });
});

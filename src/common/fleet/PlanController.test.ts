import test from 'ava';
import { createTestEndpoint, createTestRequest } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { planAttempt } from '../request/AttemptPlan.js';
import { PlanController } from './PlanController.js';
import type { IRolloutEntry } from './Types.js';
import { createChooseRelease, chooseSmallestThenLargest } from './VersionChoice.js';

const ROLLOUT: IRolloutEntry = {
  service: 'drafts',
  release: 'v2',
  stage: 'canary',
  recordedStage: 'canary',
  order: 1,
  recordRevision: 1,
  canaryShare: 0.5,
  maxExposureShare: 1,
  durationMs: 20_000,
  orderSeenAt: 0,
  orderedAt: 0,
  stageSeenAt: 0,
};

/** Creates a host with a plan controller and one endpoint of each of the releases `v1` and `v2`. */
function createFixture() {
  const clock = new ManualClock();
  const board = new Blackboard();
  new PlanController({
    board,
    clock,
    chooseModels: chooseSmallestThenLargest,
    chooseRelease: createChooseRelease(),
    hashToFraction: () => 0,
    hashSession: (key) => key,
  });
  board.limits.set('in-force', {
    maxRetryShare: 1,
    sessionRetentionMs: 5000,
    maxExposureShare: 0.15,
    exposureSlack: 0,
    shutdownTimeoutMs: 2000,
    storeContactMs: 3000,
    maxApplyDelayMs: 2000,
  });
  for (const release of ['v1', 'v2']) board.endpoints.set(release, createTestEndpoint(release, { release }));
  return { board, clock };
}

test('a request that runs again leaves a release whose endpoints a rollout has ended', (t) => {
  const { board } = createFixture();
  const retry = (stage: IRolloutEntry['stage'], version: string): unknown => {
    board.rollouts.set('drafts', { ...ROLLOUT, stage });
    const plan = { steps: [version] as const, isExploration: false, eligibleRollouts: [] };
    board.requests.set('r', createTestRequest('r', { phase: 'running', version, plan, resumeAfter: '3' }));
    board.requests.update('r', { phase: 'queued' });
    const request = board.requests.get('r');
    return [request?.version, request?.plan?.steps];
  };
  t.snapshot({
    afterSuccess: retry('succeeded', 'drafts/large@v1'),
    beforeSuccessIsRead: retry('full', 'drafts/large@v1'),
    afterRollback: retry('rolled-back', 'drafts/large@v2'),
    inCanary: retry('canary', 'drafts/large@v1'),
  });
});

test('a session keeps its release when its request ran longer than the retention time', async (t) => {
  const { board, clock } = createFixture();
  const request = createTestRequest('first', { session: 's', version: 'drafts/small@v1' });
  board.requests.set('first', request);
  planAttempt(board, {
    id: 'attempt',
    role: 'primary',
    request,
    endpoint: 'v1',
    expectedTokens: 1,
    lengthClass: 'short',
    now: clock.now(),
  });
  board.attempts.update('attempt', { phase: 'sent' });
  await clock.advance(8000);
  board.requests.update('first', { phase: 'answered' });
  board.rollouts.set('drafts', ROLLOUT);
  await clock.advance(3000);
  board.requests.set('next', createTestRequest('next', { session: 's', phase: 'received' }));
  board.requests.update('next', { phase: 'admitted' });
  t.is(board.requests.get('next')?.version, 'drafts/auto@v1');
});

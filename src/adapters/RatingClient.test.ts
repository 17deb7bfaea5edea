import test from 'ava';
import { startRatingServer } from '../standins/RatingServer.js';
import { buildTestDocument, buildTestRequest, buildTestService } from '../testing/VersionFixtures.js';

import { ManualClock, settlePromises } from '../testing/ManualClock.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IAnswer, IAttemptEntry } from '../common/blackboard/Types.js';
import { RatingController } from '../common/rollout/RatingController.js';
import { createRatingClient } from './RatingClient.js';
import { systemClock } from './SystemClock.js';

const ANSWER: IAnswer = {
  kind: 'model',
  version: 'small-1',
  usage: { promptTokens: 1, completionTokens: 1 },
  content: 'text',
};
const PLAN = { steps: ['small-1', 'large-1'], isExploration: true, eligibleRollouts: [] } as const;
const ATTEMPT: IAttemptEntry = {
  id: 'a-1',
  phase: 'finished',
  role: 'primary',
  request: 'r-1',
  endpoint: 'e-1',
  version: 'small-1',
  plannedAt: 0,
  firstTokenAt: 1,
  endedAt: 2,
  tokens: 1,
  answer: ANSWER,
  error: undefined,
};

// Ratings arrive late and only for some answers. While the rating service is down, requests must not fail and
// work must not pile up.
test('ratings of delivered answers and rejected drafts reach the quality panel', async (t) => {
  const getRandom = (): number => 0.5;
  const isRated = ({ request }: { request: string }): boolean => !request.endsWith('7');
  const isGood = ({ request }: { request: string }): boolean => !request.endsWith('3');
  const server = await startRatingServer({ isGood, isRated, random: getRandom, delayMs: 20 });
  const options = { address: server.address, source: 'host-1', clock: systemClock, timeoutMs: 20_000 };
  const client = createRatingClient(options);
  const clock = new ManualClock();
  const board = new Blackboard();
  board.services.set(
    'deposits',
    buildTestService(buildTestDocument({ 'small-1': 'stable', 'large-1': 'stable' })),
  );
  const { fetchRatings, submitAnswer } = client;
  const pendingCalls: Promise<unknown>[] = [];
  const controller = new RatingController({
    board,
    clock,
    fetchRatings: (after) => {
      const page = fetchRatings(after);
      pendingCalls.push(page);
      return page;
    },
    submitAnswer: (submission) => {
      const reply = submitAnswer(submission);
      pendingCalls.push(reply);
      return reply;
    },
    hashToFraction: () => 0.99,
  });
  const deliverAnswer = (id: string): void => {
    const request = buildTestRequest({ id, phase: 'answered', answer: ANSWER, plan: PLAN });
    board.requests.set(id, request);
    board.requests.update(id, { phase: 'billed' });
  };
  for (let index = 0; index < 20; index += 1) deliverAnswer(`r-${index}`);
  controller.recordDraft(buildTestRequest({ plan: PLAN }), ATTEMPT, false);
  const notSampled = buildTestRequest({ id: 'not-sampled', plan: { ...PLAN, isExploration: false } });
  controller.recordDraft(notSampled, ATTEMPT, false);
  await Promise.all(pendingCalls);
  await new Promise((resolve) => setTimeout(resolve, 60));
  controller.start();
  await clock.advance(1000);
  await Promise.all(pendingCalls);
  await settlePromises();
  const quality = board.quality.get('deposits|tag-note|small-1');
  server.faults.isDown = true;
  deliverAnswer('r-down');
  const score = await client.scoreDraft(buildTestRequest(), ATTEMPT, 500);
  t.snapshot({
    submitted: server.submissions.length,
    rated: [quality?.good, quality?.bad],
    ofAcceptedDrafts: [quality?.acceptedGood, quality?.acceptedBad],
    scoreWhileDown: score,
    isCheckAvailable: client.isCheckAvailable(),
    pageWhileDown: (await fetchRatings(0)).isErr,
  });
  await Promise.all(pendingCalls);
  controller.dispose();
  await server.close();
});

test('the reply to the check of a draft contains its score', async (t) => {
  const server = await startRatingServer({
    isGood: ({ version }) => version === 'small-1',
    random: () => 0.5,
  });
  const client = createRatingClient({ address: server.address, source: 'host-1', clock: systemClock });
  const badDraft = { ...ATTEMPT, version: 'other-1' };
  t.snapshot({
    good: await client.scoreDraft(buildTestRequest(), ATTEMPT, 20_000),
    bad: await client.scoreDraft(buildTestRequest(), badDraft, 20_000),
    isCheckAvailable: client.isCheckAvailable(),
  });
  await server.close();
});

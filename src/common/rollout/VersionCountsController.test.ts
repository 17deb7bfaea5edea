import test from 'ava';
import { buildTestDocument, buildTestRequest, buildTestService } from '../../testing/VersionFixtures.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { AttemptErrorKind, IAttemptEntry } from '../blackboard/Types.js';
import { listRolloutCounts } from './Quality.js';
import { VersionCountsController } from './VersionCountsController.js';

const STAGES = { 'small-1': 'stable', 'large-1': 'stable', 'large-2': 'rolling-out' } as const;
const PLAN = { steps: ['large-1'], isExploration: false, eligibleRollouts: ['large-2'] } as const;

// Guards against counting what cannot be compared: attempts of another model, failures that the version did not
// cause, and requests of pinned sessions.
test('an attempt counts in the comparison of the rollout that its request is eligible for', (t) => {
  const board = new Blackboard();
  const controller = new VersionCountsController(board);
  board.services.set('deposits', buildTestService(buildTestDocument(STAGES)));
  board.requests.set('r-1', buildTestRequest({ id: 'r-1', phase: 'running', plan: PLAN }));
  board.requests.set('pinned', buildTestRequest({ id: 'pinned', phase: 'running', session: 's' }));
  let lastId = 0;
  const runAttempt = (
    version: string,
    durationMs: number,
    kind?: AttemptErrorKind,
    request = 'r-1',
  ): void => {
    const id = `a-${(lastId += 1)}`;
    const error = kind && { kind, message: '', ran: 'yes' as const };
    const common = { id, request, endpoint: 'e-1', version, tokens: 10, plannedAt: 0, firstTokenAt: 1 };
    const attempt: IAttemptEntry = {
      ...common,
      phase: 'sent',
      role: 'primary',
      endedAt: undefined,
      answer: undefined,
      error: undefined,
    };
    board.attempts.set(id, attempt);
    board.attempts.update(id, { phase: kind ? 'failed' : 'finished', endedAt: durationMs, error });
  };
  for (let index = 0; index < 4; index += 1) runAttempt('large-1', 100);
  runAttempt('large-2', 150);
  runAttempt('large-2', 250);
  runAttempt('small-1', 100);
  runAttempt('large-2', 100, undefined, 'pinned');
  for (const kind of ['crashed', 'silent', 'malformed', 'timed-out'] as const) runAttempt('large-2', 1, kind);
  for (const kind of ['overloaded', 'connect-failed', 'leaving', 'rejected'] as const) {
    runAttempt('large-2', 1, kind);
  }
  const request = buildTestRequest({ id: 'late', phase: 'running', version: 'large-2', plan: PLAN });
  board.requests.set('late', request);
  const refusal = { code: 'deadline_exceeded', message: '', ran: 'unknown' } as const;
  board.requests.update('late', { phase: 'refused', refusal });
  const draft = buildTestRequest({ plan: { ...PLAN, steps: ['large-2', 'small-1'] } });
  const attempt = board.attempts.get('a-5');
  if (attempt) controller.recordDraft(draft, attempt, false);
  t.snapshot({
    comparison: listRolloutCounts(board, 'deposits'),
    entries: [...board.quality.list()].map(({ kind, version }) => `${kind} ${version}`),
  });
});

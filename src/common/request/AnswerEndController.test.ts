import test from 'ava';
import { createTestEndpoint, createTestRequest, TEST_TARGET } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import type { IAnswer, IAttemptEntry, IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import { decideAnswerEnd } from '../policy/AnswerEnds.js';
import { AnswerEndController } from './AnswerEndController.js';
import { createDecideRetry } from '../policy/Retries.js';
import { DeadlineController } from './DeadlineController.js';
import { OutcomeController } from './OutcomeController.js';
import { refuseUnfinished } from './Refusals.js';
import type { IClock, Millis } from '../Types.js';
import type { CheckRun } from './Types.js';

const ANSWER: IAnswer = {
  kind: 'model',
  version: 'small-1',
  usage: { promptTokens: 0, completionTokens: 3 },
  content: undefined,
  lastEventId: '3',
};

/** Puts an attempt on the board whose stream of three events ended only with its connection. */
function endAttempt(
  checkRun: CheckRun,
  patch: Partial<IRequestEntry> = {},
  marksStreamEnds = false,
  earlyMs = 0,
) {
  const board = new Blackboard();
  const clock = new ManualClock();
  // Timers of Node.js fire up to a millisecond early.
  const schedule: IClock['schedule'] = (delay, callback) =>
    clock.schedule(delay > 1 ? delay - earlyMs : delay, callback);
  const controllerClock = { now: clock.now, schedule };
  const controller = new AnswerEndController({ board, clock: controllerClock, checkRun, decideAnswerEnd });
  const deadlines = new DeadlineController({ board, clock });
  const decideRetry = createDecideRetry(() => 1);
  const outcomes = new OutcomeController({ board, clock, decideRetry, takeRetryBudget: () => true });
  board.endpoints.set('m-1', createTestEndpoint('m-1', { consecutiveFailures: 2, marksStreamEnds }));
  const target = { ...TEST_TARGET, isStreaming: true };
  const running = {
    phase: 'running',
    target,
    isResumable: true,
    attemptCount: 1,
    attemptIds: ['a-1'],
  } as const;
  board.requests.set('r-1', createTestRequest('r-1', { ...running, winningAttempt: 'a-1', ...patch }));
  const attempt: Partial<IAttemptEntry> = {
    id: 'a-1',
    request: 'r-1',
    endpoint: 'm-1',
    tokens: 3,
    answer: ANSWER,
  };
  board.attempts.set('a-1', {
    ...attempt,
    phase: 'doubted',
    endMark: 'connection',
    endedAt: 0,
  } as IAttemptEntry);
  const dispose = (): void => {
    controller.dispose();
    deadlines.dispose();
    outcomes.dispose();
  };
  return { board, clock, dispose };
}

// Guards against requests that wait for their deadline: nothing else ends an attempt in the phase `doubted`.
test('an attempt does not stay doubted if the question to its endpoint fails', async (t) => {
  const errors: unknown[] = [];
  const recordError = (error: unknown): void => void errors.push(error);
  process.prependListener('unhandledRejection', recordError);
  const { board, clock, dispose } = endAttempt(() => Promise.reject(new Error('no valid address')));
  await clock.advance(1000);
  await new Promise((resolve) => setTimeout(resolve, 20));
  process.removeListener('unhandledRejection', recordError);
  dispose();
  t.deepEqual(
    { phase: board.attempts.get('a-1')?.phase, unhandled: errors.length },
    { phase: 'failed', unhandled: 0 },
  );
});

// Guards against an endpoint that cannot be reached and counts as sound, since its caller left during the question.
test('an endpoint that is unreachable after its answer has failed, also if the request has been removed', async (t) => {
  let resolveCheck: (check: 'unreachable') => void = () => undefined;
  const { board, clock, dispose } = endAttempt(() => new Promise((resolve) => (resolveCheck = resolve)));
  await clock.advance(1);
  board.requests.delete('r-1');
  resolveCheck('unreachable');
  await clock.advance(1000);
  dispose();
  t.is(board.endpoints.get('m-1')?.consecutiveFailures, 3);
});

for (const [end, endRequest] of [
  ['deadline', (_board: Blackboard, clock: ManualClock) => clock.advance(10_000)],
  [
    'stop of the host',
    (board: Blackboard) => {
      refuseUnfinished(board);
    },
  ],
] as const) {
  // Guards against ORDER: a cut that was told from an end, since its endpoint marks ends, is framed as complete.
  test(`a stream that waits for another endpoint to go on is not complete at the ${end}`, async (t) => {
    const { board, clock, dispose } = endAttempt(() => Promise.resolve('unknown'), {}, true);
    await clock.advance(1);
    const claimed = board.requests.get('r-1')?.claimedEnd?.endpoint;
    await endRequest(board, clock);
    dispose();
    t.deepEqual({ claimed, phase: board.requests.get('r-1')?.phase }, { claimed: 'm-1', phase: 'refused' });
  });
}

/** What happens, and when, after the end of a stream that may not be resumed. */
const LATER_EVENTS: Readonly<Record<string, { at: Millis; patch?: Partial<IEndpointEntry> }>> = {
  nothing: { at: 0 },
  'a stream begins with a mark': { at: 400, patch: { marksStreamEnds: true } },
  'more streams begin without a mark': { at: 400, patch: { unmarkedStreams: 3 } },
};

// Guards against LOST and ORDER: an end that is held back is decided before it is known how the service ends streams.
test('an end that cannot be confirmed is held back until more is known, or for a second', async (t) => {
  const outcomes: Record<string, unknown> = {};
  for (const [name, { at, patch }] of Object.entries(LATER_EVENTS))
    for (const deadlineAt of [10_000, 700]) {
      const request = { isResumable: false, isIdempotent: false, deadlineAt };
      const { board, clock, dispose } = endAttempt(() => Promise.resolve('unknown'), request, false, 0.5);
      const phases: string[] = [];
      board.attempts.onChange(({ after }) => phases.push(`${after?.phase} at ${Math.round(clock.now())} ms`));
      await clock.advance(at);
      if (patch) board.endpoints.update('m-1', patch);
      await clock.advance(2000);
      dispose();
      outcomes[`${name}, deadline at ${deadlineAt} ms`] = phases.at(-1);
    }
  t.snapshot(outcomes);
});

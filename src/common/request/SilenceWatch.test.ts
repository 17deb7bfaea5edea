import test from 'ava';
import { createTestEndpoint, createTestRequest } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { planAttempt } from './AttemptPlan.js';
import { SilenceWatch } from './SilenceWatch.js';
import type { DecideSilence } from './Types.js';

/** Checks the endpoint after each 800 ms without output, and fails the attempt after 2 s of silence. */
const decideSilence: DecideSilence = ({ silentMs }) =>
  silentMs >= 2000 ? { kind: 'fail' } : { kind: 'check', afterMs: 800 };

// Guards against noticing the silence of an attempt late because it had output before, and against checking
// an attempt that still produces output.
test('an attempt is checked after a time without output, counted from its last output', async (t) => {
  const clock = new ManualClock();
  const board = new Blackboard();
  const request = createTestRequest('r-1', {});
  const endpoint = createTestEndpoint('e-1', {});
  board.requests.set(request.id, request);
  board.endpoints.set(endpoint.id, endpoint);
  planAttempt(board, {
    id: 'a-1',
    role: 'primary',
    request,
    endpoint: endpoint.id,
    expectedTokens: 1,
    lengthClass: 'short',
    now: 0,
  });
  const attempt = board.attempts.get('a-1')!;
  const events: string[] = [];
  const watch = new SilenceWatch({
    clock,
    call: { attempt, request, endpoint, signal: new AbortController().signal },
    decideSilence,
    checkRun: (_call, outputs) => {
      events.push(`${clock.now()} asked after ${outputs} outputs`);
      return Promise.resolve('running');
    },
    onCheck: () => undefined,
    onFail: () => events.push(`${clock.now()} given up`),
  });
  for (let output = 1; output <= 10; output += 1) {
    await clock.advance(300);
    watch.recordOutput(output);
  }
  await clock.advance(5000);
  t.snapshot(events);
});

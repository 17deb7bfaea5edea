import test from 'ava';
import { createTestRequest } from '../../testing/EntryFixtures.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import type { ISilenceView } from '../request/Types.js';
import { createDecideSilence } from './Silence.js';

const STREAM: Partial<IRequestEntry> = { attemptCount: 1, maxAttempts: 3, targetLatencyMs: 2000 };

function createView(request: Partial<IRequestEntry>, patch: Partial<ISilenceView> = {}): ISilenceView {
  return {
    request: createTestRequest('r-1', { ...STREAM, ...request }),
    attempt: {} as IAttemptEntry,
    hasOutput: false,
    silentMs: 800,
    check: undefined,
    ...patch,
  };
}

// Guards against giving up an attempt that its endpoint still works on, or that no other attempt can follow.
test('a silent attempt is given up only on evidence, and only if another attempt can follow', (t) => {
  const decide = createDecideSilence({ hasBudget: () => true, mayStandStill: () => false });
  const decideWithoutBudget = createDecideSilence({ hasBudget: () => false, mayStandStill: () => false });
  const plain = { kind: 'plain' as const, plainService: 'ledger', method: 'GET', path: '/' };
  const target = { ...plain, contentType: undefined, body: undefined };
  t.snapshot({
    start: decide(createView({}, { silentMs: 0 })),
    running: decide(createView({}, { check: 'running' })),
    unreachable: decide(createView({}, { check: 'unreachable' })),
    ahead: decide(createView({}, { check: 'ahead', hasOutput: true })),
    unknownEarly: decide(createView({}, { check: 'unknown' })),
    unknownLate: decide(createView({}, { check: 'unknown', silentMs: 1600 })),
    runningTooLong: decide(createView({}, { check: 'running', silentMs: 4000 })),
    lastAttempt: decide(createView({ attemptCount: 3 }, { check: 'unreachable' })),
    notIdempotent: decide(createView({ isIdempotent: false }, { check: 'unreachable' })),
    noBudget: decideWithoutBudget(createView({}, { check: 'unreachable' })),
    plainEarly: decide(createView({ target }, { silentMs: 100 })),
    plainLate: decide(createView({ target }, { silentMs: 3000 })),
  });
});

// Guards against taking an endpoint that stands still for a second for one that is lost, and against waiting for it so long
// that no other can answer in time.
test('an endpoint that may stand still is given more time', (t) => {
  const decide = createDecideSilence({ hasBudget: () => true, mayStandStill: () => true });
  const plain = { kind: 'plain' as const, plainService: 'ledger', method: 'GET', path: '/' };
  const target = { ...plain, contentType: undefined, body: undefined };
  const attempt = { plannedAt: 0 } as IAttemptEntry;
  const call = { target, targetLatencyMs: 400, deadlineAt: 4000 };
  t.snapshot({
    streamStandsStill: decide(createView({}, { check: 'silent', silentMs: 1200 })),
    streamStandsStillTooLong: decide(createView({}, { check: 'silent', silentMs: 1600 })),
    plainBeforeTarget: decide(createView(call, { attempt, silentMs: 100 })),
    plainStandsStill: decide(createView(call, { attempt, silentMs: 700 })),
    plainStandsStillTooLong: decide(createView(call, { attempt, silentMs: 1500 })),
    plainHalfOfTimeUsed: decide(createView({ ...call, deadlineAt: 1500 }, { attempt, silentMs: 760 })),
  });
});

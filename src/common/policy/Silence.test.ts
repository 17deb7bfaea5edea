import test from 'ava';
import { createTestRequest } from '../../testing/Entries.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import type { ISilenceView } from '../request/Types.js';
import { createDecideSilence } from './Silence.js';

const STREAM: Partial<IRequestEntry> = { attemptCount: 1, maxAttempts: 3, targetLatencyMs: 2000 };

function describeView(request: Partial<IRequestEntry>, patch: Partial<ISilenceView> = {}): ISilenceView {
  return {
    request: createTestRequest('r-1', { ...STREAM, ...request }),
    attempt: {} as IAttemptEntry,
    hasOutput: false,
    silentMs: 800,
    check: undefined,
    ...patch,
  };
}

// Guards against an answer that is given up while its runner works on it, or for which none can follow.
test('a silent attempt is given up only on evidence and while another may follow', (t) => {
  const decide = createDecideSilence({ hasBudget: () => true });
  const decideWithout = createDecideSilence({ hasBudget: () => false });
  const plain = { kind: 'plain' as const, plainService: 'ledger', method: 'GET', path: '/' };
  const target = { ...plain, contentType: undefined, body: undefined };
  t.snapshot({
    start: decide(describeView({}, { silentMs: 0 })),
    running: decide(describeView({}, { check: 'running' })),
    unreachable: decide(describeView({}, { check: 'unreachable' })),
    ahead: decide(describeView({}, { check: 'ahead', hasOutput: true })),
    unknownEarly: decide(describeView({}, { check: 'unknown' })),
    unknownLate: decide(describeView({}, { check: 'unknown', silentMs: 1600 })),
    runningTooLong: decide(describeView({}, { check: 'running', silentMs: 4000 })),
    lastAttempt: decide(describeView({ attemptCount: 3 }, { check: 'unreachable' })),
    notIdempotent: decide(describeView({ isIdempotent: false }, { check: 'unreachable' })),
    noBudget: decideWithout(describeView({}, { check: 'unreachable' })),
    plainEarly: decide(describeView({ target }, { silentMs: 100 })),
    plainLate: decide(describeView({ target }, { silentMs: 3000 })),
  });
});

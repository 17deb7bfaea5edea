import test from 'ava';
import { createTestRequest } from '../../testing/EntryFixtures.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { decideHedgeByQuantile } from './Hedging.js';

const TIMES = Array.from({ length: 100 }, (_, index) => index + 1);

test('only the first attempt of an idempotent request is hedged, after a high quantile of enough samples', (t) => {
  const attempt = { role: 'primary' } as IAttemptEntry;
  const decide = (patch: Partial<IRequestEntry>, times: readonly number[] = TIMES): unknown =>
    decideHedgeByQuantile({ request: createTestRequest('r', patch), attempt, firstTokenTimes: times });
  t.snapshot({
    idempotent: decide({}),
    nonIdempotent: decide({ isIdempotent: false }),
    fewSamples: decide({}, TIMES.slice(0, 29)),
    alreadyRetried: decide({ attemptCount: 2 }),
  });
});

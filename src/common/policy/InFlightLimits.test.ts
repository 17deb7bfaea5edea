import test from 'ava';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import { computeLimitByQueueing } from './InFlightLimits.js';

test('the in-flight limit grows while attempts start at once and shrinks when they queue at the endpoint', (t) => {
  const view = { limit: 10, baseFirstTokenMs: 50, hostCount: 1, sinceDecreaseMs: 1000, now: 1000 };
  const compute = (inFlight: number, firstTokenMs: number, waiting = 0, since = 1000): number => {
    const report = { running: 10, waiting, cacheUse: 0, versions: [], isLeaving: false, receivedAt: 900 };
    const endpoint = createTestEndpoint('e', { inFlight, report });
    return computeLimitByQueueing({ ...view, endpoint, firstTokenMs, hostCount: 1, sinceDecreaseMs: since });
  };
  t.snapshot({
    startsAtOnce: compute(9, 55),
    limitNotUsed: compute(3, 55),
    waitsALittle: compute(9, 90),
    waits: compute(9, 150),
    decreasedJustNow: compute(9, 150, 0, 100),
    reportedWaiting: compute(9, 55, 5),
  });
});

import test from 'ava';
import fc from 'fast-check';
import type { ISymptomCounts, Symptom } from '../fleet/Types.js';
import { computeBinomialTail, findWorseSymptom } from './ReleaseVerdict.js';

/** Tells whether a release of one endpoint and one route is rolled back for its failures. */
function isSignificantlyWorse(
  newCounts: { good: number; bad: number },
  oldCounts: typeof newCounts,
): boolean {
  const describe = (counts: typeof newCounts): ISymptomCounts[] => [
    { symptom: 'failure', route: 'a', badEndpoints: ['e-1'], ...counts },
  ];
  const view = { newCounts: describe(newCounts), oldCounts: describe(oldCounts), newEndpointCount: 1 };
  return findWorseSymptom(view)?.certainty === 'certain';
}

// Guards against rolling back a release because of a handful of ordinary failures.
test('a release is judged worse only if the old failure rate does not explain its failures', (t) => {
  t.snapshot({
    twoBad: isSignificantlyWorse({ good: 0, bad: 2 }, { good: 100, bad: 0 }),
    threeOfFive: isSignificantlyWorse({ good: 2, bad: 3 }, { good: 100, bad: 0 }),
    sameRate: isSignificantlyWorse({ good: 40, bad: 6 }, { good: 400, bad: 60 }),
    shortHistory: isSignificantlyWorse({ good: 5, bad: 3 }, { good: 11, bad: 1 }),
    noHistory: isSignificantlyWorse({ good: 1, bad: 4 }, { good: 0, bad: 0 }),
  });
});

// Guards against a tail outside 0 to 1, and against one that grows with the number of failures.
test('the binomial tail is a probability that falls with the number of failures', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 60 }),
      fc.double({ min: 0.01, max: 0.9, noNaN: true }),
      (total, rate) => {
        const tails = Array.from({ length: total + 1 }, (_, bad) => computeBinomialTail(bad, total, rate));
        return tails.every((tail, index) => tail >= 0 && tail <= 1 && tail <= (tails[index - 1] ?? 1) + 1e-9);
      },
    ),
  );
  t.pass();
});

test('a fault on one route, of a slow release or of one endpoint among several is told from a good release', (t) => {
  const createCounts = (
    symptom: Symptom,
    route: string,
    [bad, good]: readonly [number, number],
    badEndpoints: readonly string[] = ['e-1', 'e-2'],
  ): ISymptomCounts => ({ symptom, route, bad, good, badEndpoints });
  const find = (newCounts: ISymptomCounts[], oldCounts: ISymptomCounts[] = []): unknown =>
    findWorseSymptom({ newCounts, oldCounts, newEndpointCount: 3 });
  const oldFailures = [createCounts('failure', 'post', [0, 300]), createCounts('failure', 'look', [60, 140])];
  t.snapshot({
    oneRouteAmongFailingOnes: find(
      [createCounts('failure', 'post', [9, 90]), createCounts('failure', 'look', [30, 70])],
      oldFailures,
    ),
    goodRelease: find(
      [createCounts('failure', 'post', [0, 90]), createCounts('failure', 'look', [30, 70])],
      oldFailures,
    ),
    allRoutesTogether: find([
      createCounts('late-start', 'a', [5, 0]),
      createCounts('late-start', 'b', [5, 0]),
    ]),
    slowRelease: find(
      [createCounts('late-start', 'post', [18, 13])],
      [createCounts('late-start', 'post', [13, 217])],
    ),
    fewSlowAnswers: find(
      [createCounts('late-start', 'post', [5, 3])],
      [createCounts('late-start', 'post', [13, 217])],
    ),
    fillingCaches: find(
      [createCounts('late-start', 'a', [40, 186])],
      [createCounts('late-start', 'a', [75, 529])],
    ),
    oneEndpoint: find([createCounts('failure', 'post', [5, 60], ['e-1'])], oldFailures),
  });
});

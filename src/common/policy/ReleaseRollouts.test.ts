import test from 'ava';
import fc from 'fast-check';
import { computeBinomialTail, isSignificantlyWorse } from './ReleaseRollouts.js';

// Guards against rolling back a release because of a handful of ordinary failures.
test('a release is judged worse only if the old failure rate does not explain its failures', (t) => {
  t.snapshot({
    twoBad: isSignificantlyWorse({ good: 0, bad: 2 }, { good: 100, bad: 0 }),
    threeOfFive: isSignificantlyWorse({ good: 2, bad: 3 }, { good: 100, bad: 0 }),
    sameRate: isSignificantlyWorse({ good: 40, bad: 6 }, { good: 400, bad: 60 }),
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

import test from 'ava';
import fc from 'fast-check';
import { computeUpperTail, isWorse } from './RolloutVerdicts.js';

// Guards against a verdict that a handful of ordinary failures decides.
test('a release is worse only when its failures are not explained by the old rate', (t) => {
  t.snapshot({
    twoBad: isWorse({ good: 0, bad: 2 }, { good: 100, bad: 0 }),
    threeOfFive: isWorse({ good: 2, bad: 3 }, { good: 100, bad: 0 }),
    sameRate: isWorse({ good: 40, bad: 6 }, { good: 400, bad: 60 }),
    noHistory: isWorse({ good: 1, bad: 4 }, { good: 0, bad: 0 }),
  });
});

// Guards against a probability outside its range or one that grows with more evidence.
test('the tail is a probability that falls with the number of failures', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 60 }),
      fc.double({ min: 0.01, max: 0.9, noNaN: true }),
      (total, rate) => {
        const tails = Array.from({ length: total + 1 }, (_, bad) => computeUpperTail(bad, total, rate));
        return tails.every((tail, index) => tail >= 0 && tail <= 1 && tail <= (tails[index - 1] ?? 1) + 1e-9);
      },
    ),
  );
  t.pass();
});

import test from 'ava';
import { createSeededRandom } from '../../adapters/Random.js';
import type { RandomSource } from '../Types.js';
import { addBatch, computeEValue, createEvidence, type IOutcomeCounts } from './SequentialTest.js';

const THRESHOLD = 4000;

function sampleBatch(random: RandomSource, size: number, badRate: number): IOutcomeCounts {
  let bad = 0;
  for (let index = 0; index < size; index += 1) if (random() < badRate) bad += 1;
  return { bad, total: size };
}

/**
 * Counts the batches from `changeBatch`, at which the new version's rate of bad outcomes changes, to the one
 * at which the evidence reaches the threshold; `undefined` if it never does.
 */
function findHaltDelay(
  random: RandomSource,
  changedRate: number,
  changeBatch: number,
  batches: number,
): number | undefined {
  let evidence = createEvidence();
  for (let batch = 0; batch < batches; batch += 1) {
    const newCounts = sampleBatch(random, 10, batch < changeBatch ? 0.1 : changedRate);
    evidence = addBatch(evidence, newCounts, sampleBatch(random, 20, 0.1));
    if (computeEValue(evidence) >= THRESHOLD) return batch - changeBatch;
  }
  return undefined;
}

// The evidence is tested after every batch. Guards against repeated tests that halt a good version more often
// than the threshold allows.
test('equal or better versions are not halted, and worse ones are halted soon, even if they turn bad late', (t) => {
  const random = createSeededRandom(20261204);
  const collectHaltDelays = (changedRate: number, changeBatch: number): (number | undefined)[] =>
    Array.from({ length: 40 }, () => findHaltDelay(random, changedRate, changeBatch, 600));
  t.deepEqual(
    collectHaltDelays(0.1, 0).filter((halt) => halt !== undefined),
    [],
  );
  t.deepEqual(
    collectHaltDelays(0.05, 0).filter((halt) => halt !== undefined),
    [],
  );
  for (const [rate, changeBatch, limit] of [
    [0.19, 0, 400],
    [0.64, 0, 20],
    [0.64, 300, 20],
  ] as const) {
    for (const halt of collectHaltDelays(rate, changeBatch)) t.true(halt !== undefined && halt <= limit);
  }
});

test('evidence survives storage as JSON, and a batch without outcomes of one version leaves the e-value unchanged', (t) => {
  const empty = createEvidence();
  t.deepEqual(JSON.parse(JSON.stringify(empty)), empty);
  const none = { bad: 0, total: 0 };
  t.is(computeEValue(addBatch(empty, { bad: 9, total: 9 }, none)), 1);
  t.is(computeEValue(addBatch(empty, none, { bad: 0, total: 9 })), 1);
});

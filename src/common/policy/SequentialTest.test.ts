import test from 'ava';
import { createSeededRandom } from '../../adapters/Random.js';
import type { RandomSource } from '../Types.js';
import { addBatch, computeEvidence, createEvidence, type IOutcomeCounts } from './SequentialTest.js';

const THRESHOLD = 4000;

function sampleBatch(random: RandomSource, size: number, badRate: number): IOutcomeCounts {
  let bad = 0;
  for (let index = 0; index < size; index += 1) if (random() < badRate) bad += 1;
  return { bad, total: size };
}

/** Batches until the evidence passes the threshold, for a version that turns bad at a batch. */
function findHalt(
  random: RandomSource,
  freshRate: number,
  turnsAt: number,
  batches: number,
): number | undefined {
  let evidence = createEvidence();
  for (let batch = 0; batch < batches; batch += 1) {
    const fresh = sampleBatch(random, 10, batch < turnsAt ? 0.1 : freshRate);
    evidence = addBatch(evidence, fresh, sampleBatch(random, 20, 0.1));
    if (computeEvidence(evidence) >= THRESHOLD) return batch - turnsAt;
  }
  return undefined;
}

// A test that is looked at after every batch must not halt a good version more often than promised.
test('equal or better versions are not halted, worse ones soon, also when they turn bad late', (t) => {
  const random = createSeededRandom(20261204);
  const repeat = (freshRate: number, turnsAt: number): (number | undefined)[] =>
    Array.from({ length: 40 }, () => findHalt(random, freshRate, turnsAt, 600));
  t.deepEqual(
    repeat(0.1, 0).filter((halt) => halt !== undefined),
    [],
  );
  t.deepEqual(
    repeat(0.05, 0).filter((halt) => halt !== undefined),
    [],
  );
  for (const [rate, turnsAt, limit] of [
    [0.19, 0, 400],
    [0.64, 0, 20],
    [0.64, 300, 20],
  ] as const) {
    for (const halt of repeat(rate, turnsAt)) t.true(halt !== undefined && halt <= limit);
  }
});

test('evidence survives being stored as JSON, and groups without outcomes change nothing', (t) => {
  const empty = createEvidence();
  t.deepEqual(JSON.parse(JSON.stringify(empty)), empty);
  const none = { bad: 0, total: 0 };
  t.is(computeEvidence(addBatch(empty, { bad: 9, total: 9 }, none)), 1);
  t.is(computeEvidence(addBatch(empty, none, { bad: 0, total: 9 })), 1);
});

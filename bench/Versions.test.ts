import test from 'ava';
import { decideBySequentialTest, decideByTimeOnly } from '../src/common/policy/Rollouts.js';
import { measureCascades } from './CascadeCost.js';
import { measureExposure } from './RolloutExposure.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const SEEDS = [SEED, SEED + 1, SEED + 2];

// Guards the target: bad answers at most a tenth of those with fixed time steps, good versions pass.
test('a bad version is exposed to at most a tenth of the answers, a good one passes', async (t) => {
  const good = await measureExposure('good', SEEDS, decideBySequentialTest);
  t.deepEqual([good.halted, good.passed], [0, SEEDS.length]);
  for (const truth of ['minus-10', 'minus-60'] as const) {
    const tested = await measureExposure(truth, SEEDS, decideBySequentialTest);
    const baseline = await measureExposure(truth, SEEDS, decideByTimeOnly);
    t.is(tested.halted, SEEDS.length);
    t.true(tested.badAnswers <= 0.1 * baseline.badAnswers);
  }
});

// Guards the targets: quality in every kind, and cost at most 1.15 times the oracle's, learning included.
test('every kind of request meets the quality target near the cost of the oracle', (t) => {
  const { learned, oracle, strongest } = measureCascades(SEED, 60_000, 0);
  for (const quality of Object.values(learned!.qualityByKind)) t.true(quality >= 0.9);
  t.true(learned!.cost <= 1.15 * oracle!.cost);
  t.true(learned!.cost < strongest!.cost);
});

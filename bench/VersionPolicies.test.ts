import test from 'ava';
import { decideBySequentialTest, decideByTimeOnly } from '../src/common/policy/Rollouts.js';
import { measureCascades } from './CascadeCost.js';
import { measureExposure } from './RolloutExposure.js';

const SEED = Number(process.env.FAST_CHECK_SEED ?? 20261204);
const SEEDS = [SEED, SEED + 1, SEED + 2];

// Fails if the sequential test halts a good version, passes a bad one, or halts a bad one so late that callers
// get more than a tenth of the bad answers that they get with fixed time steps.
test('the sequential test passes good versions and avoids nine tenths of the bad answers of bad versions', async (t) => {
  const good = await measureExposure('good', SEEDS, decideBySequentialTest);
  t.deepEqual([good.halted, good.passed], [0, SEEDS.length]);
  for (const behaviour of ['minus-10', 'minus-60'] as const) {
    const tested = await measureExposure(behaviour, SEEDS, decideBySequentialTest);
    const baseline = await measureExposure(behaviour, SEEDS, decideByTimeOnly);
    t.is(tested.halted, SEEDS.length);
    t.true(tested.badAnswers <= 0.1 * baseline.badAnswers);
  }
});

// Fails if the learned policy misses the quality target in a kind of request, or costs more than 1.15 times as
// much as the oracle. The cost includes the requests during which the policy still learns.
test('the learned policy meets the quality target in every kind at nearly the cost of the oracle', (t) => {
  const { learned, oracle, strongest } = measureCascades(SEED, 60_000, 0);
  for (const quality of Object.values(learned!.qualityByKind)) t.true(quality >= 0.9);
  t.true(learned!.cost <= 1.15 * oracle!.cost);
  t.true(learned!.cost < strongest!.cost);
});

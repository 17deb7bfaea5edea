import test from 'ava';
import { buildTestDocument, buildTestRolloutState } from '../../testing/VersionFixtures.js';
import type { IRolloutState } from '../config/Types.js';
import type { IRolloutProgress } from '../rollout/Types.js';
import { createProgress, decideBySequentialTest, decideByTimeOnly } from './Rollouts.js';

/**
 * Builds progress in which the evidence of the ratings has the given e-value; the other signals have no
 * evidence.
 */
function buildProgress(share: number, elapsedMs: number, ratings: number, value: number): IRolloutProgress {
  const progress = createProgress(1, share);
  const { evidence } = progress;
  const logWealth = evidence.ratings.logWealth.map(() => Math.log(value));
  const strong = { ...evidence.ratings, batches: 1_000_000, logWealth };
  return { ...progress, elapsedMs, ratings, evidence: { ...evidence, ratings: strong } };
}

test('decision table for the rollout of a version', (t) => {
  const table: Record<string, unknown> = {};
  const add = (
    name: string,
    state: Partial<IRolloutState>,
    [elapsedMs, ratings, value]: [number, number, number],
    serviceLines = '',
  ): void => {
    const document = buildTestDocument({ 'large-1': 'stable', 'large-2': 'rolling-out' }, serviceLines);
    const full = buildTestRolloutState('large-2', state);
    const progress = buildProgress(full.share, elapsedMs, ratings, value);
    const view = { document, state: full, progress };
    table[name] = { tested: decideBySequentialTest(view), timed: decideByTimeOnly(view) };
  };
  add('too early', {}, [299_000, 50, 1]);
  add('too few ratings', {}, [300_000, 49, 1]);
  add('step done', {}, [300_000, 50, 1]);
  add('some doubt', {}, [300_000, 50, 6]);
  add('suspected', {}, [1000, 5, 21]);
  add('suspected at a small share', { share: 0.05 }, [1000, 5, 21]);
  add('worse', {}, [1000, 5, 4001]);
  add('worse after it passed', { verdict: 'passed', share: 0.95 }, [1000, 5, 4001]);
  add('last step done', { share: 0.8 }, [300_000, 50, 1]);
  add('share at the maximum', { share: 0.2 }, [300_000, 50, 1], 'rollout_max_share = 0.2');
  add('next share above the maximum', { share: 0.2 }, [300_000, 50, 1], 'rollout_max_share = 0.3');
  add('halted', { verdict: 'halted', share: 0 }, [900_000, 500, 1]);
  t.snapshot(table);
});

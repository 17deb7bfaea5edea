import type { IReleaseVerdict, IRolloutEntry, RolloutStage } from '../fleet/Types.js';
import type { Millis } from '../Types.js';

/** Input of the decision on the rollout of a release. */
export interface IReleaseRolloutView {
  rollout: IRolloutEntry;
  /** Symptom by which the new release is worse than the old ones; `undefined` if none is known. */
  verdict: IReleaseVerdict | undefined;
  /** Number of endpoints of the new release that take work. */
  newEndpointCount: number;
  now: Millis;
}

/** Decides on the next stage of a release's rollout; `undefined` keeps the current stage. */
export type DecideReleaseRollout = (view: IReleaseRolloutView) => RolloutStage | undefined;

/**
 * Share of the rollout's duration after which sessions may move to the new release. Before, they stay on the
 * old one.
 */
const FULL_AT_SHARE = 0.53;

/**
 * Share of the duration after which a rollout succeeds. The old endpoints end then, so requests still in
 * flight there have had the time since the last ones moved. The rest is reserved for a slow store.
 */
const SUCCESS_AT_SHARE = 0.93;

/** Shortest time at the `full` stage. A release that fails under load shows it within this time. */
const MIN_FULL_MS: Millis = 5000;

/**
 * Rolls back a release that is worse than the old ones. Otherwise advances the rollout
 * with its elapsed time, so that it succeeds before its duration has passed.
 */
export const decideReleaseRollout: DecideReleaseRollout = (view) => {
  const { newEndpointCount, now, rollout } = view;
  const { durationMs, orderSeenAt, stage, stageSeenAt } = rollout;
  if (stage === 'succeeded' || stage === 'rolled-back') return undefined;
  if (view.verdict) return 'rolled-back';
  if (stage === 'ordered') return 'canary';
  const elapsedShare = (now - orderSeenAt) / durationMs;
  if (stage === 'canary') return elapsedShare >= FULL_AT_SHARE && newEndpointCount > 0 ? 'full' : undefined;
  if (now - stageSeenAt < MIN_FULL_MS || newEndpointCount === 0) return undefined;
  return elapsedShare >= SUCCESS_AT_SHARE ? 'succeeded' : undefined;
};

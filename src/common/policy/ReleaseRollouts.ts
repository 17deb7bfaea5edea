import type { IReleaseVerdict, IRolloutEntry, RolloutStage } from '../fleet/Types.js';
import type { Millis } from '../Types.js';
import type { IRolloutSchedule } from './RolloutSchedule.js';

/** Input of the decision on the rollout of a release. */
export interface IReleaseRolloutView {
  rollout: IRolloutEntry;
  schedule: IRolloutSchedule;
  /** Symptom by which the new release is, or may be, worse than the old ones; `undefined` if none is known. */
  verdict: IReleaseVerdict | undefined;
  /** Number of endpoints of the new release that take work. */
  newEndpointCount: number;
  now: Millis;
}

/** Decides on the next stage of a release's rollout; `undefined` keeps the current stage. */
export type DecideReleaseRollout = (view: IReleaseRolloutView) => RolloutStage | undefined;

/** Part of the ramp that the stage `full` must have lasted before a rollout succeeds, if it began late. */
const MIN_RAMP_PART = 0.5;

/**
 * Rolls back a release that is worse than the old ones. Otherwise advances the rollout at the times of its
 * schedule, or later if the release is suspected: an overdue rollout costs less than a bad release that is kept.
 */
export const decideReleaseRollout: DecideReleaseRollout = (view) => {
  const { newEndpointCount, now, rollout } = view;
  const { orderedAt, stage, stageSeenAt } = rollout;
  if (stage === 'succeeded' || stage === 'rolled-back') return undefined;
  if (view.verdict?.certainty === 'certain') return 'rolled-back';
  if (stage === 'ordered') return 'canary';
  if (view.verdict) return undefined;
  const elapsedMs = now - orderedAt;
  const { rampEndMs, rampStartMs, successAtMs } = view.schedule;
  if (newEndpointCount === 0) return undefined;
  if (stage === 'canary') return elapsedMs >= rampStartMs ? 'full' : undefined;
  const hasMoved = now - stageSeenAt >= MIN_RAMP_PART * (rampEndMs - rampStartMs);
  return hasMoved && elapsedMs >= successAtMs ? 'succeeded' : undefined;
};

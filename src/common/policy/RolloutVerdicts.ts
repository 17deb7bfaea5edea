import type { IAnswerCounts, IRolloutEntry, RolloutStage } from '../fleet/Types.js';
import type { Millis } from '../Types.js';

/** What the decision on a rollout looks at. */
export interface IRolloutView {
  rollout: IRolloutEntry;
  /** Answers of the old releases and of the new one, of all hosts as far as known. */
  oldCounts: IAnswerCounts;
  newCounts: IAnswerCounts;
  /** Attempts of this host in flight on the old releases. */
  oldInFlight: number;
  /** Endpoints of the new release that take work. */
  newEndpoints: number;
  now: Millis;
}

/** Decides on the next stage of a rollout; `undefined` to stay. */
export type DecideRollout = (view: IRolloutView) => RolloutStage | undefined;

/** Share of the duration after which sessions may move to the new release; the first half keeps them. */
const FULL_AT_SHARE = 0.53;

/** Share of the duration after which a rollout is finished; the rest is for a slow or absent store. */
const SUCCESS_AT_SHARE = 0.85;

/** Share by which a rollout is finished although old streams still run. */
const FORCED_SUCCESS_AT_SHARE = 0.93;

/** Shortest time at the full share: a release that is bad under load shows it in this time. */
const MIN_FULL_MS: Millis = 5000;

/** Probability of as many bad answers from a good release below which it is rolled back. */
const MAX_FALSE_ALARM = 1e-4;

/** Bad answers that are never too few to judge. */
const MIN_BAD = 3;

/** Failure rate that every release is assumed to have at least. */
const MIN_FAILURE_RATE = 0.01;

/** Factor on the old failure rate that a new release may have. */
const TOLERATED_FACTOR = 1.5;

/**
 * Rolls back a release whose answers are significantly worse than the old ones', and otherwise finishes
 * the rollout before its deadline.
 */
export const decideRolloutByEvidence: DecideRollout = (view) => {
  const { newEndpoints, now, oldInFlight, rollout } = view;
  const { durationMs, seenAt, stage, stageSeenAt } = rollout;
  if (stage === 'succeeded' || stage === 'rolled-back') return undefined;
  if (isWorse(view.newCounts, view.oldCounts)) return 'rolled-back';
  if (stage === 'ordered') return 'canary';
  const elapsed = (now - seenAt) / durationMs;
  if (stage === 'canary') return elapsed >= FULL_AT_SHARE && newEndpoints > 0 ? 'full' : undefined;
  if (now - stageSeenAt < MIN_FULL_MS || newEndpoints === 0) return undefined;
  const isDue = elapsed >= SUCCESS_AT_SHARE && oldInFlight === 0;
  return isDue || elapsed >= FORCED_SUCCESS_AT_SHARE ? 'succeeded' : undefined;
};

/** Tells whether the new release fails significantly more often than the old one. */
export function isWorse(newCounts: IAnswerCounts, oldCounts: IAnswerCounts): boolean {
  if (newCounts.bad < MIN_BAD) return false;
  const oldTotal = oldCounts.good + oldCounts.bad;
  const oldRate = (oldCounts.bad + MIN_FAILURE_RATE) / (oldTotal + 1);
  const tolerated = Math.min(0.9, Math.max(MIN_FAILURE_RATE, TOLERATED_FACTOR * oldRate));
  return computeUpperTail(newCounts.bad, newCounts.good + newCounts.bad, tolerated) < MAX_FALSE_ALARM;
}

/** Computes the probability of at least `bad` failures among `total` at a failure rate. */
export function computeUpperTail(bad: number, total: number, rate: number): number {
  let term = (1 - rate) ** total;
  let below = 0;
  for (let count = 0; count < bad; count += 1) {
    below += term;
    term *= ((total - count) / (count + 1)) * (rate / (1 - rate));
  }
  return Math.max(0, 1 - below);
}

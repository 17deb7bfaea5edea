import type { IAnswerCounts, IRolloutEntry, RolloutStage } from '../fleet/Types.js';
import type { Millis } from '../Types.js';

/** Input of the decision on the rollout of a release. */
export interface IReleaseRolloutView {
  rollout: IRolloutEntry;
  /**
   * Counts of good and bad answers of the old releases and of the new one, from all hosts that have reported
   * them.
   */
  oldCounts: IAnswerCounts;
  newCounts: IAnswerCounts;
  /** Attempts of this host in flight on the old releases. */
  oldInFlight: number;
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
 * Share of the duration after which a rollout may succeed. The rest is reserved for the case that the store
 * is slow or unavailable.
 */
const SUCCESS_AT_SHARE = 0.85;

/**
 * Share of the duration after which a rollout succeeds even if attempts on the old releases are still in
 * flight.
 */
const FORCED_SUCCESS_AT_SHARE = 0.93;

/** Shortest time at the `full` stage. A release that fails under load shows it within this time. */
const MIN_FULL_MS: Millis = 5000;

/**
 * A release is rolled back if a good release would give as many bad answers with a lower probability than
 * this.
 */
const SIGNIFICANCE_LEVEL = 1e-4;

/** Smallest number of bad answers with which a release can be judged worse. */
const MIN_BAD_ANSWERS = 3;

/** Lower bound on the assumed failure rate of any release. */
const MIN_FAILURE_RATE = 0.01;

/** Multiple of the old releases' failure rate that a new release may have without being judged worse. */
const ALLOWED_FAILURE_RATE_FACTOR = 1.5;

/**
 * Rolls back a release that fails significantly more often than the old ones. Otherwise advances the rollout
 * with its elapsed time, so that it succeeds before its duration has passed.
 */
export const decideReleaseRollout: DecideReleaseRollout = (view) => {
  const { newEndpointCount, now, oldInFlight, rollout } = view;
  const { durationMs, orderSeenAt, stage, stageSeenAt } = rollout;
  if (stage === 'succeeded' || stage === 'rolled-back') return undefined;
  if (isSignificantlyWorse(view.newCounts, view.oldCounts)) return 'rolled-back';
  if (stage === 'ordered') return 'canary';
  const elapsedShare = (now - orderSeenAt) / durationMs;
  if (stage === 'canary') return elapsedShare >= FULL_AT_SHARE && newEndpointCount > 0 ? 'full' : undefined;
  if (now - stageSeenAt < MIN_FULL_MS || newEndpointCount === 0) return undefined;
  const mayFinish = elapsedShare >= SUCCESS_AT_SHARE && oldInFlight === 0;
  return mayFinish || elapsedShare >= FORCED_SUCCESS_AT_SHARE ? 'succeeded' : undefined;
};

/** Tells whether the new release fails significantly more often than the old releases. */
export function isSignificantlyWorse(newCounts: IAnswerCounts, oldCounts: IAnswerCounts): boolean {
  if (newCounts.bad < MIN_BAD_ANSWERS) return false;
  const oldTotal = oldCounts.good + oldCounts.bad;
  const oldRate = (oldCounts.bad + MIN_FAILURE_RATE) / (oldTotal + 1);
  const allowedRate = Math.min(0.9, Math.max(MIN_FAILURE_RATE, ALLOWED_FAILURE_RATE_FACTOR * oldRate));
  return computeBinomialTail(newCounts.bad, newCounts.good + newCounts.bad, allowedRate) < SIGNIFICANCE_LEVEL;
}

/** Computes the binomial probability of at least `bad` failures among `total` answers at a failure rate. */
export function computeBinomialTail(bad: number, total: number, rate: number): number {
  let term = (1 - rate) ** total;
  let lowerTail = 0;
  for (let count = 0; count < bad; count += 1) {
    lowerTail += term;
    term *= ((total - count) / (count + 1)) * (rate / (1 - rate));
  }
  return Math.max(0, 1 - lowerTail);
}

import type { Millis } from '../Types.js';

/** Times of a rollout, from `orderedAt` on. */
export interface IRolloutSchedule {
  /** When the remaining sessions begin to move to the new release. */
  rampStartMs: Millis;
  /** When all sessions have moved. */
  rampEndMs: Millis;
  /** When the rollout succeeds. */
  successAtMs: Millis;
}

/** What a schedule depends on. */
export interface IScheduleView {
  durationMs: Millis;
  /** Earliest and latest time at which the order can have been written. */
  orderedAt: Millis;
  orderSeenAt: Millis;
  /** Share of the sessions that use the new release in the stage `canary`. */
  canaryShare: number;
  /** Largest share of a service's requests that may reach a bad release during a rollout. */
  maxExposureShare: number;
}

/** Largest part of the allowed exposure that the stage `canary` would use if it lasted the whole rollout. */
const MAX_CANARY_PART = 0.4;

/** Time that is reserved between the success and the end of the duration, in case the store is slow. */
const MIN_RESERVE_MS: Millis = 600;
const RESERVE_SHARE = 0.02;

/** Time between the end of the ramp and the success, in which most requests on the old release end. */
const SETTLE_SHARE = 0.015;

/** Bounds on the length of the ramp, as shares of the duration. */
const MIN_RAMP_SHARE = 0.03;
const MAX_RAMP_SHARE = 0.4;

/**
 * Computes the share of the sessions that use the new release in the stage `canary`: as much as one endpoint
 * of the old release serves. A larger share of a large service would give no better evidence, but move more
 * sessions.
 * @example
 * computeCanaryShare({ maxExposureShare: 0.1, oldEndpointCount: 50 }); // 0.02
 * computeCanaryShare({ maxExposureShare: 0.1, oldEndpointCount: 4 }); // 0.04, limited by the exposure
 */
export function computeCanaryShare({
  maxExposureShare,
  oldEndpointCount,
}: {
  maxExposureShare: number;
  oldEndpointCount: number;
}): number {
  return Math.min(1 / Math.max(1, oldEndpointCount), MAX_CANARY_PART * maxExposureShare);
}

/**
 * Parts of the allowed share and of the slack that are used. The rate of requests may rise towards the end of
 * a rollout, when the new release gets most of them, or fall below the rate at its beginning.
 */
const USED_SHARE_PART = 0.9;
const USED_SLACK_PART = 0.2;

/** Upper bound on the exposure with slack, so that a rarely used service has a canary stage too. */
const MAX_EXPOSURE_SHARE_WITH_SLACK = 0.4;

/**
 * Computes the largest share of the requests of a rollout that may reach the release, if a number of requests
 * is allowed beyond a share. For a service with few requests the number counts more than the share.
 * @example
 * computeMaxExposureShare({ exposureShare: 0.1, exposureSlack: 30, attemptsPerS: 5, durationMs: 20_000 }); // 0.15
 */
export function computeMaxExposureShare({
  attemptsPerS,
  durationMs,
  exposureShare,
  exposureSlack,
}: {
  exposureShare: number;
  exposureSlack: number;
  attemptsPerS: number;
  durationMs: Millis;
}): number {
  const attempts = (attemptsPerS * durationMs) / 1000;
  const usedShare = USED_SHARE_PART * exposureShare;
  if (attempts === 0) return usedShare;
  const shareWithSlack = usedShare + (USED_SLACK_PART * exposureSlack) / attempts;
  return Math.max(usedShare, Math.min(MAX_EXPOSURE_SHARE_WITH_SLACK, shareWithSlack));
}

/**
 * Computes when the sessions move, such that the new release gets no more than the allowed share of the
 * requests of the whole duration. A release that fails only under a load that it has not had yet cannot be
 * told from a good one before, so the bound must hold without a verdict.
 * @example
 * const orderTime = { orderedAt: 0, orderSeenAt: 0 };
 * computeRolloutSchedule({ ...orderTime, durationMs: 20_000, canaryShare: 0.04, maxExposureShare: 0.15 });
 * // { rampStartMs: 16_317, rampEndMs: 19_100, successAtMs: 19_400 }
 */
export function computeRolloutSchedule({
  canaryShare,
  durationMs,
  maxExposureShare,
  orderedAt,
  orderSeenAt,
}: IScheduleView): IRolloutSchedule {
  const reserveShare = Math.max(RESERVE_SHARE, MIN_RESERVE_MS / durationMs);
  const rampEndShare = Math.max(0, 1 - reserveShare - SETTLE_SHARE);
  // After the ramp all requests go to the new release, before it the canary share, and in it the mean of both.
  // If the order was written later than assumed, all of this comes earlier in the duration.
  const uncertainShare = (orderSeenAt - orderedAt) / durationMs;
  const exposureLeft = maxExposureShare - (1 - rampEndShare) - uncertainShare - canaryShare * rampEndShare;
  const rampShare = exposureLeft / ((1 - canaryShare) / 2);
  const boundedRampShare = Math.min(MAX_RAMP_SHARE, Math.max(MIN_RAMP_SHARE, rampShare));
  return {
    rampStartMs: Math.round((rampEndShare - boundedRampShare) * durationMs),
    rampEndMs: Math.round(rampEndShare * durationMs),
    successAtMs: Math.round((1 - reserveShare) * durationMs),
  };
}

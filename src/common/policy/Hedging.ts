import type { DecideHedge } from '../request/Types.js';

/**
 * Quantile of recent times to first token that the hedge delay is computed from. The retry budget limits the
 * hedges.
 */
const HEDGE_QUANTILE = 0.97;

/** Smallest number of times to first token from which the quantile is computed. */
const MIN_SAMPLES = 30;

/**
 * Shortest wait before a hedge. Differences below it come from timers and the network, not from the endpoint.
 */
const MIN_HEDGE_DELAY_MS = 20;

/**
 * Hedges the first attempt of an idempotent request if it has no output after 1.5 times a high quantile of
 * the recent times to first token.
 */
export const decideHedgeByQuantile: DecideHedge = ({ attempt, firstTokenTimes, request }) => {
  const isFirstAttempt = attempt.role === 'primary' && request.attemptCount <= 1;
  if (!request.isIdempotent || !isFirstAttempt) return undefined;
  if (firstTokenTimes.length < MIN_SAMPLES) return undefined;
  const index = Math.min(firstTokenTimes.length - 1, Math.floor(firstTokenTimes.length * HEDGE_QUANTILE));
  return Math.max(MIN_HEDGE_DELAY_MS, 1.5 * (firstTokenTimes[index] ?? 0));
};

/** Baseline: no hedges. */
export const decideNoHedge: DecideHedge = () => undefined;

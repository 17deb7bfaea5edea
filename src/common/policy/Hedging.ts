import type { DecideHedge } from '../request/Types.js';

/** Share of requests whose first token arrives before a hedge; the budget bounds the rest. */
const HEDGE_QUANTILE = 0.97;

/** Times to first token that must be known before the quantile is believed. */
const MIN_SAMPLES = 30;

/** Shortest wait before a hedge; below it timers and the network decide. */
const MIN_HEDGE_DELAY_MS = 20;

/** Hedges an idempotent request that has no output after a high quantile. */
export const decideHedgeByQuantile: DecideHedge = ({ attempt, firstTokenTimes, request }) => {
  const isFirst = attempt.role === 'primary' && request.attemptCount <= 1;
  if (!request.isIdempotent || !isFirst) return undefined;
  if (firstTokenTimes.length < MIN_SAMPLES) return undefined;
  const index = Math.min(firstTokenTimes.length - 1, Math.floor(firstTokenTimes.length * HEDGE_QUANTILE));
  return Math.max(MIN_HEDGE_DELAY_MS, 1.5 * (firstTokenTimes[index] ?? 0));
};

/** Baseline: no hedges. */
export const decideNoHedge: DecideHedge = () => undefined;

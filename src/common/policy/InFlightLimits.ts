import type { AdaptLimit } from '../request/Types.js';

const MIN_LIMIT = 2;
const MAX_LIMIT = 512;

/** Time to first token, relative to the lowest lately, above which requests queue at the endpoint. */
const QUEUEING_RATIO = 2;

/** Time to first token, relative to the lowest lately, below which there is room for more. */
const ROOM_RATIO = 1.4;

const DECREASE_FACTOR = 0.85;

/** Time between two decreases: the effect of one must show in the latencies before the next. */
const DECREASE_INTERVAL_MS = 300;

/** Growth per attempt with a short wait; doubles the limit in about two rounds of attempts. */
const INCREASE = 0.5;

/** Share of the limit that must be in use before it grows. */
const MIN_USE = 0.7;

/** Age up to which a report of waiting requests is believed. */
const FRESH_REPORT_MS = 1000;

/** Share of waiting requests in a fresh report above which the limit shrinks. */
const MAX_WAITING_SHARE = 0.2;

/**
 * Adapts the limit of attempts in flight so that the endpoint is kept busy and the queue stays at this
 * host, where its order can still be changed. Grows while attempts start at once, shrinks when they wait.
 */
export const computeLimitByQueueing: AdaptLimit = ({
  baseFirstTokenMs,
  endpoint,
  firstTokenMs,
  limit,
  now,
  sinceDecreaseMs,
}) => {
  const { inFlight, report } = endpoint;
  const isFresh = report !== undefined && now - report.receivedAt < FRESH_REPORT_MS;
  const isQueueing = isFresh && report.waiting > MAX_WAITING_SHARE * report.running;
  if (isQueueing || firstTokenMs > QUEUEING_RATIO * baseFirstTokenMs) {
    if (sinceDecreaseMs < DECREASE_INTERVAL_MS) return limit;
    return Math.max(MIN_LIMIT, Math.min(limit, Math.max(inFlight, MIN_LIMIT)) * DECREASE_FACTOR);
  }
  if (firstTokenMs > ROOM_RATIO * baseFirstTokenMs || inFlight < MIN_USE * limit) return limit;
  return Math.min(MAX_LIMIT, limit + INCREASE);
};

/** Baseline: the limit stays as it is. */
export const computeSameLimit: AdaptLimit = ({ limit }) => limit;

import type { AdaptLimit } from '../request/Types.js';

const MIN_LIMIT = 2;
const MAX_LIMIT = 512;

/**
 * Requests queue at the endpoint if the time to first token exceeds this multiple of the peers' recent
 * minimum.
 */
const QUEUEING_RATIO = 2;

/** The limit grows only if the time to first token is at most this multiple of the peers' recent minimum. */
const GROWTH_RATIO = 1.4;

/** Factor on the limit for each decrease. */
const DECREASE_FACTOR = 0.85;

/**
 * Shortest time between two decreases. The latencies must show the effect of one decrease before the next.
 */
const DECREASE_INTERVAL_MS = 300;

/**
 * Increase of the limit per attempt with a short wait. It doubles the limit in about two rounds of attempts.
 */
const LIMIT_INCREMENT = 0.5;

/** The limit grows only while at least this share of it is in use. */
const MIN_LIMIT_USE = 0.7;

/** Age from which the number of waiting requests in a load report is ignored. */
const MAX_REPORT_AGE_MS = 1000;

/**
 * The limit shrinks if a recent load report has more waiting requests than this share of the running ones.
 */
const MAX_WAITING_SHARE = 0.2;

/**
 * Adapts the limit of attempts in flight so that the endpoint is fully used and excess requests queue at this
 * host, where their order can still be changed. The limit grows while attempts start at once and shrinks when
 * they queue at the endpoint.
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
  const isReportFresh = report !== undefined && now - report.receivedAt < MAX_REPORT_AGE_MS;
  const isQueueing = isReportFresh && report.waiting > MAX_WAITING_SHARE * report.running;
  if (isQueueing || firstTokenMs > QUEUEING_RATIO * baseFirstTokenMs) {
    if (sinceDecreaseMs < DECREASE_INTERVAL_MS) return limit;
    return Math.max(MIN_LIMIT, Math.min(limit, Math.max(inFlight, MIN_LIMIT)) * DECREASE_FACTOR);
  }
  if (firstTokenMs > GROWTH_RATIO * baseFirstTokenMs || inFlight < MIN_LIMIT_USE * limit) return limit;
  return Math.min(MAX_LIMIT, limit + LIMIT_INCREMENT);
};

/** Baseline: the limit never changes. */
export const computeUnchangedLimit: AdaptLimit = ({ limit }) => limit;

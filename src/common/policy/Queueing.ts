import type {
  CompareHeads,
  DecideQueued,
  IQueuedRequest,
  IQueueOrder,
  LengthClass,
  RankQueued,
} from '../request/Types.js';
import type { Millis, Priority } from '../Types.js';

/** Delay that each priority adds to the target start of a request in the order of its account. */
const PRIORITY_DELAY_MS: Readonly<Record<Priority, Millis>> = { high: 0, normal: 1000, low: 4000 };

/** Order of the priorities among accounts; the lowest goes first. */
const PRIORITY_RANK: Readonly<Record<Priority, number>> = { high: 0, normal: 1, low: 2 };

/** Waiting time after which a request moves up by one priority class, so that low priority is not starved. */
const AGING_MS = 5000;

/** Largest delay that its expected length adds to the target start of a request. */
const MAX_LENGTH_DELAY_MS = 5000;

/** A request is long if its expected tokens exceed this multiple of the usual number at its version. */
const LONG_WORK_FACTOR = 8;

/** Share of `maxTokens` that the completions of an account without history are assumed to use. */
const DEFAULT_LIMIT_USE = 0.5;

/** Safety factor on the expected duration. A request that starts too late to finish wastes a slot. */
const DURATION_MARGIN = 1.1;

/** Upper bound on the retry delay that is suggested to a refused caller. */
const MAX_RETRY_AFTER_MS = 30_000;

/**
 * Ranks by target start: the arrival plus delays for priority and expected length, but no later than the last
 * start that meets the deadline. Because the rank grows with the arrival time, no request is starved by later
 * ones.
 */
export const rankByTargetStart: RankQueued = ({ expectedMs, queuedAt, request }) => {
  const targetStart =
    queuedAt + PRIORITY_DELAY_MS[request.priority] + Math.min(expectedMs, MAX_LENGTH_DELAY_MS);
  return Math.min(targetStart, request.deadlineAt - expectedMs);
};

/** Baseline: ranks by arrival. */
export const rankByArrival: RankQueued = ({ queuedAt }) => queuedAt;

/**
 * Compares by priority, which rises with the waiting time, and then by the accounts' weighted fair shares.
 */
export const compareByFairShare: CompareHeads = (first, second, now) =>
  rankPriority(first, now) - rankPriority(second, now) ||
  first.startTag - second.startTag ||
  first.rank - second.rank;

/** Baseline: compares by rank alone and ignores the accounts. */
export const compareByRank: CompareHeads = (first, second) => first.rank - second.rank;

/** Queue order by priority, deadline, fairness among accounts and expected length. */
export const FAIR_ORDER: IQueueOrder = { rankQueued: rankByTargetStart, compareHeads: compareByFairShare };

/** Baseline: queue order by arrival. */
export const ARRIVAL_ORDER: IQueueOrder = { rankQueued: rankByArrival, compareHeads: compareByRank };

/**
 * Refuses a request that is not expected to finish before its deadline. A request that has just arrived and
 * need not wait is never refused, because its expected length alone is too uncertain.
 */
export const refuseIfDeadlineUnreachable: DecideQueued = ({ item, now, waitMs }) => {
  if (waitMs === 0 && now === item.queuedAt) return { kind: 'wait' };
  if (now + waitMs + DURATION_MARGIN * item.expectedMs <= item.request.deadlineAt) return { kind: 'wait' };
  return { kind: 'refuse', retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(1000, Math.ceil(waitMs))) };
};

/**
 * Refuses a request only if its expected wait alone reaches the deadline. This suits endpoints that refuse
 * work when they are full. There, a refusal by expected length would reject requests that the endpoint could
 * finish, and the estimate would never be corrected, because a refused request produces no measurement.
 */
export const refuseIfWaitReachesDeadline: DecideQueued = ({ item, now, waitMs }) =>
  now + waitMs < item.request.deadlineAt
    ? { kind: 'wait' }
    : { kind: 'refuse', retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(1000, Math.ceil(waitMs))) };

/** Baseline: every request waits until its deadline has passed. */
export const waitAlways: DecideQueued = () => ({ kind: 'wait' });

/** Classifies a request by its expected tokens relative to the usual number at its version. */
export function classifyLength(expectedTokens: number, usualTokens: number | undefined): LengthClass {
  return usualTokens !== undefined && expectedTokens > LONG_WORK_FACTOR * usualTokens ? 'long' : 'short';
}

/**
 * Estimates the tokens of a completion from the request's `maxTokens` and the share of it that the account's
 * completions usually use, because many callers set the same generous limit for all requests. For an account
 * without history, the estimate is at most the usual number of tokens at the version.
 */
export function estimateTokens(
  maxTokens: number,
  limitUse: number | undefined,
  usualTokens: number | undefined,
): number {
  const tokens =
    limitUse === undefined
      ? Math.min(maxTokens * DEFAULT_LIMIT_USE, usualTokens ?? Infinity)
      : maxTokens * limitUse;
  return Math.max(1, tokens);
}

/** Computes the rank of a request's priority class after it has risen with the waiting time. */
function rankPriority({ queuedAt, request }: IQueuedRequest, now: Millis): number {
  return Math.max(0, PRIORITY_RANK[request.priority] - Math.floor((now - queuedAt) / AGING_MS));
}

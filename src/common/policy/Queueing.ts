import type {
  CompareHeads,
  DecideQueued,
  IQueuedRequest,
  IQueueOrder,
  LengthClass,
  RankQueued,
} from '../request/Types.js';
import type { Millis, Priority } from '../Types.js';

/** Time that a priority is worth in the order of one account's requests. */
const PRIORITY_DELAY_MS: Readonly<Record<Priority, Millis>> = { high: 0, normal: 1000, low: 4000 };

const PRIORITY_RANK: Readonly<Record<Priority, number>> = { high: 0, normal: 1, low: 2 };

/** Waiting time that raises a request by one priority class, so that low priority is never starved. */
const AGING_MS = 5000;

/** Bound on the delay of long work behind short work of the same account. */
const MAX_LENGTH_DELAY_MS = 5000;

/** Work this many times longer than the usual of its version is long. */
const LONG_WORK_FACTOR = 8;

/** Share of `maxTokens` that is assumed of an account without history. */
const DEFAULT_LIMIT_USE = 0.5;

/** Margin on the expected duration; work that starts too late to finish takes slots in vain. */
const DURATION_MARGIN = 1.1;

/** Longest wait for which a refused caller is asked to stay away. */
const MAX_RETRY_AFTER_MS = 30_000;

/**
 * Ranks by the latest useful start: arrival plus a delay for priority and expected length, but no later
 * than the deadline allows. Arrival counts, so that every request comes first at some time.
 */
export const rankByTargetStart: RankQueued = ({ expectedMs, queuedAt, request }) => {
  const wanted = queuedAt + PRIORITY_DELAY_MS[request.priority] + Math.min(expectedMs, MAX_LENGTH_DELAY_MS);
  return Math.min(wanted, request.deadlineAt - expectedMs);
};

/** Baseline: ranks by arrival. */
export const rankByArrival: RankQueued = ({ queuedAt }) => queuedAt;

/** Compares by priority raised by waiting time, then by weighted fair share of the accounts. */
export const compareByFairShare: CompareHeads = (first, second, now) =>
  rankPriority(first, now) - rankPriority(second, now) ||
  first.startTag - second.startTag ||
  first.rank - second.rank;

/** Baseline: compares by rank alone, whatever the accounts. */
export const compareByRank: CompareHeads = (first, second) => first.rank - second.rank;

/** Order by priority, deadline, fairness among accounts and expected length. */
export const FAIR_ORDER: IQueueOrder = { rankQueued: rankByTargetStart, compareHeads: compareByFairShare };

/** Baseline: first come, first served. */
export const ARRIVAL_ORDER: IQueueOrder = { rankQueued: rankByArrival, compareHeads: compareByRank };

/**
 * Refuses a request that would not finish before its deadline after the expected wait. A request that need
 * not wait is tried: its expected length alone is too uncertain to refuse it.
 */
export const refuseUnreachable: DecideQueued = ({ item, now, waitMs }) => {
  if (waitMs === 0 && now === item.queuedAt) return { kind: 'wait' };
  if (now + waitMs + DURATION_MARGIN * item.expectedMs <= item.request.deadlineAt) return { kind: 'wait' };
  return { kind: 'refuse', retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(1000, Math.ceil(waitMs))) };
};

/**
 * Refuses a request only when its wait alone reaches the deadline. Where endpoints tell when they are
 * full, an estimate of the length refuses work that they would have done, and no answer corrects it.
 */
export const refuseLateStart: DecideQueued = ({ item, now, waitMs }) =>
  now + waitMs < item.request.deadlineAt
    ? { kind: 'wait' }
    : { kind: 'refuse', retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(1000, Math.ceil(waitMs))) };

/** Baseline: every request waits until its deadline passes. */
export const waitAlways: DecideQueued = () => ({ kind: 'wait' });

/** Classifies work by its expected length relative to the usual length at its version. */
export function classifyLength(expectedTokens: number, usualTokens: number | undefined): LengthClass {
  return usualTokens !== undefined && expectedTokens > LONG_WORK_FACTOR * usualTokens ? 'long' : 'short';
}

/**
 * Estimates the tokens of a completion from the caller's limit and the share of its limits that the
 * account usually uses, because many callers set one generous limit for everything. An account without
 * history is taken to ask for no more than the usual work of the version.
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

function rankPriority({ queuedAt, request }: IQueuedRequest, now: Millis): number {
  return Math.max(0, PRIORITY_RANK[request.priority] - Math.floor((now - queuedAt) / AGING_MS));
}

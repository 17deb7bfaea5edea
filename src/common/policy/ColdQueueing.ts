import type { IEndpointEntry } from '../blackboard/Types.js';
import { findNextAttemptAt } from '../request/AttemptPlan.js';
import type { Millis, RandomSource } from '../Types.js';

/**
 * Bounds on the delay after which a refused caller may return. Callers honour it up to a third of the time that they have
 * left, and need some of that for the answer.
 */
const MIN_RETRY_AFTER_MS: Millis = 300;
const MAX_RETRY_AFTER_SHARE = 0.25;

/**
 * Estimates the wait of a request until its turn, for a load at which only endpoints that are cold or have just become
 * usable are left. `undefined` if another endpoint is healthy, or this host has no turn at any.
 * @example
 * estimateColdWait([coldEndpoint], 3, now); // 4100: the next turn in 347 ms, and three intervals of 1251 ms
 */
export function estimateColdWait(
  endpoints: readonly Readonly<IEndpointEntry>[],
  ahead: number,
  now: Millis,
): Millis | undefined {
  const healthy = endpoints.filter(({ health }) => health === 'healthy');
  if (healthy.some(({ coldPace }) => !coldPace)) return undefined;
  let nextAt = Infinity;
  let turnsPerMs = 0;
  for (const endpoint of healthy) {
    nextAt = Math.min(nextAt, findNextAttemptAt(endpoint) ?? now);
    turnsPerMs += 1 / Math.max(endpoint.coldPace?.intervalMs ?? Infinity, endpoint.attemptIntervalMs ?? 0);
  }
  if (nextAt === Infinity || turnsPerMs === 0) return undefined;
  return Math.max(0, nextAt - now) + ahead / turnsPerMs;
}

/**
 * Computes when a caller that is refused because all endpoints are cold may return: at a random time before the first one
 * is warm, because it may reach a host that has a turn earlier. `undefined` if no endpoint is cold.
 * @example
 * computeColdRetryAfter([coldEndpoint], deadlineAt, now, Math.random); // 1830 (ms)
 */
export function computeColdRetryAfter(
  endpoints: readonly Readonly<IEndpointEntry>[],
  deadlineAt: Millis,
  now: Millis,
  random: RandomSource,
): Millis | undefined {
  const ends = endpoints.map(({ coldPace }) => coldPace?.endsAt).filter((endsAt) => endsAt !== undefined);
  if (ends.length === 0) return undefined;
  const longestMs = Math.min(Math.min(...ends) - now, MAX_RETRY_AFTER_SHARE * (deadlineAt - now));
  const spreadMs = Math.max(0, longestMs - MIN_RETRY_AFTER_MS);
  return Math.ceil(MIN_RETRY_AFTER_MS + spreadMs * (0.5 + 0.5 * random()));
}

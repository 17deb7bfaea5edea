import type { Blackboard } from '../blackboard/Blackboard.js';
import type { AttemptRole, IAttemptEntry, IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import type { IClock, Millis } from '../Types.js';
import type { LengthClass } from './Types.js';

/**
 * Largest part of an interval between requests to a limited endpoint by which a host may make up for a request that
 * was due and did not come. Without it, requests that come at random use two thirds of the rate.
 */
export const MAX_RATE_CREDIT = 0.75;

/** Input of `planAttempt`. */
export interface IAttemptPlan {
  id: string;
  role: AttemptRole;
  request: IRequestEntry;
  endpoint: string;
  expectedTokens: number;
  lengthClass: LengthClass;
  now: Millis;
}

/**
 * Adds a planned attempt to the `attempts` panel and to the in-flight counts of its endpoint. It is counted
 * when it is planned, not when it is sent, because several requests may be assigned before the first one is
 * sent.
 */
export function planAttempt(board: Blackboard, plan: IAttemptPlan): void {
  const { endpoint, expectedTokens, id, lengthClass, now, request, role } = plan;
  const isLong = lengthClass === 'long';
  board.requests.update(request.id, {
    phase: 'running',
    attemptCount: request.attemptCount + 1,
    attemptIds: [...(request.attemptIds ?? []), id],
  });
  const entry = board.endpoints.get(endpoint);
  board.endpoints.update(endpoint, {
    inFlight: (entry?.inFlight ?? 0) + 1,
    inFlightTokens: (entry?.inFlightTokens ?? 0) + expectedTokens,
    longInFlight: (entry?.longInFlight ?? 0) + (isLong ? 1 : 0),
    lastAttemptAt: now,
    ...chargeRateLimit(entry, now),
    ...(entry?.health === 'probing' && entry.probeAttempt === undefined ? { probeAttempt: id } : {}),
  });
  board.attempts.set(id, {
    id,
    phase: 'planned',
    role,
    request: request.id,
    endpoint,
    incarnation: entry?.incarnation,
    version: request.version,
    plannedAt: now,
    expectedTokens,
    isLong,
    firstTokenAt: undefined,
    endedAt: undefined,
    tokens: 0,
    answer: undefined,
    error: undefined,
  });
}

/** Computes the change of an endpoint by a request to it that counts against the limits on its rate. */
export function chargeRateLimit(
  endpoint: Readonly<IEndpointEntry> | undefined,
  now: Millis,
): Pick<IEndpointEntry, 'nextAttemptAt' | 'coldPace'> {
  const { attemptDueAt = now, attemptIntervalMs, coldPace, nextAttemptAt } = endpoint ?? {};
  const charge: Pick<IEndpointEntry, 'nextAttemptAt' | 'coldPace'> = {};
  if (attemptIntervalMs !== undefined) {
    const dueAt = nextAttemptAt ?? Math.max(attemptDueAt, now - MAX_RATE_CREDIT * attemptIntervalMs);
    charge.nextAttemptAt = dueAt + attemptIntervalMs;
  }
  // A turn at a cold endpoint that was not used earns no credit: the bound counts every second by itself.
  if (coldPace)
    charge.coldPace = {
      ...coldPace,
      nextAt: Math.max(now, coldPace.nextAt ?? now) + coldPace.intervalMs,
    };
  return charge;
}

/**
 * Finds the time until which this host sends an endpoint nothing, by the stricter one of the limits on its rate;
 * `undefined` if it may send now.
 * @example
 * findNextAttemptAt({ ...endpoint, nextAttemptAt: 500, coldPace: { ...coldPace, nextAt: 800 } }); // 800
 */
export function findNextAttemptAt({
  coldPace,
  nextAttemptAt,
}: Pick<IEndpointEntry, 'nextAttemptAt' | 'coldPace'>): Millis | undefined {
  const nextAt = coldPace?.nextAt;
  if (nextAt === undefined || nextAttemptAt === undefined) return nextAt ?? nextAttemptAt;
  return Math.max(nextAt, nextAttemptAt);
}

/**
 * Records the result of asking an endpoint about an attempt. The question counts against the limit on the endpoint's
 * rate.
 * @example
 * recordRunCheck({ board, clock }, attempt, { result: 'running', silentMs: 800 });
 */
export function recordRunCheck(
  { board, clock }: { board: Blackboard; clock: IClock },
  attempt: Pick<IAttemptEntry, 'id' | 'endpoint'>,
  lastRunCheck: IAttemptEntry['lastRunCheck'] & object,
): void {
  board.attempts.update(attempt.id, { lastRunCheck });
  const endpoint = board.endpoints.get(attempt.endpoint);
  if (endpoint?.attemptIntervalMs !== undefined || endpoint?.coldPace)
    board.endpoints.update(endpoint.id, chargeRateLimit(endpoint, clock.now()));
}

/**
 * Removes an attempt from the in-flight counts of its endpoint, unless another process has taken the endpoint's place
 * since: the attempt is none of its own.
 */
export function releaseAttempt(board: Blackboard, id: string): void {
  const attempt = board.attempts.get(id);
  const entry = attempt && board.endpoints.get(attempt.endpoint);
  if (!attempt || !entry || entry.incarnation !== attempt.incarnation) return;
  board.endpoints.update(entry.id, {
    inFlight: Math.max(0, entry.inFlight - 1),
    inFlightTokens: Math.max(0, entry.inFlightTokens - (attempt.expectedTokens ?? 0)),
    longInFlight: Math.max(0, (entry.longInFlight ?? 0) - (attempt.isLong ? 1 : 0)),
    ...(entry.probeAttempt === id ? { probeAttempt: undefined } : {}),
  });
}

/**
 * Sets the in-flight counts of an endpoint that has been listed anew to those of its attempts that still run. An endpoint
 * can be listed again as the same process, after its announcement had expired.
 * @example
 * restoreAttemptCounts(board, 'm-1');
 */
export function restoreAttemptCounts(board: Blackboard, endpoint: string): void {
  const entry = board.endpoints.get(endpoint);
  if (!entry) return;
  const counts = { inFlight: 0, inFlightTokens: 0, longInFlight: 0 };
  for (const attempt of board.attempts.list()) {
    if (attempt.endpoint !== endpoint || attempt.incarnation !== entry.incarnation) continue;
    if (attempt.endedAt !== undefined) continue;
    counts.inFlight += 1;
    counts.inFlightTokens += attempt.expectedTokens ?? 0;
    counts.longInFlight += attempt.isLong === true ? 1 : 0;
  }
  if (counts.inFlight > 0) board.endpoints.update(endpoint, counts);
}

import type { IRequestEntry } from '../blackboard/Types.js';
import type { IAccountDemand } from '../estimates/Types.js';
import { measureWaitedShare } from '../request/AccountDemandController.js';
import type { DecideQueued, IQueuePressure, IQueueView, QueueDecision } from '../request/Types.js';
import { computeBearableShare, computeFairShares } from './FairShares.js';
import type { Millis, Priority, RandomSource } from '../Types.js';

/** Options of the refusal of requests that endpoints are too busy for. */
export interface IOverloadOptions {
  random: RandomSource;
  /** Decides on requests that are not refused because of overload. */
  decideQueued: DecideQueued;
  /**
   * Expected time to the first output, as a multiple of the shortest target, at which requests of a priority begin to be
   * refused. Less urgent ones begin earlier. Default 1.0, 0.8 and 0.6.
   */
  refusalStart?: Readonly<Record<Priority, number>>;
  /** How much further, as the same multiple, all requests of the priority are refused. Default 0.6. */
  refusalRange?: number;
}

const DEFAULT_REFUSAL_START: Readonly<Record<Priority, number>> = { high: 1, normal: 0.8, low: 0.6 };

/**
 * Bounds on the delay after which a refused caller may return. The upper one is a share of the time that it has left:
 * a caller that is asked to wait longer may not have time for the answer.
 */
const MIN_RETRY_AFTER_MS: Millis = 300;
const MAX_RETRY_AFTER_SHARE = 0.25;

/**
 * Factor on the time left beyond which an answer is expected to end too late to be tried. It allows for the error of the
 * estimate.
 */
const DEADLINE_MARGIN = 1.3;

/**
 * Power of the ratio of the expected time to the limit in the odds of being late. With it, requests given 0.9 or more are
 * expected within 0.58 of the limit.
 */
const PROBABILITY_STEEPNESS = 4;

/** Probability of ending by the deadline below which a request is not tried; that of `DEADLINE_MARGIN`. */
const MIN_IN_TIME_PROBABILITY = 1 / (1 + DEADLINE_MARGIN ** PROBABILITY_STEEPNESS);

/**
 * Largest expected wait relative to the one measured last. With two, the wait settled at twice that with four in a
 * played load on 4 hosts, and urgent answers were late.
 */
const MAX_WAIT_RATIO = 4;

/** Largest random addition to that delay, as a share, so that callers refused together do not return together. */
const RETRY_AFTER_JITTER = 0.5;

/** The same bound where accounts or classes compete; the wire protocol asks callers to wait no longer. */
const MAX_SPREAD_SHARE = 1 / 3;

/** Smallest share by which the time is estimated in which a caller gets its turn. */
const MIN_TURN_SHARE = 0.2;

/**
 * Weight of the time that a caller has waited. One that has used half of its time goes three times as often as one that
 * has just come.
 */
const WAITED_WEIGHT = 4;

/**
 * Creates the decision that refuses new requests while endpoints are overloaded. Endpoints run all requests that they
 * have at once, so that with more than they can do every answer is late, and many end at their deadline after most of
 * their work. The share of refused requests rises with the time that a request would wait for its first output, and is
 * higher for less urgent ones; none are refused altogether before the others. Where several accounts or request classes
 * compete, the refused work is divided by their fair shares instead. The wait is measured on requests that are
 * admitted, and counts less by the second, so that refusals end when the wait does. A request whose answer would end
 * far beyond its deadline, at the pace of the streams in progress, is refused as well.
 * @example
 * const decideQueued = createRefuseIfOverloaded({ random: Math.random, decideQueued: refuseIfWaitReachesDeadline });
 */
export function createRefuseIfOverloaded({
  decideQueued,
  random,
  refusalRange = 0.6,
  refusalStart = DEFAULT_REFUSAL_START,
}: IOverloadOptions): DecideQueued {
  return (view) => {
    const { item, now, pressure } = view;
    if (!pressure) return decideQueued(view);
    const { priority } = item.request;
    const competing = findCompeting(view);
    if (competing) {
      // The least urgent requests begin to be refused first, and others only as far as that does not suffice.
      const starts = competing.map((demand) => refusalStart[demand.priority]);
      const targetWaitMs = Math.min(...starts) * pressure.shortestTargetMs;
      const waitMs = combineWaits(pressure);
      const bearableShare = computeBearableShare(competing, { waitMs, targetWaitMs });
      const share = computeAdmittedShare(view, competing, bearableShare);
      if (isTooLate(view)) return { ...refuseForShare(view, share, random), reason: 'deadline' };
      return share < 1 && random() >= share ? refuseForShare(view, share, random) : decideQueued(view);
    }
    const refusedShare =
      (pressure.startMs / pressure.shortestTargetMs - refusalStart[priority]) / refusalRange;
    if (!isHopeless(view) && (refusedShare <= 0 || random() >= refusedShare)) return decideQueued(view);
    const drainMs = pressure.startMs * (1 + RETRY_AFTER_JITTER * random());
    const maxMs = MAX_RETRY_AFTER_SHARE * (item.request.deadlineAt - now);
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(Math.min(drainMs, maxMs)));
    return { kind: 'refuse', retryAfterMs, reason: 'overload' };
  };
}

/**
 * Combines the expected wait with that of the attempts sent last. The expected one knows what has been sent since, but
 * follows a change late on a host that rarely uses each endpoint, so it counts up to `MAX_WAIT_RATIO` times the measured one.
 */
function combineWaits({ recentWaitMs, startMs }: IQueuePressure): Millis {
  if (recentWaitMs === undefined) return startMs;
  return Math.max(recentWaitMs, Math.min(startMs, MAX_WAIT_RATIO * recentWaitMs));
}

/** Tells whether the answer would end far beyond the deadline, at the pace of the streams in progress. */
function isHopeless({ item, now, pressure }: IQueueView): boolean {
  return (pressure?.endMs ?? 0) > DEADLINE_MARGIN * (item.request.deadlineAt - now);
}

/** Tells the same with the time in the queue, which a request that is too late must not be held for. */
function isTooLate({ item, now, pressure, waitMs }: IQueueView): boolean {
  const endMs = waitMs + (pressure?.endMs ?? pressure?.startMs ?? 0);
  return estimateInTimeProbability(endMs, item.request.deadlineAt - now) < MIN_IN_TIME_PROBABILITY;
}

/**
 * Estimates the probability that something is done within a limit, by the time that it is expected to take. It is one half
 * at the limit.
 * @example
 * estimateInTimeProbability(500, 1500); // 0.99
 */
export function estimateInTimeProbability(expectedMs: Millis, limitMs: Millis): number {
  if (limitMs <= 0) return 0;
  return 1 / (1 + (Math.max(0, expectedMs) / limitMs) ** PROBABILITY_STEEPNESS);
}

/** Finds the demands that a request competes with, its own included; `undefined` if there is no other. */
function findCompeting({ demand = [], item }: IQueueView): readonly IAccountDemand[] | undefined {
  return demand.length > 1 && demand.some((entry) => isDemandOf(entry, item.request)) ? demand : undefined;
}

function isDemandOf({ account, kind }: IAccountDemand, request: IRequestEntry): boolean {
  return account === request.account && kind === request.kind;
}

/**
 * Computes the probability that a request is admitted: the fair share of its account and class, higher for a caller that
 * has waited longer than others of them.
 */
function computeAdmittedShare(
  { item }: IQueueView,
  demands: readonly IAccountDemand[],
  bearableShare: number,
): number {
  if (bearableShare >= 1) return 1;
  const index = demands.findIndex((entry) => isDemandOf(entry, item.request));
  const share = computeFairShares(demands, bearableShare)[index] ?? 1;
  const { offeredMs = 0, waitedMs = 0 } = demands[index] ?? {};
  const meanWaited = offeredMs > 0 ? waitedMs / offeredMs : 0;
  const credit = (1 + WAITED_WEIGHT * measureWaitedShare(item.request)) / (1 + WAITED_WEIGHT * meanWaited);
  return Math.min(1, share * credit);
}

/**
 * Refuses a request that its account and class have no share left for. Callers return evenly over the time in which the
 * wait passes and each of them gets a turn, so that they do not come back together.
 */
function refuseForShare(
  { item, now, pressure }: IQueueView,
  share: number,
  random: RandomSource,
): Extract<QueueDecision, { kind: 'refuse' }> {
  const maxMs = MAX_SPREAD_SHARE * (item.request.deadlineAt - now);
  const turnMs = (pressure?.startMs ?? 0) / Math.max(MIN_TURN_SHARE, Math.min(1, share));
  const spreadMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(turnMs, maxMs));
  const retryAfterMs = MIN_RETRY_AFTER_MS + Math.ceil(random() * (spreadMs - MIN_RETRY_AFTER_MS));
  return {
    kind: 'refuse',
    retryAfterMs: Math.min(retryAfterMs, Math.max(1, Math.floor(maxMs))),
    reason: 'overload',
  };
}

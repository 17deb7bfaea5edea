import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import { findCacheTokens } from '../estimates/CachedPrompts.js';
import { getMsPerToken } from '../estimates/PromptWork.js';
import { formatPool } from '../request/EndpointIndex.js';
import type { IEndpointView } from '../request/Types.js';
import type { Millis } from '../Types.js';
import type { IStartEstimate } from './EarliestStart.js';
import { estimateReportedRequests } from './EndpointLoad.js';
import { computeLastingSlowness } from './EndpointSpeed.js';

/**
 * Weight of the time to read a prompt in the choice, relative to the time until this request begins. The endpoint reads
 * it before the prompts of later requests, which have to wait as well.
 */
const PREFILL_WEIGHT = 5;

/**
 * The same where the estimate of cached tokens rests on the endpoints' memory, for hosts of a small and of a large fleet.
 * In a large fleet a host rarely sees the queue of an endpoint: in played loads with 60 hosts, 8 made endpoints read still
 * less, but fewer answers were on time than with 6.
 */
const SMALL_FLEET_WEIGHT = 8;
const LARGE_FLEET_WEIGHT = 6;

/** Number of hosts up to which a fleet is small. Above it the weight falls as the host's share of the requests does. */
const SMALL_FLEET_HOSTS = 4;

/**
 * Weight of the time by which the answer would begin after its target, so that saved reading counts for less than a late
 * answer. With 4, hosts under overload spread shared prompts over all endpoints, which then read much more.
 */
const LATE_WEIGHT = 0.5;

/** Share of the target from which on the expected start counts as late, because the estimate may be too low. */
const SAFE_TARGET_SHARE = 0.7;

/** Input of the cost of a start. */
export interface IStartCostInput {
  view: IEndpointView;
  start: IStartEstimate;
  /** Share of the shared parts, 0 to 1, that other hosts send to the endpoint, whether or not it holds them yet. */
  holderShare: number;
}

/**
 * Computes what the start of a request at an endpoint costs, in milliseconds: until its answer begins, for the requests
 * that wait while its prompt is read, and for being late. Where the memory of endpoints is known, shared parts count as
 * read once at the endpoint that other hosts send them to, and the wait for memory and slots counts.
 * @example
 * const costMs = computeStartCost(board, { view, start, holderShare: 1 });
 */
export function computeStartCost(board: Blackboard, { view, start, holderShare }: IStartCostInput): Millis {
  const { endpoint, prefillMs } = start;
  const { now, request } = view;
  const cacheTokens = findCacheTokens(board, request.service);
  if (request.target.kind !== 'model' || cacheTokens === undefined)
    return start.startMs + (PREFILL_WEIGHT - 1) * prefillMs;
  const { prefixTokens = [], promptTokens } = request.target;
  const sharedTokens = Math.min(promptTokens, prefixTokens.at(-2) ?? 0);
  const msPerToken = getMsPerToken(board, request.version) * computeLastingSlowness(endpoint, now);
  const repeatedMs = Math.min(prefillMs, (promptTokens - holderShare * sharedTokens) * msPerToken);
  const startMs = start.startMs + estimateRoomWait(board, { request, endpoint, cacheTokens, now });
  const targetMs = request.targetLatencyMs ?? Infinity;
  const leftMs = Math.max(0, SAFE_TARGET_SHARE * targetMs - (now - request.receivedAt));
  const lateMs = Math.max(0, startMs - leftMs);
  const smallness = Math.min(1, SMALL_FLEET_HOSTS / Math.max(1, board.presentHosts.size));
  const weight = LARGE_FLEET_WEIGHT + smallness * (SMALL_FLEET_WEIGHT - LARGE_FLEET_WEIGHT);
  return startMs + (weight - 1) * repeatedMs + LATE_WEIGHT * lateMs;
}

/**
 * Estimates how long a request waits until an endpoint has a slot and memory for it. An endpoint without memory for
 * another request would preempt those that it runs.
 */
function estimateRoomWait(
  board: Blackboard,
  options: { request: IRequestEntry; endpoint: Readonly<IEndpointEntry>; cacheTokens: number; now: Millis },
): Millis {
  const { cacheTokens, endpoint, now, request } = options;
  const meanTokens = board.servicePrompts.get(request.service)?.meanTokens ?? 0;
  const byMemory = meanTokens > 0 ? Math.max(1, cacheTokens / meanTokens) : Infinity;
  const room = Math.min(endpoint.slots ?? Infinity, byMemory);
  const excess = estimateReportedRequests(endpoint, now) - room;
  if (excess <= 0) return 0;
  const durationMs = board.workEstimates.get(formatPool(request))?.shortDurationMs ?? 0;
  return (excess * durationMs) / room;
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import { computeMedian } from '../policy/Endpoints.js';
import { estimateStarts } from '../policy/EarliestStart.js';
import { formatPool, type EndpointIndex } from '../request/EndpointIndex.js';
import type { EstimateAnswer } from '../request/EarlyEscalationController.js';
import { estimateWork } from '../request/RouteController.js';
import type { MeasurePressure } from '../request/Types.js';
import type { IClock, Millis } from '../Types.js';

/** Age up to which the last attempt that was sent shows the wait of the next. Waits change by a second in a second. */
const RECENT_WAIT_MS: Millis = 1000;

/** Options of the estimate of answers. */
export interface IAnswerEstimateOptions {
  board: Blackboard;
  clock: IClock;
  index: EndpointIndex;
  /** Availability zone of this host. */
  zone: string;
}

/**
 * Creates the estimate of when a version would begin and end its answer, if the request were sent now to the endpoint
 * that begins first. The length is that of the account's answers. The pace is that of the version's finished answers, or
 * of the streams in progress if these are slower: they are of all versions, and show a load that has just begun.
 * @example
 * const estimateAnswer = createEstimateAnswer({ board, clock, index, zone });
 * const expected = estimateAnswer(request, 'large@v1'); // { startMs: 400, endMs: 2600 }
 */
export function createEstimateAnswer(options: IAnswerEstimateOptions): EstimateAnswer {
  const { board, index } = options;
  return (request, version) => {
    const next = { ...request, version };
    const candidates = listHealthy(index, next);
    const usual = board.workEstimates.get(formatPool(next));
    if (candidates.length === 0 || !usual) return undefined;
    const { expectedTokens } = estimateWork(board, next);
    const startMs = estimateEarliestStart(options, next, candidates);
    const recentMs = computeMedian(candidates.map(({ recentTokenMs }) => recentTokenMs)) ?? 0;
    const paceMs = Math.max(usual.tokenMs, recentMs);
    return { startMs, endMs: startMs + (expectedTokens - 1) * paceMs };
  };
}

/**
 * Creates the measurement of how busy the endpoints of a service are, by when one of them would begin the answer to a
 * request. It is not known for plain services, and before any answer has been awaited.
 * @example
 * const measurePressure = createMeasurePressure({ board, clock, index, zone });
 * const pressure = measurePressure(request); // { startMs: 2600, shortestTargetMs: 2000 }
 */
export function createMeasurePressure(options: IAnswerEstimateOptions): MeasurePressure {
  const { board, index } = options;
  return (request) => {
    if (request.target.kind !== 'model') return undefined;
    const candidates = listHealthy(index, request);
    const shortestTargetMs = findShortestTarget(board, request);
    if (candidates.length === 0 || shortestTargetMs === undefined) return undefined;
    const startMs = estimateEarliestStart(options, request, candidates);
    const busy = candidates.filter(({ inFlight }) => inFlight > 0);
    const recentMs = computeMedian(busy.map(({ recentTokenMs }) => recentTokenMs));
    const { expectedTokens } = estimateWork(board, request);
    const endMs = recentMs === undefined ? undefined : startMs + (expectedTokens - 1) * recentMs;
    const recentWaitMs = measureRecentWait(options, request);
    return { startMs, endMs, shortestTargetMs, ...(recentWaitMs === undefined ? {} : { recentWaitMs }) };
  };
}

/**
 * Measures how long the attempts that were sent last have waited: the mean of those that have begun to be answered, or the
 * wait of the first one sent after them, if it is longer. A burst shows in the latter before any of its requests is
 * answered, and its end in the former. It is `undefined` if none has been sent within `RECENT_WAIT_MS`.
 */
function measureRecentWait(
  { board, clock }: IAnswerEstimateOptions,
  { version = '' }: IRequestEntry,
): Millis | undefined {
  const { begun = [], waitingSince } = board.recentWaits.get(version) ?? {};
  const now = clock.now();
  const begunMs = begun.reduce((sum, { waitMs }) => sum + waitMs, 0) / Math.max(1, begun.length);
  if (waitingSince !== undefined) return Math.max(begunMs, now - waitingSince);
  const lastSentAt = begun.at(-1)?.sentAt ?? -Infinity;
  return now - lastSentAt <= RECENT_WAIT_MS ? begunMs : undefined;
}

/** Lists the healthy endpoints for a request, without the cold ones if others are left: those look idle, and take few. */
function listHealthy(index: EndpointIndex, request: IRequestEntry): Readonly<IEndpointEntry>[] {
  const healthy = index.listCandidates(request).filter(({ health }) => health === 'healthy');
  const warm = healthy.filter(({ coldPace }) => !coldPace);
  return warm.length > 0 ? warm : healthy;
}

function estimateEarliestStart(
  { board, clock, zone }: IAnswerEstimateOptions,
  request: IRequestEntry,
  candidates: readonly Readonly<IEndpointEntry>[],
): Millis {
  const { lengthClass } = estimateWork(board, request);
  const view = { request, candidates, lengthClass, findPrefix: () => undefined, zone, now: clock.now() };
  // What other hosts have made an endpoint cache is left out: the hashes that tell it take time for each endpoint.
  const starts = estimateStarts(board, candidates, view, () => 0);
  return Math.min(...starts.map(({ startMs }) => startMs));
}

/** Finds the shortest target for the first output among the streaming routes to the request's service. */
function findShortestTarget(board: Blackboard, request: IRequestEntry): Millis | undefined {
  let shortestMs = request.targetLatencyMs;
  for (const routes of board.routing.get('in-force')?.routesByHost.values() ?? []) {
    for (const { kind, targetLatencyMs, targets } of routes) {
      if (kind !== 'stream' || !targets.some(({ service }) => service === request.service)) continue;
      shortestMs = Math.min(shortestMs ?? Infinity, targetLatencyMs);
    }
  }
  return shortestMs;
}

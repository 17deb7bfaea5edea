import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import {
  computeFilledShare,
  createFindHolders,
  createReadHolderShare,
  type FindHolders,
  type ReadShare,
} from '../estimates/CachedPrompts.js';
import { estimatePromptWork } from '../estimates/PromptWork.js';
import type { IChoiceCost, IEndpointView } from '../request/Types.js';
import type { Millis, RandomSource } from '../Types.js';
import { estimateReportedLoad, limitColdEstimates } from './EndpointLoad.js';
import { createComputeEndCost } from './EndpointSpeed.js';
import { computeStartCost } from './PromptCost.js';

/** Chooses among endpoints that have room for a request to a model; `undefined` if there is none. */
export type ChooseForPrompt = (
  endpoints: readonly Readonly<IEndpointEntry>[],
  view: IEndpointView,
) => Readonly<IEndpointEntry> | undefined;

/** Options of the choice by the earliest start. */
export interface IEarliestStartOptions {
  board: Blackboard;
  random: RandomSource;
  /** Hashes a text to a number from 0 (inclusive) to 1 (exclusive); all hosts get the same number. */
  hashToFraction: (text: string) => number;
  /** Finds the endpoints that other hosts send a prefix to. Default: by `hashToFraction`. */
  findHolders?: FindHolders;
}

/** When an endpoint is expected to begin its answer to a request, and how much of that is the reading of the prompt. */
export interface IStartEstimate {
  endpoint: Readonly<IEndpointEntry>;
  /** Time from now to the first output. */
  startMs: Millis;
  /** Part of `startMs` in which the endpoint reads the request's own prompt. */
  prefillMs: Millis;
}

/** Age at which the weight of a measured delay has decayed to 1/e. Prompts are read in less time than that. */
const DELAY_DECAY_MS: Millis = 1000;

/**
 * Load without a wait that is added to what was measured, so that a wait measured seconds ago no longer counts. Without
 * it, a host with few requests would expect its last wait at every endpoint until it has measured another one.
 */
const IDLE_LOAD = 1;

/** Time that a request to another availability zone takes longer, including what its traffic is charged. */
const REMOTE_ZONE_MS: Millis = 5;

/** Largest random change of a cost, so that hosts with the same information choose different endpoints. */
const COST_JITTER = 0.1;

/** Smallest cost, so that the random change also tells idle endpoints apart. */
const MIN_COST_MS: Millis = 20;

/**
 * Creates the choice of the endpoint that is expected to begin its answer first. The estimate adds up the wait that was
 * measured last at the endpoint, the prompts that this host has sent there since, and the part of the prompt that the
 * endpoint has to read. Where a prompt's shared parts are cached, less has to be read, so that requests with a shared
 * prefix meet at one endpoint as long as it is not the busier one by more than that.
 * @example
 * const choose = createChooseEarliestStart({ board, random: Math.random, hashToFraction });
 * const endpoint = choose(candidates, view);
 */
export function createChooseEarliestStart({
  board,
  hashToFraction,
  findHolders = createFindHolders(hashToFraction),
  random,
}: IEarliestStartOptions): ChooseForPrompt {
  return (endpoints, view) => {
    let best: Readonly<IEndpointEntry> | undefined;
    let lowestCost = Infinity;
    const { now, request } = view;
    const { service } = request;
    const readHolderShare = createReadHolderShare({ findHolders, request, endpoints });
    // The other hosts have not sent an endpoint that is cold or has just become usable what they usually send it.
    const readUsualShare: ReadShare = (endpoint) => (endpoint.coldPace ? 0 : readHolderShare(endpoint));
    const readCachedShare: ReadShare = (endpoint) => {
      const share = readUsualShare(endpoint);
      return share && share * computeFilledShare(board, { service, endpoint: endpoint.id, now });
    };
    const starts = estimateStarts(board, endpoints, view, readCachedShare);
    const startTimes = limitColdEstimates(
      starts.map(({ endpoint, startMs }) => ({ endpoint, value: startMs })),
    );
    const computeEndCost = createComputeEndCost(board, view);
    const costs: IChoiceCost[] = [];
    for (const [index, estimate] of starts.entries()) {
      const { endpoint, prefillMs } = estimate;
      const startMs = startTimes[index] ?? estimate.startMs;
      const start = { endpoint, prefillMs, startMs };
      const zoneMs = endpoint.zone === view.zone ? 0 : REMOTE_ZONE_MS;
      const startCostMs = computeStartCost(board, { view, start, holderShare: readUsualShare(endpoint) });
      const costMs = MIN_COST_MS + startCostMs + computeEndCost(endpoint) + zoneMs;
      if (view.onCosts) costs.push({ endpoint: endpoint.id, startMs, prefillMs, costMs });
      const cost = costMs * (1 + COST_JITTER * random());
      if (cost >= lowestCost) continue;
      best = endpoint;
      lowestCost = cost;
    }
    view.onCosts?.(costs);
    return best;
  };
}

/**
 * Estimates for each endpoint when it would begin its answer to a request that is sent now, in milliseconds from now.
 * `readCachedShare` tells which share of the shared parts, 0 to 1, the other hosts have made it cache.
 * @example
 * const starts = estimateStarts(board, candidates, view, () => 0);
 * const earliestMs = Math.min(...starts.map(({ startMs }) => startMs));
 */
export function estimateStarts(
  board: Blackboard,
  endpoints: readonly Readonly<IEndpointEntry>[],
  view: IEndpointView,
  readCachedShare: (endpoint: Readonly<IEndpointEntry>) => number,
): IStartEstimate[] {
  const { now, request } = view;
  const delayPerLoadMs = measureDelayPerLoad(board, endpoints, now);
  return endpoints.map((endpoint) => {
    const assumedCachedShare = readCachedShare(endpoint);
    const { prefillMs } = estimatePromptWork(board, {
      request,
      endpoint: endpoint.id,
      assumedCachedShare,
      now,
    });
    const pendingMs = board.endpointBacklogs.get(endpoint.id)?.pendingMs ?? 0;
    const delayMs = estimateDelay(board, endpoint, delayPerLoadMs, now);
    const waitMs = Math.max(delayMs + pendingMs, endpoint.firstTokenWaitMs ?? 0);
    return { endpoint, startMs: waitMs + prefillMs, prefillMs };
  });
}

/** Estimates the wait by the last measured one, and the more by the reported load the longer ago that was. */
function estimateDelay(
  board: Blackboard,
  endpoint: Readonly<IEndpointEntry>,
  delayPerLoadMs: Millis,
  now: Millis,
): Millis {
  const backlog = board.endpointBacklogs.get(endpoint.id);
  const weight = backlog ? Math.exp((backlog.measuredAt - now) / DELAY_DECAY_MS) : 0;
  const expectedMs = delayPerLoadMs * estimateReportedLoad(endpoint, now);
  return weight * (backlog?.delayMs ?? 0) + (1 - weight) * expectedMs;
}

/** Measures how long attempts have waited in the last seconds, relative to the load of their endpoints. */
function measureDelayPerLoad(
  board: Blackboard,
  endpoints: readonly Readonly<IEndpointEntry>[],
  now: Millis,
): Millis {
  let delays = 0;
  let loads = IDLE_LOAD;
  for (const endpoint of endpoints) {
    const backlog = board.endpointBacklogs.get(endpoint.id);
    if (!backlog) continue;
    const weight = Math.exp((backlog.measuredAt - now) / DELAY_DECAY_MS);
    delays += weight * backlog.delayMs;
    loads += weight * estimateReportedLoad(endpoint, now);
  }
  return delays / loads;
}

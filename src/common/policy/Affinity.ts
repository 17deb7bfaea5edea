import type { IEndpointEntry } from '../blackboard/Types.js';
import type { ChooseEndpoint, IEndpointView } from '../request/Types.js';
import type { RandomSource } from '../Types.js';
import { findSharedPrefix } from '../estimates/CachedPrompts.js';
import type { ChooseForPrompt } from './EarliestStart.js';
import { estimateWeightedLoad, limitColdEstimates } from './EndpointLoad.js';
import { hasRoom } from './Endpoints.js';

/** Options of the endpoint choice by prompt affinity. */
export interface IAffinityOptions {
  random: RandomSource;
  /** Hashes a text to a number from 0 (inclusive) to 1 (exclusive); all hosts get the same number. */
  hashToFraction: (text: string) => number;
  /**
   * Chooses the endpoint of a request to a model. Default: by rendezvous hashing of the shared prompt prefix, among the
   * endpoints whose load is not far above the mean.
   */
  chooseForPrompt?: ChooseForPrompt;
}

/**
 * Affinity chooses only among endpoints whose load is at most this factor times the mean load, plus the
 * margin.
 */
const MAX_LOAD_FACTOR = 1.3;
const MAX_LOAD_MARGIN = 1.5;

/** Factor on the load of endpoints in other availability zones, because traffic between zones is charged. */
const REMOTE_ZONE_FACTOR = 1.1;

/** Largest random increase of a load, so that hosts with the same information choose different endpoints. */
const LOAD_JITTER = 0.1;

/** Weight of the newest request in the mean length of prompts. */
const PROMPT_LENGTH_WEIGHT = 0.05;

/** An endpoint with its estimated load. */
interface ILoadedEndpoint {
  endpoint: Readonly<IEndpointEntry>;
  load: number;
}

/**
 * Creates the endpoint choice by rendezvous hashing of the shared prompt prefix. All hosts send requests with
 * the same prefix to the same endpoint, whose cache holds the prefix, and need no coordination for it. If the
 * load of that endpoint is far above the mean, the endpoint with the next highest hash is chosen. Requests
 * without a shared prefix go to the endpoint with the lowest load. Endpoints that limit the rate of requests,
 * but not the work of each, get the long prompts first.
 */
export function createChooseByAffinity({
  chooseForPrompt,
  hashToFraction,
  random,
}: IAffinityOptions): ChooseEndpoint {
  const isLongPrompt = createIsLongPrompt();
  return (view) => {
    const isLong = isLongPrompt(view);
    const available = filterAvailable(view);
    if (available.length === 0) return undefined;
    const estimates = available.map((endpoint) => ({
      endpoint,
      value: estimateWeightedLoad(endpoint, view.now),
    }));
    const raised = limitColdEstimates(estimates);
    const loads = estimates.map(({ endpoint, value }, index) => ({ endpoint, load: raised[index] ?? value }));
    const maxLoad = computeMaxLoad(loads, view);
    const preferred = selectByRateLimit(loads, maxLoad, isLong);
    if (chooseForPrompt && view.request.target.kind === 'model') {
      return chooseForPrompt(
        preferred.map(({ endpoint }) => endpoint),
        view,
      )?.id;
    }
    const sharedPrefix = findSharedPrefix(view.request);
    if (sharedPrefix !== undefined) {
      return pickHighest(
        preferred.filter(({ load }) => load <= maxLoad),
        ({ endpoint }) => hashToFraction(`${sharedPrefix}|${endpoint.id}`),
      )?.endpoint.id;
    }
    return pickHighest(preferred, ({ load, endpoint }) => {
      const zoneFactor = endpoint.zone === view.zone ? 1 : REMOTE_ZONE_FACTOR;
      return -load * zoneFactor * (1 + LOAD_JITTER * random());
    })?.endpoint.id;
  };
}

/** Creates the classification of prompts by the mean length of those before, for each service. */
function createIsLongPrompt(): (view: IEndpointView) => boolean {
  const meanByService = new Map<string, number>();
  return ({ onCosts, request: { service, target } }) => {
    if (target.kind !== 'model') return false;
    const mean = meanByService.get(service) ?? target.promptTokens;
    if (onCosts) return target.promptTokens >= mean;
    meanByService.set(service, mean + PROMPT_LENGTH_WEIGHT * (target.promptTokens - mean));
    return target.promptTokens >= mean;
  };
}

/**
 * Computes the load up to which affinity chooses an endpoint. Endpoints that wait for their rate limit count in the
 * mean: their load is low, so that the others are relieved as soon as one of them takes a request.
 */
function computeMaxLoad(loads: readonly ILoadedEndpoint[], { candidates, now }: IEndpointView): number {
  const waiting = candidates.filter(
    ({ health, nextAttemptAt }) => health === 'healthy' && nextAttemptAt !== undefined,
  );
  const all = [
    ...loads.map(({ load }) => load),
    ...waiting.map((endpoint) => estimateWeightedLoad(endpoint, now)),
  ];
  const meanLoad = all.reduce((sum, load) => sum + load, 0) / all.length;
  const lowestLoad = Math.min(...loads.map(({ load }) => load));
  return Math.max(lowestLoad, MAX_LOAD_FACTOR * meanLoad + MAX_LOAD_MARGIN);
}

/**
 * Selects the endpoints to choose among if some limit the rate of requests: those for long prompts, and the others for
 * short prompts as long as they are not busy. A limited endpoint then does the most work within its rate.
 */
function selectByRateLimit(
  loads: readonly ILoadedEndpoint[],
  maxLoad: number,
  isLong: boolean,
): readonly ILoadedEndpoint[] {
  const limited = loads.filter(({ endpoint }) => endpoint.attemptIntervalMs !== undefined);
  if (limited.length === 0) return loads;
  if (isLong) return limited;
  const idle = loads.filter(
    ({ endpoint, load }) => endpoint.attemptIntervalMs === undefined && load <= maxLoad,
  );
  return idle.length > 0 ? idle : loads;
}

/**
 * Lists the endpoints that have room for the request. The first attempt of an idempotent request goes to an
 * endpoint that is being probed, if there is one. Otherwise endpoints that are being probed, and endpoints
 * where this request has already failed, are used only if there is no other.
 */
function filterAvailable({
  candidates,
  lengthClass,
  request,
}: IEndpointView): readonly Readonly<IEndpointEntry>[] {
  const available = candidates.filter((endpoint) => hasRoom(endpoint, lengthClass));
  const probing = request.isIdempotent ? available.filter(({ health }) => health === 'probing') : [];
  if (probing.length > 0 && request.attemptCount === 0) return probing;
  const healthy = available.filter(({ health }) => health === 'healthy');
  const usable = healthy.length > 0 ? healthy : available;
  const notFailed = usable.filter(({ id }) => !(request.failedEndpoints ?? []).includes(id));
  return notFailed.length > 0 ? notFailed : usable;
}

/** Returns the first item with the highest score; `undefined` for an empty list. */
function pickHighest<T>(items: readonly T[], score: (item: T) => number): T | undefined {
  let best: T | undefined;
  let highest = -Infinity;
  for (const item of items) {
    const value = score(item);
    if (value <= highest) continue;
    best = item;
    highest = value;
  }
  return best;
}

import type { IEndpointEntry } from '../blackboard/Types.js';
import type { ChooseEndpoint, IEndpointView } from '../request/Types.js';
import type { RandomSource } from '../Types.js';
import { createChooseExpectedDelay } from './Endpoints.js';

/** Options of the choice by affinity. */
export interface IAffinityOptions {
  random: RandomSource;
  /** Hashes texts to a number from 0 up to 1, alike on all hosts. */
  hashPoint: (text: string) => number;
}

/** Requests of this host at an endpoint, beyond those at the least loaded one, that affinity is worth. */
const MAX_EXTRA_IN_FLIGHT = 3;

/**
 * Creates the choice by rendezvous hash of the shared part of a prompt: all hosts send a prompt's
 * requests to the same endpoint, where the shared part is cached, without telling one another. A loaded,
 * unhealthy or failed endpoint is passed over for the next by hash; other requests go by expected delay.
 */
export function createChooseByAffinity({ hashPoint, random }: IAffinityOptions): ChooseEndpoint {
  const chooseByDelay = createChooseExpectedDelay(random);
  return (view) => {
    const shared = findSharedPrefix(view);
    if (shared === undefined) return chooseByDelay(view);
    const open = view.candidates.filter((endpoint) => isPreferable(endpoint, view));
    const lowest = Math.min(...open.map(({ inFlight }) => inFlight));
    const preferred = open
      .filter(({ inFlight }) => inFlight <= lowest + MAX_EXTRA_IN_FLIGHT)
      .map((endpoint) => ({ id: endpoint.id, point: hashPoint(`${shared}|${endpoint.id}`) }))
      .sort((first, second) => second.point - first.point)[0];
    return preferred?.id ?? chooseByDelay(view);
  };
}

/** The longest prefix that other requests have too: the last part is the request's or session's own. */
function findSharedPrefix({ request }: IEndpointView): string | undefined {
  if (request.target.kind !== 'model') return undefined;
  return request.target.prefixHashes.at(-2);
}

function isPreferable(endpoint: Readonly<IEndpointEntry>, { request }: IEndpointView): boolean {
  if (endpoint.health !== 'healthy') return false;
  if (endpoint.inFlight >= (endpoint.inFlightLimit ?? Infinity)) return false;
  return !(request.failedEndpoints ?? []).includes(endpoint.id);
}

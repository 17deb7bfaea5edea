import type { ComputeAttemptInterval } from '../fleet/Types.js';
import type { ColdTurns } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import { ARRIVAL_SPREAD_MS } from './RateLimitShares.js';

/** Whether this host may use an endpoint of a service, as far as its coldness goes. */
export type Warmth = 'cold' | 'warm' | 'unusable';

/** Input of the decision on this host's requests to the cold endpoints of a service. */
export interface IColdPaceView {
  endpoints: readonly { id: string; warmth: Warmth }[];
  /** Id of this host. */
  host: string;
  /** Ids of the present hosts. */
  hosts: readonly string[];
  /** Largest number of hosts that this host has lately heard of. */
  heardHosts: number;
  /** Whether the others know this host, and it knows the others. */
  isMember: boolean;
  /** Requests that a cold endpoint may get from all hosts in any one second. */
  maxRequestsPerS: number;
}

/** How this host sends to a cold endpoint. */
export interface IColdShare {
  turns: ColdTurns;
  /** Least time between two requests; the mean time between turns if they are drawn by lot. `Infinity` without any. */
  intervalMs: Millis;
}

/** Decides how this host sends to each cold endpoint of a service, by endpoint. */
export type DecideColdPaces = (view: IColdPaceView) => ReadonlyMap<string, IColdShare>;

const SECOND_MS = 1000;

/** Share of the bound that the hosts without turns of their own use in the mean if there is no warm endpoint. */
const LOTTERY_SHARE = 0.1;

/** Hosts that a host assumes at least if it does not know the others. Deployments have up to some hundred. */
const MIN_ASSUMED_HOSTS = 100;

/** Mean rate of all hosts together at an endpoint that has just become warm, as a multiple of the bound while cold. */
const SETTLING_FACTOR = 2;

const NO_SHARE: IColdShare = { turns: 'none', intervalMs: Infinity };

/**
 * Creates the decision for a load that lasts while many endpoints are cold, up to all of a service. A host that ranks
 * among the first for an endpoint has turns at fixed intervals. If no endpoint is warm, a host without any such turn draws
 * turns by lot, so that not all of its requests fail. Drawn turns lapse unless a request is waiting; otherwise hosts
 * that have been idle would use theirs together in the next burst.
 * @example
 * const decide = createDecideColdPaces(createComputeSharedInterval(hashTexts, splitColdRate));
 */
export function createDecideColdPaces(computeInterval: ComputeAttemptInterval): DecideColdPaces {
  return ({ endpoints, heardHosts, host, hosts, isMember, maxRequestsPerS }) => {
    const shares = new Map<string, IColdShare>();
    let hasTurns = endpoints.some(({ warmth }) => warmth === 'warm');
    for (const { id, warmth } of endpoints) {
      if (warmth === 'warm') continue;
      const view = { endpoint: id, host, hosts, requestsPerS: maxRequestsPerS };
      const intervalMs = isMember && warmth === 'cold' ? computeInterval(view) : Infinity;
      shares.set(id, intervalMs === Infinity ? NO_SHARE : { turns: 'fixed', intervalMs });
      if (intervalMs !== Infinity) hasTurns = true;
    }
    if (hasTurns) return shares;
    const hostCount = Math.max(heardHosts, hosts.length, isMember ? 1 : MIN_ASSUMED_HOSTS);
    const intervalMs =
      (hostCount * (SECOND_MS + ARRIVAL_SPREAD_MS)) / (Math.floor(maxRequestsPerS) * LOTTERY_SHARE);
    for (const { id, warmth } of endpoints)
      if (warmth === 'cold' && Number.isFinite(intervalMs)) shares.set(id, { turns: 'drawn', intervalMs });
    return shares;
  };
}

/**
 * Computes the least time between this host's requests to an endpoint that has just become usable, so that the hosts,
 * which all see it idle, do not send it their whole load at once.
 * @example
 * computeSettlingInterval(80, 30.5); // 1311 (ms)
 */
export function computeSettlingInterval(hostCount: number, maxRequestsPerS: number): Millis {
  return (Math.max(1, hostCount) * SECOND_MS) / (SETTLING_FACTOR * Math.max(1, maxRequestsPerS));
}

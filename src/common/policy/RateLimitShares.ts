import type { ComputeAttemptInterval } from '../fleet/Types.js';
import { MAX_RATE_CREDIT } from '../request/AttemptPlan.js';

const SECOND_MS = 1000;

/**
 * Requests beyond its rate that an endpoint may get in a burst: this many, and this many for each request a second of
 * its limit. Each sender adds one request that is due, and what it may make up for, so the bound limits their number.
 */
const BURST_REQUESTS = 4;
const BURST_SECONDS = 2;

/** Ranks a host for an endpoint. All hosts must compute the same value. */
export type RankHost = (endpoint: string, host: string) => string;

/**
 * Creates the computation of the time that a host leaves between its requests to an endpoint that limits the rate of
 * all hosts together. Hosts of a small fleet have equal shares of the limit. In a larger one, those that rank first for
 * the endpoint share it, and the others send nothing, because a share of all would be one request in half a minute.
 * @example
 * const compute = createComputeAttemptInterval((endpoint, host) => `${endpoint} ${host}`);
 * compute({ endpoint: 'e-1', host: 'h-2', hosts: ['h-1', 'h-2'], requestsPerS: 4 }); // 500 (ms)
 */
export function createComputeAttemptInterval(rankHost: RankHost): ComputeAttemptInterval {
  return ({ endpoint, host, hosts, requestsPerS }) => {
    const burst = BURST_REQUESTS + BURST_SECONDS * requestsPerS;
    const maxSenders = Math.floor(burst / (1 + MAX_RATE_CREDIT));
    const ranked = [...new Set([...hosts, host])]
      .map((id) => ({ id, rank: rankHost(endpoint, id) }))
      .sort((first, second) => (first.rank < second.rank ? -1 : 1));
    const senders = ranked.slice(0, maxSenders);
    return senders.some(({ id }) => id === host) ? (SECOND_MS * senders.length) / requestsPerS : Infinity;
  };
}

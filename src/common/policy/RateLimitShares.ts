import type { ComputeAttemptInterval } from '../fleet/Types.js';
import { MAX_RATE_CREDIT } from '../request/AttemptPlan.js';
import type { Millis } from '../Types.js';

const SECOND_MS = 1000;

/**
 * Requests beyond its rate that an endpoint may get in a burst: this many, and this many for each request a second of
 * its limit. Each sender adds one request that is due, and what it may make up for, so the bound limits their number.
 */
const BURST_REQUESTS = 4;
const BURST_SECONDS = 2;

/**
 * Largest difference in the time that two requests take to a cold endpoint. Requests that were sent within a second and
 * this time may arrive within one second.
 */
export const ARRIVAL_SPREAD_MS: Millis = 250;

/**
 * Share of the bound on a cold endpoint that its senders use. The rest is for hosts that do not know the present hosts or
 * have not heard that the endpoint is cold.
 */
const SENDER_SHARE = 2 / 3;

/** Ranks a host for an endpoint. All hosts must compute the same value. */
export type RankHost = (endpoint: string, host: string) => string;

/** Splits the rate of an endpoint: how many hosts send to it, and the time that each leaves between its requests. */
export type SplitRate = (requestsPerS: number, hostCount: number) => { senders: number; intervalMs: Millis };

/**
 * Creates the computation of the time that a host leaves between its requests to an endpoint that limits the rate of
 * all hosts together. The hosts that rank first for the endpoint share the rate, and the others send nothing. Results are
 * kept by the list of hosts, which callers replace and do not change.
 * @example
 * const compute = createComputeSharedInterval((endpoint, host) => `${endpoint} ${host}`, splitColdRate);
 * compute({ endpoint: 'e-1', host: 'h-2', hosts: ['h-1', 'h-2'], requestsPerS: 30.5 }); // 126 (ms)
 */
export function createComputeSharedInterval(
  rankHost: RankHost,
  splitRate: SplitRate,
): ComputeAttemptInterval {
  // Hashing hundreds of hosts for each endpoint of a zone takes some 10 ms, and many endpoints turn cold one by one.
  const knownByHosts = new WeakMap<readonly string[], Map<string, Millis>>();
  const compute: ComputeAttemptInterval = ({ endpoint, host, hosts, requestsPerS }) => {
    const ranked = [...new Set([...hosts, host])]
      .map((id) => ({ id, rank: rankHost(endpoint, id) }))
      .sort((first, second) => (first.rank < second.rank ? -1 : 1));
    const { intervalMs, senders } = splitRate(requestsPerS, ranked.length);
    return ranked.slice(0, senders).some(({ id }) => id === host) ? intervalMs : Infinity;
  };
  return (view) => {
    const known = knownByHosts.get(view.hosts) ?? new Map<string, Millis>();
    knownByHosts.set(view.hosts, known);
    const key = `${view.endpoint} ${view.host} ${view.requestsPerS}`;
    const intervalMs = known.get(key) ?? compute(view);
    known.set(key, intervalMs);
    return intervalMs;
  };
}

/**
 * Creates the computation of the interval at an endpoint that names a limit on its mean rate. Hosts of a small fleet have
 * equal shares of the limit. In a larger one only some hosts share it, because a share of all would be one request in
 * half a minute.
 * @example
 * const compute = createComputeAttemptInterval((endpoint, host) => `${endpoint} ${host}`);
 * compute({ endpoint: 'e-1', host: 'h-2', hosts: ['h-1', 'h-2'], requestsPerS: 4 }); // 500 (ms)
 */
export function createComputeAttemptInterval(rankHost: RankHost): ComputeAttemptInterval {
  return createComputeSharedInterval(rankHost, (requestsPerS, hostCount) => {
    const burst = BURST_REQUESTS + BURST_SECONDS * requestsPerS;
    const senders = Math.min(hostCount, Math.floor(burst / (1 + MAX_RATE_CREDIT)));
    return { senders, intervalMs: (SECOND_MS * senders) / requestsPerS };
  });
}

/**
 * Splits the requests that a cold endpoint may get in any one second, for a load at which every sender uses each of its
 * turns. The bound holds in every window, because a sender has at most a whole number of turns in a window, however the
 * turns of different senders coincide.
 * @example
 * splitColdRate(30.5, 80); // { senders: 20, intervalMs: 1251 }
 */
export const splitColdRate: SplitRate = (maxRequests, hostCount) => {
  // Under a bound of one, a share of it would leave the endpoint without any request.
  const turns = Math.max(Math.floor(maxRequests * SENDER_SHARE), Math.min(1, Math.floor(maxRequests)));
  const senders = Math.min(hostCount, turns);
  // A window that includes both its ends holds one turn more than its length holds intervals.
  const intervalMs = (SECOND_MS + ARRIVAL_SPREAD_MS) / Math.floor(turns / Math.max(1, senders)) + 1;
  return { senders, intervalMs };
};

import type { IEndpointEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import { computeLastingSlowness, computeSlowness } from './EndpointSpeed.js';

/**
 * Age at which the weight of a load report has decayed to 1/e. In a large fleet a host receives a report from
 * an endpoint only every few seconds. With a faster decay the host would treat a busy endpoint as idle
 * between reports.
 */
const REPORT_DECAY_MS: Millis = 4000;

/**
 * Quantile of the estimates of warm endpoints that a cold one is assumed to have at least. The lowest would make it a first
 * choice; with the mean it would get nothing while some endpoints are less busy than others.
 */
const USUAL_QUANTILE = 0.25;

/** Waiting time of an attempt without output at which the estimated load of its endpoint doubles. */
const LOAD_DOUBLING_WAIT_MS: Millis = 600;

/**
 * Estimates the load of an endpoint: its attempts in flight, multiplied by its slowness. Attempts of other
 * hosts and the reported slowness come from the load report and are discounted by its age. The slowness in the long run
 * is not; it is less than 1 for an endpoint that is faster than usual. The slowness is at least a factor that grows with
 * the wait of this host's oldest attempt without output, because that wait shows a slow endpoint before the next load
 * report arrives.
 */
export function estimateWeightedLoad(endpoint: Readonly<IEndpointEntry>, now: Millis): number {
  const waitFactor = 1 + (endpoint.firstTokenWaitMs ?? 0) / LOAD_DOUBLING_WAIT_MS;
  const { requests, slowness } = estimateReportedParts(endpoint, now);
  return requests * Math.max(slowness, computeLastingSlowness(endpoint, now) * waitFactor);
}

/**
 * Estimates the load of an endpoint by its attempts in flight and its load report alone.
 * @example
 * estimateReportedLoad({ ...endpoint, inFlight: 2, report: undefined }, now); // 3: those in flight, and the next one
 */
export function estimateReportedLoad(endpoint: Readonly<IEndpointEntry>, now: Millis): number {
  const { requests, slowness } = estimateReportedParts(endpoint, now);
  return requests * slowness;
}

/**
 * Limits the estimates of endpoints that are cold or have just become usable, from below, to those of the less busy ones among the
 * others. They look idle to all hosts at once, for any load, so that their own estimate would make them the first choice
 * of every host.
 * @example
 * limitColdEstimates([{ endpoint, value: 40 }, { endpoint: coldEndpoint, value: 0 }]); // [40, 40]
 */
export function limitColdEstimates(
  estimates: readonly { endpoint: Readonly<IEndpointEntry>; value: number }[],
): number[] {
  const others = estimates
    .filter(({ endpoint }) => !endpoint.coldPace)
    .map(({ value }) => value)
    .sort((first, second) => first - second);
  const usual = others[Math.floor((others.length - 1) * USUAL_QUANTILE)] ?? -Infinity;
  return estimates.map(({ endpoint, value }) => (endpoint.coldPace ? Math.max(value, usual) : value));
}

/**
 * Estimates the attempts at an endpoint by those of this host and its load report, the next one included.
 * @example
 * estimateReportedRequests({ ...endpoint, inFlight: 2, report: undefined }, now); // 3
 */
export function estimateReportedRequests(endpoint: Readonly<IEndpointEntry>, now: Millis): number {
  return estimateReportedParts(endpoint, now).requests;
}

function estimateReportedParts(
  endpoint: Readonly<IEndpointEntry>,
  now: Millis,
): { requests: number; slowness: number } {
  const { inFlight, report } = endpoint;
  if (!report)
    return { requests: 1 + inFlight, slowness: computeSlowness(endpoint, { now, reportWeight: 0 }) };
  const reportWeight = Math.exp(-Math.max(0, now - report.receivedAt) / REPORT_DECAY_MS);
  const otherHostsLoad = Math.max(0, report.running + report.waiting - inFlight);
  const slowness = computeSlowness(endpoint, { now, reportWeight });
  return { requests: 1 + inFlight + reportWeight * otherHostsLoad, slowness };
}

import type { IEndpointEntry } from '../blackboard/Types.js';
import type { ChooseEndpoint, FindPrefix, IEndpointView, LengthClass } from '../request/Types.js';
import type { Millis, RandomSource } from '../Types.js';

/** Attempts of this host in flight at one endpoint before its limit has been adapted. */
export const INITIAL_IN_FLIGHT_LIMIT = 4;

/** Share of an endpoint's limit that long work may take. The rest stays free for short work. */
const LONG_WORK_SHARE = 0.5;

/** Limit of the baselines, which do not adapt it. */
const FIXED_IN_FLIGHT_LIMIT = 64;

/** Age at which a load report counts for 1/e; the engines' reports lag by seconds. */
const REPORT_FADING_MS = 1500;

/**
 * Weight of the other hosts' reported work relative to own work in flight. All hosts see the same late
 * report, so a full weight sends them all to the endpoint that was least loaded seconds ago.
 */
const REPORT_WEIGHT = 0.05;

/** Score of a remote endpoint relative to an equal local one. Zones are close, so a small load outweighs it. */
const REMOTE_ZONE_FACTOR = 1.2;

/** Largest share of the score that an expected prefix-cache hit saves. */
const PREFIX_CREDIT = 0.5;

/** Age at which the knowledge of a cached prefix counts for 1/e. */
const PREFIX_FADING_MS = 60_000;

/** Bound on the slowness factor, so that one bad sample does not exclude an endpoint for long. */
const MAX_SLOWNESS = 20;

/** Spread of the random factor that keeps hosts with equal knowledge from choosing alike. */
const RANDOM_SPREAD = 0.05;

/** Scores an endpoint; the lowest is chosen. */
export type ScoreEndpoint = (endpoint: Readonly<IEndpointEntry>) => number;

/**
 * Chooses the endpoint with the lowest expected delay: own work in flight plus the other hosts' work
 * from the load report discounted by age, times the slowness relative to the candidates. A cached
 * prefix lowers the score, another availability zone raises it.
 */
export function createChooseExpectedDelay(random: RandomSource): ChooseEndpoint {
  return (view) => {
    const open = view.candidates.filter((endpoint) => hasRoom(endpoint, view.length));
    const probed = view.request.isIdempotent ? open.find(({ health }) => health === 'probing') : undefined;
    if (probed) return probed.id;
    const typical = measureTypical(view.candidates);
    const typicalOtherWork = computeMedian(view.candidates.map(estimateOtherWork));
    const score: ScoreEndpoint = (endpoint) =>
      (1 + estimateLoad(endpoint, typicalOtherWork, view.now)) *
      computeSlowness(endpoint, typical) *
      (endpoint.zone === view.zone ? 1 : REMOTE_ZONE_FACTOR) *
      (1 - PREFIX_CREDIT * estimateCacheHit(view, endpoint.id)) *
      (1 + RANDOM_SPREAD * random());
    return pickLowest(filterSettled(filterUnfailed(open, view)), score, random);
  };
}

/** Chooses the endpoint with the fewest requests of this host in flight; ties by a random draw. */
export function createChooseLeastInFlight(random: RandomSource): ChooseEndpoint {
  return (view) =>
    pickLowest(
      view.candidates.filter((endpoint) => endpoint.inFlight < FIXED_IN_FLIGHT_LIMIT),
      (endpoint) => endpoint.inFlight,
      random,
    );
}

/** Baseline: the endpoint with the least load in its last report. */
export function createChooseLeastReported(random: RandomSource): ChooseEndpoint {
  const readLoad: ScoreEndpoint = ({ report }) => (report ? report.running + report.waiting : 0);
  return (view) => pickLowest(view.candidates, readLoad, random);
}

/** Baseline: the endpoints in turn. */
export function createChooseRoundRobin(): ChooseEndpoint {
  let turn = 0;
  return ({ candidates }) => {
    turn += 1;
    return candidates[turn % candidates.length]?.id;
  };
}

/** Tells whether an endpoint takes one more attempt of a length class from this host. */
export function hasRoom(endpoint: Readonly<IEndpointEntry>, length: LengthClass): boolean {
  if (endpoint.health === 'suspect') return false;
  if (endpoint.health === 'probing') return endpoint.probe === undefined && length === 'short';
  const limit = endpoint.inFlightLimit ?? INITIAL_IN_FLIGHT_LIMIT;
  if (endpoint.inFlight >= limit) return false;
  return (
    length === 'short' || (endpoint.longInFlight ?? 0) < Math.max(1, Math.floor(limit * LONG_WORK_SHARE))
  );
}

/** Estimates the reported work of the other hosts at an endpoint. */
export function estimateOtherWork({ inFlight, report }: Readonly<IEndpointEntry>): number | undefined {
  return report ? Math.max(0, report.running + report.waiting - inFlight) : undefined;
}

/**
 * Estimates the work at an endpoint relative to the others: this host's own work, moved by how far the
 * reported work of the other hosts is from that at the typical candidate, discounted by the report's age.
 */
export function estimateLoad(
  endpoint: Readonly<IEndpointEntry>,
  typicalOtherWork: number | undefined,
  now: Millis,
): number {
  const { inFlight, report } = endpoint;
  const otherWork = estimateOtherWork(endpoint);
  if (!report || otherWork === undefined || typicalOtherWork === undefined) return inFlight;
  const fading = Math.exp(-Math.max(0, now - report.receivedAt) / REPORT_FADING_MS);
  return Math.max(0, inFlight + REPORT_WEIGHT * fading * (otherWork - typicalOtherWork));
}

/** Finds the median of some measurements; `undefined` when there is none. */
export function computeMedian(values: readonly (number | undefined)[]): number | undefined {
  const sorted = values.filter((value) => value !== undefined).sort((first, second) => first - second);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

interface ITypicalLatency {
  firstTokenMs: number | undefined;
  paceMs: number | undefined;
}

function measureTypical(endpoints: readonly Readonly<IEndpointEntry>[]): ITypicalLatency {
  return {
    firstTokenMs: computeMedian(endpoints.map(({ firstTokenMs }) => firstTokenMs)),
    paceMs: computeMedian(endpoints.map((endpoint) => endpoint.paceMs ?? endpoint.tokenMs)),
  };
}

function computeSlowness(endpoint: Readonly<IEndpointEntry>, typical: ITypicalLatency): number {
  const pace = computeRatio(endpoint.paceMs ?? endpoint.tokenMs, typical.paceMs);
  const firstToken = computeRatio(endpoint.firstTokenMs, typical.firstTokenMs);
  return Math.min(MAX_SLOWNESS, Math.max(1, pace, Math.sqrt(firstToken)));
}

function computeRatio(value: number | undefined, typical: number | undefined): number {
  return value === undefined || typical === undefined || typical <= 0 ? 1 : value / typical;
}

function estimateCacheHit(view: IEndpointView, endpoint: string): number {
  const { findPrefix, now, request } = view;
  if (request.target.kind !== 'model' || request.version === undefined) return 0;
  return measureCachedShare(request.target.prefixHashes, request.version, endpoint, findPrefix, now);
}

/** Estimates the share of a prompt in an endpoint's cache from what this host sent there, 0 to 1. */
export function measureCachedShare(
  hashes: readonly string[],
  version: string,
  endpoint: string,
  findPrefix: FindPrefix,
  now: Millis,
): number {
  for (let index = hashes.length - 1; index >= 0; index -= 1) {
    const known = findPrefix(version, hashes[index] ?? '');
    if (known?.endpoint !== endpoint) continue;
    return ((index + 1) / hashes.length) * Math.exp(-Math.max(0, now - known.sentAt) / PREFIX_FADING_MS);
  }
  return 0;
}

function filterUnfailed(
  endpoints: readonly Readonly<IEndpointEntry>[],
  { request }: IEndpointView,
): readonly Readonly<IEndpointEntry>[] {
  const failed = request.failedEndpoints;
  if (!failed || failed.length === 0) return endpoints;
  const others = endpoints.filter(({ id }) => !failed.includes(id));
  return others.length > 0 ? others : endpoints;
}

/** A non-idempotent request probes an endpoint only when there is no other. */
function filterSettled(endpoints: readonly Readonly<IEndpointEntry>[]): readonly Readonly<IEndpointEntry>[] {
  const settled = endpoints.filter(({ health }) => health === 'healthy');
  return settled.length > 0 ? settled : endpoints;
}

function pickLowest(
  endpoints: readonly Readonly<IEndpointEntry>[],
  score: ScoreEndpoint,
  random: RandomSource,
): string | undefined {
  let lowest = Infinity;
  let best: Readonly<IEndpointEntry>[] = [];
  for (const endpoint of endpoints) {
    const value = score(endpoint);
    if (value > lowest) continue;
    if (value < lowest) best = [];
    lowest = value;
    best.push(endpoint);
  }
  return best[Math.floor(random() * best.length)]?.id;
}

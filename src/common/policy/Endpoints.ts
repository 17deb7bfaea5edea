import type { IEndpointEntry } from '../blackboard/Types.js';
import type { ChooseEndpoint, FindPrefix, IEndpointView, LengthClass } from '../request/Types.js';
import type { Millis, RandomSource } from '../Types.js';

/** Initial limit of this host's attempts in flight at one endpoint, until measurements adapt it. */
export const INITIAL_IN_FLIGHT_LIMIT = 4;

/**
 * Largest share of an endpoint's in-flight limit that long requests may use. The rest is reserved for short
 * ones.
 */
const MAX_LONG_WORK_SHARE = 0.5;

/** In-flight limit of `createChooseLeastInFlight`, which does not use the adapted limits. */
const FIXED_IN_FLIGHT_LIMIT = 64;

/**
 * Age at which the weight of a load report has decayed to 1/e. The reports of the engines are seconds old.
 */
const REPORT_DECAY_MS = 1500;

/**
 * Weight of the other hosts' reported work relative to this host's own work in flight. All hosts receive the
 * same outdated report, so with full weight all of them would choose the endpoint that was least loaded
 * seconds ago.
 */
const REPORT_WEIGHT = 0.05;

/**
 * Factor on the score of endpoints in other availability zones. Latency between zones is low, so a small
 * difference in load is enough to prefer a remote endpoint.
 */
const REMOTE_ZONE_FACTOR = 1.2;

/** Reduction of the score, as a share, when the whole prompt is expected in the endpoint's prefix cache. */
const CACHE_HIT_DISCOUNT = 0.5;

/** Time after which the expectation that a prefix is still cached has decayed to 1/e. */
const PREFIX_DECAY_MS = 60_000;

/** Upper bound on the slowness factor, so that one bad sample does not exclude an endpoint for long. */
const MAX_SLOWNESS = 20;

/** Largest random increase of a score, so that hosts with the same information choose different endpoints. */
const SCORE_JITTER = 0.05;

/** Scores an endpoint; the endpoint with the lowest score is chosen. */
export type ScoreEndpoint = (endpoint: Readonly<IEndpointEntry>) => number;

/**
 * Creates the choice of the endpoint with the lowest expected delay. The score is the load (this host's work
 * in flight and, discounted by the age of the load report, the work of other hosts) times the slowness
 * relative to the other candidates. An expected prefix-cache hit lowers the score; another availability zone
 * raises it. An idempotent request goes to an endpoint that is being probed, if one has room.
 */
export function createChooseExpectedDelay(random: RandomSource): ChooseEndpoint {
  return (view) => {
    const available = view.candidates.filter((endpoint) => hasRoom(endpoint, view.lengthClass));
    const probing = view.request.isIdempotent
      ? available.find(({ health }) => health === 'probing')
      : undefined;
    if (probing) return probing.id;
    const medians = computeMedianLatencies(view.candidates);
    const medianOtherHostsWork = computeMedian(view.candidates.map(estimateOtherHostsWork));
    const score: ScoreEndpoint = (endpoint) =>
      (1 + estimateLoad(endpoint, medianOtherHostsWork, view.now)) *
      computeSlowness(endpoint, medians) *
      (endpoint.zone === view.zone ? 1 : REMOTE_ZONE_FACTOR) *
      (1 - CACHE_HIT_DISCOUNT * estimateCacheHit(view, endpoint.id)) *
      (1 + SCORE_JITTER * random());
    return pickLowest(filterHealthy(filterNotFailed(available, view)), score, random);
  };
}

/** Baseline: the endpoint with the fewest attempts of this host in flight. Ties are broken at random. */
export function createChooseLeastInFlight(random: RandomSource): ChooseEndpoint {
  return (view) =>
    pickLowest(
      view.candidates.filter((endpoint) => endpoint.inFlight < FIXED_IN_FLIGHT_LIMIT),
      (endpoint) => endpoint.inFlight,
      random,
    );
}

/** Baseline: the endpoint with the lowest load in its last report. */
export function createChooseLeastReported(random: RandomSource): ChooseEndpoint {
  const readLoad: ScoreEndpoint = ({ report }) => (report ? report.running + report.waiting : 0);
  return (view) => pickLowest(view.candidates, readLoad, random);
}

/** Baseline: round robin over the candidates. */
export function createChooseRoundRobin(): ChooseEndpoint {
  let turn = 0;
  return ({ candidates }) => {
    turn += 1;
    return candidates[turn % candidates.length]?.id;
  };
}

/**
 * Tells whether this host may send one more attempt of a length class to an endpoint. An endpoint that is
 * being probed takes a single short attempt. One that limits its rate takes one each `attemptIntervalMs`, a cold one takes
 * one at each turn of this host, and one that wants nothing from this host for a time takes none.
 */
export function hasRoom(endpoint: Readonly<IEndpointEntry>, length: LengthClass): boolean {
  if (endpoint.health === 'suspect' || endpoint.nextAttemptAt !== undefined) return false;
  if (endpoint.pausedUntil !== undefined || endpoint.coldPace?.nextAt !== undefined) return false;
  if (endpoint.health === 'probing') return endpoint.probeAttempt === undefined && length === 'short';
  const limit = endpoint.inFlightLimit ?? INITIAL_IN_FLIGHT_LIMIT;
  if (endpoint.inFlight >= limit) return false;
  return (
    length === 'short' || (endpoint.longInFlight ?? 0) < Math.max(1, Math.floor(limit * MAX_LONG_WORK_SHARE))
  );
}

/**
 * Estimates the work of the other hosts at an endpoint: the reported total without this host's attempts in
 * flight.
 */
export function estimateOtherHostsWork({ inFlight, report }: Readonly<IEndpointEntry>): number | undefined {
  return report ? Math.max(0, report.running + report.waiting - inFlight) : undefined;
}

/**
 * Estimates the load of an endpoint for a comparison with the other candidates: this host's own work, plus
 * the weighted difference between the other hosts' work there and its median over the candidates. The weight
 * of the difference decays with the age of the load report.
 */
export function estimateLoad(
  endpoint: Readonly<IEndpointEntry>,
  medianOtherHostsWork: number | undefined,
  now: Millis,
): number {
  const { inFlight, report } = endpoint;
  const otherHostsWork = estimateOtherHostsWork(endpoint);
  if (!report || otherHostsWork === undefined || medianOtherHostsWork === undefined) return inFlight;
  const reportFreshness = Math.exp(-Math.max(0, now - report.receivedAt) / REPORT_DECAY_MS);
  return Math.max(0, inFlight + REPORT_WEIGHT * reportFreshness * (otherHostsWork - medianOtherHostsWork));
}

/**
 * Computes the median (the lower one of an even count) of the defined values; `undefined` if there are none.
 */
export function computeMedian(values: readonly (number | undefined)[]): number | undefined {
  const sorted = values.filter((value) => value !== undefined).sort((first, second) => first - second);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

/** Medians over the candidates of one choice. */
interface IMedianLatencies {
  firstTokenMs: number | undefined;
  paceMs: number | undefined;
}

function computeMedianLatencies(endpoints: readonly Readonly<IEndpointEntry>[]): IMedianLatencies {
  return {
    firstTokenMs: computeMedian(endpoints.map(({ firstTokenMs }) => firstTokenMs)),
    paceMs: computeMedian(endpoints.map((endpoint) => endpoint.recentTokenMs ?? endpoint.tokenMs)),
  };
}

/**
 * Computes the slowness factor of an endpoint, at least 1: the higher of its time between tokens relative to
 * the median and the square root of its relative time to first token.
 */
function computeSlowness(endpoint: Readonly<IEndpointEntry>, medians: IMedianLatencies): number {
  const tokenIntervalRatio = computeRatioToMedian(endpoint.recentTokenMs ?? endpoint.tokenMs, medians.paceMs);
  const firstTokenRatio = computeRatioToMedian(endpoint.firstTokenMs, medians.firstTokenMs);
  return Math.min(MAX_SLOWNESS, Math.max(1, tokenIntervalRatio, Math.sqrt(firstTokenRatio)));
}

function computeRatioToMedian(value: number | undefined, median: number | undefined): number {
  return value === undefined || median === undefined || median <= 0 ? 1 : value / median;
}

function estimateCacheHit(view: IEndpointView, endpoint: string): number {
  const { findPrefix, now, request } = view;
  if (request.target.kind !== 'model' || request.version === undefined) return 0;
  return estimateCachedShare(request.target.prefixHashes, request.version, endpoint, findPrefix, now);
}

/**
 * Estimates the share of a prompt, 0 to 1, that an endpoint has cached from earlier requests of this host.
 */
export function estimateCachedShare(
  hashes: readonly string[],
  version: string,
  endpoint: string,
  findPrefix: FindPrefix,
  now: Millis,
): number {
  for (let index = hashes.length - 1; index >= 0; index -= 1) {
    const lastSent = findPrefix(version, hashes[index] ?? '');
    if (lastSent?.endpoint !== endpoint) continue;
    return ((index + 1) / hashes.length) * Math.exp(-Math.max(0, now - lastSent.sentAt) / PREFIX_DECAY_MS);
  }
  return 0;
}

/** Excludes the endpoints where this request has failed, unless no other is left. */
function filterNotFailed(
  endpoints: readonly Readonly<IEndpointEntry>[],
  { request }: IEndpointView,
): readonly Readonly<IEndpointEntry>[] {
  const failed = request.failedEndpoints;
  if (!failed || failed.length === 0) return endpoints;
  const others = endpoints.filter(({ id }) => !failed.includes(id));
  return others.length > 0 ? others : endpoints;
}

/**
 * Excludes endpoints that are being probed, unless no other is left. Non-idempotent requests should not
 * probe.
 */
function filterHealthy(endpoints: readonly Readonly<IEndpointEntry>[]): readonly Readonly<IEndpointEntry>[] {
  const healthy = endpoints.filter(({ health }) => health === 'healthy');
  return healthy.length > 0 ? healthy : endpoints;
}

/** Picks the endpoint with the lowest score; ties are broken at random. */
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

import type { ISymptomCounts, IReleaseVerdict, Symptom } from '../fleet/Types.js';

/** Evidence on a release, from all hosts that have reported it. */
export interface IReleaseEvidenceView {
  newCounts: readonly ISymptomCounts[];
  oldCounts: readonly ISymptomCounts[];
  /** Number of endpoints of the new release that take work. */
  newEndpointCount: number;
}

/** Numbers of good and bad answers. */
interface IAnswerCounts {
  good: number;
  bad: number;
}

/**
 * A release is worse if a good one would give as many bad answers with a lower probability than the first, and
 * suspected of it with a lower probability than the second.
 */
const WORSE_PROBABILITY = 1e-4;
const SUSPECTED_PROBABILITY = 0.02;

/** Smallest number of bad answers that count against a release. */
const MIN_BAD_ANSWERS = 3;

/** Smallest number of bad answers that count against a release if one of several endpoints gave them all. */
const MIN_BAD_ANSWERS_OF_ONE_ENDPOINT = 8;

/**
 * Share of bad answers that any release may have, by symptom. Durations are judged by a high quantile of the
 * old release, so a part of the good answers exceeds it.
 */
const TOLERATED_RATES: Readonly<Record<Symptom, number>> = {
  failure: 0.01,
  'late-start': 0.2,
  'slow-pace': 0.2,
};

/**
 * Multiple of the old releases' rate of bad answers that a new release may have without being judged worse. A
 * good release has more long answers than the old ones while its caches fill.
 */
const ALLOWED_RATE_FACTORS: Readonly<Record<Symptom, number>> = {
  failure: 1.5,
  'late-start': 2.5,
  'slow-pace': 2.5,
};

/** Upper bound on the allowed rate, so that a release that fails almost always is judged worse. */
const MAX_ALLOWED_RATE = 0.9;

/** Rate of bad answers that is assumed of an old release without any answers. */
const PRIOR_FAILURE_RATE = 0.01;

/**
 * Finds a symptom by which the new release is worse than the old ones or suspected of it, on one route or on
 * all routes together. A fault on one route may be hidden by the answers of the others, and each route alone may
 * have too few answers.
 * @example
 * const failures = { symptom: 'failure', route: 'chat', good: 4, bad: 6, badEndpoints: ['e-1', 'e-2'] } as const;
 * findWorseSymptom({ newCounts: [failures], oldCounts: [], newEndpointCount: 2 });
 * // { certainty: 'certain', symptom: 'failure', route: 'chat', bad: 6, total: 10, allowedRate: 0.015 }
 */
export function findWorseSymptom({
  newCounts,
  newEndpointCount,
  oldCounts,
}: IReleaseEvidenceView): IReleaseVerdict | undefined {
  const routeGroups = combineByRoute(newCounts).map((group) => computeGroup(group, oldCounts));
  const symptoms = [...new Set(routeGroups.map(({ symptom }) => symptom))];
  const groups = [
    ...routeGroups,
    ...symptoms.map((symptom) => combineGroups(routeGroups.filter((group) => group.symptom === symptom))),
  ];
  const verdicts = groups.map((group) => decideVerdict(group, newEndpointCount));
  return verdicts.find((verdict) => verdict?.certainty === 'certain') ?? verdicts.find(Boolean);
}

/** Computes the binomial probability of at least `bad` failures among `total` answers at a failure rate. */
export function computeBinomialTail(bad: number, total: number, rate: number): number {
  let term = (1 - rate) ** total;
  let lowerTail = 0;
  for (let count = 0; count < bad; count += 1) {
    lowerTail += term;
    term *= ((total - count) / (count + 1)) * (rate / (1 - rate));
  }
  return Math.max(0, 1 - lowerTail);
}

/** Answers of the new release with the rate of bad ones that they may have. */
interface IJudgedGroup extends Omit<IReleaseVerdict, 'certainty'> {
  badEndpoints: ReadonlySet<string>;
}

/** Adds up the counts of all hosts that have the same symptom and route. */
function combineByRoute(counts: readonly ISymptomCounts[]): ISymptomCounts[] {
  const groups = new Map<string, ISymptomCounts>();
  for (const { bad, badEndpoints, good, route, symptom } of counts) {
    const key = `${symptom} ${route}`;
    const known = groups.get(key) ?? { symptom, route, good: 0, bad: 0, badEndpoints: [] };
    groups.set(key, {
      ...known,
      good: known.good + good,
      bad: known.bad + bad,
      badEndpoints: [...known.badEndpoints, ...badEndpoints],
    });
  }
  return [...groups.values()];
}

function computeGroup(
  { bad, badEndpoints, good, route, symptom }: ISymptomCounts,
  oldCounts: readonly ISymptomCounts[],
): IJudgedGroup {
  const old = oldCounts.filter((entry) => entry.symptom === symptom && entry.route === route);
  const allowedRate = computeAllowedRate(symptom, {
    good: old.reduce((sum, entry) => sum + entry.good, 0),
    bad: old.reduce((sum, entry) => sum + entry.bad, 0),
  });
  return { symptom, route, bad, total: good + bad, allowedRate, badEndpoints: new Set(badEndpoints) };
}

/** Combines the routes of one symptom. The allowed rate is the mean over the answers. */
function combineGroups(groups: readonly IJudgedGroup[]): IJudgedGroup {
  const total = groups.reduce((sum, group) => sum + group.total, 0);
  const allowed = groups.reduce((sum, group) => sum + group.total * group.allowedRate, 0);
  return {
    symptom: groups[0]?.symptom ?? 'failure',
    route: undefined,
    bad: groups.reduce((sum, group) => sum + group.bad, 0),
    total,
    allowedRate: total === 0 ? MAX_ALLOWED_RATE : allowed / total,
    badEndpoints: new Set(groups.flatMap(({ badEndpoints }) => [...badEndpoints])),
  };
}

function decideVerdict(
  { badEndpoints, ...group }: IJudgedGroup,
  newEndpointCount: number,
): IReleaseVerdict | undefined {
  const { allowedRate, bad, total } = group;
  const probability = computeProbability(bad, total, allowedRate);
  if (probability >= SUSPECTED_PROBABILITY) return undefined;
  const isOneOfSeveral = badEndpoints.size < Math.min(2, newEndpointCount);
  if (isOneOfSeveral && bad < MIN_BAD_ANSWERS_OF_ONE_ENDPOINT) return undefined;
  return { certainty: probability < WORSE_PROBABILITY ? 'certain' : 'suspected', ...group };
}

/** Computes the probability that a release with the allowed rate gives at least this many bad answers. */
function computeProbability(bad: number, total: number, allowedRate: number): number {
  return bad < MIN_BAD_ANSWERS ? 1 : computeBinomialTail(bad, total, allowedRate);
}

function computeAllowedRate(symptom: Symptom, oldCounts: IAnswerCounts): number {
  const oldRate = ALLOWED_RATE_FACTORS[symptom] * estimateRate(oldCounts);
  return Math.min(MAX_ALLOWED_RATE, Math.max(TOLERATED_RATES[symptom], oldRate));
}

/** Estimates a rate of bad answers. A few good answers do not show that it is low. */
function estimateRate({ bad, good }: IAnswerCounts): number {
  return good + bad === 0 ? PRIOR_FAILURE_RATE : (bad + 1) / (good + bad + 2);
}

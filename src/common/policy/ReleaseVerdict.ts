import type { IReleaseVerdict, ISymptomCounts, Symptom, VerdictCertainty } from '../fleet/Types.js';

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

/** When a release counts as worse, or as suspected of it. */
interface ICriteria {
  /** Probability with which a good release may give as many bad answers by chance. */
  probability: number;
  /** Smallest number of bad answers that count against a release. */
  minBadAnswers: number;
  /**
   * Share of bad answers that any release may have, by symptom. Durations are judged by a high quantile of the
   * old release, so a part of the good answers exceeds it.
   */
  toleratedRates: Readonly<Record<Symptom, number>>;
  /**
   * Multiples of the old releases' rate of bad answers that a new release may have, by symptom. A good release
   * has more long answers than the old ones while its caches fill.
   */
  rateFactors: Readonly<Record<Symptom, number>>;
}

const CRITERIA: Readonly<Record<VerdictCertainty, ICriteria>> = {
  certain: {
    probability: 1e-4,
    minBadAnswers: 3,
    toleratedRates: { failure: 0.01, 'late-start': 0.2, 'slow-pace': 0.2 },
    rateFactors: { failure: 1.5, 'late-start': 2.5, 'slow-pace': 2.5 },
  },
  suspected: {
    probability: 0.02,
    minBadAnswers: 5,
    toleratedRates: { failure: 0.01, 'late-start': 0.15, 'slow-pace': 0.15 },
    rateFactors: { failure: 1.5, 'late-start': 1.5, 'slow-pace': 1.5 },
  },
};

/** Smallest number of bad answers that count against a release if one of several endpoints gave them all. */
const MIN_BAD_ANSWERS_OF_ONE_ENDPOINT = 8;

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
export function findWorseSymptom(view: IReleaseEvidenceView): IReleaseVerdict | undefined {
  return findByCriteria('certain', view) ?? findByCriteria('suspected', view);
}

function findByCriteria(
  certainty: VerdictCertainty,
  { newCounts, newEndpointCount, oldCounts }: IReleaseEvidenceView,
): IReleaseVerdict | undefined {
  const criteria = CRITERIA[certainty];
  const routeGroups = combineByRoute(newCounts).map((counts) => computeGroup(counts, oldCounts, criteria));
  const symptoms = [...new Set(routeGroups.map(({ symptom }) => symptom))];
  const groups = [
    ...routeGroups,
    ...symptoms.map((symptom) => combineGroups(routeGroups.filter((group) => group.symptom === symptom))),
  ];
  const worst = groups.find((group) => isExceeded(group, newEndpointCount, criteria));
  if (!worst) return undefined;
  const { allowedRate, bad, route, symptom, total } = worst;
  return { certainty, symptom, route, bad, total, allowedRate };
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
  { rateFactors, toleratedRates }: ICriteria,
): IJudgedGroup {
  const old = oldCounts.filter((entry) => entry.symptom === symptom && entry.route === route);
  const oldRate = estimateRate({
    good: old.reduce((sum, entry) => sum + entry.good, 0),
    bad: old.reduce((sum, entry) => sum + entry.bad, 0),
  });
  const allowedRate = Math.min(
    MAX_ALLOWED_RATE,
    Math.max(toleratedRates[symptom], rateFactors[symptom] * oldRate),
  );
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

function isExceeded(
  { allowedRate, bad, badEndpoints, total }: IJudgedGroup,
  newEndpointCount: number,
  { minBadAnswers, probability }: ICriteria,
): boolean {
  const isOneOfSeveral = badEndpoints.size < Math.min(2, newEndpointCount);
  const requiredBadAnswers = isOneOfSeveral ? MIN_BAD_ANSWERS_OF_ONE_ENDPOINT : minBadAnswers;
  return bad >= requiredBadAnswers && computeBinomialTail(bad, total, allowedRate) < probability;
}

/** Estimates a rate of bad answers. A few good answers do not show that it is low. */
function estimateRate({ bad, good }: IAnswerCounts): number {
  return good + bad === 0 ? PRIOR_FAILURE_RATE : (bad + 1) / (good + bad + 2);
}

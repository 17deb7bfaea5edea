import type { IQualityEntry, IVersionPlan } from '../blackboard/Types.js';
import type { IServiceDocument, IVersionSpec } from '../config/Types.js';
import type { ChooseVersion, IVersionView, VersionDecision } from '../request/Types.js';
import { computeBetaTail } from './Beta.js';
import { getRolloutShare, listAllowedVersionsOfRequest, listUsableVersions } from './Versions.js';

/** Reads the observed quality of a plan for one kind of request. */
export type ReadQuality = (service: string, kind: string, plan: string) => IQualityEntry | undefined;

/** Options of the choice by learned quality. */
export interface ILearnedOptions {
  readQuality: ReadQuality;
  /**
   * Tells whether draft scores currently arrive in time. Without scores, only plans of a single version are
   * used.
   */
  isCheckAvailable: () => boolean;
}

/** A plan with its estimated cost and quality. */
export interface IPlanEstimate {
  steps: readonly [string, ...string[]];
  /** Expected price per thousand tokens, including drafts. */
  cost: number;
  /** Expected share of good answers. */
  quality: number;
  /** Probability that the plan meets the quality target for this kind of request. */
  confidence: number;
  /**
   * The same probability with a weak prior at the target instead of the service document's expectation. A
   * plan may be explored until this is small.
   */
  weakPriorConfidence: number;
}

type PlanSteps = readonly [IVersionSpec, ...IVersionSpec[]];

/** Largest share of requests that explore a plan, even if it is likely to meet the target. */
const MAX_EXPLORATION_SHARE = 0.2;
/** Lower bound on the assumed probability that an explored plan fails the target. */
const MIN_RISK = 0.01;
/** Largest number of versions in a plan. A third draft would cost more time than it can save. */
const MAX_STEPS = 3;
/**
 * Number of cheapest versions that a cascade may start with. It bounds the cost of the choice with many
 * versions.
 */
const MAX_CASCADE_VERSIONS = 4;
/** Weight of the expected acceptance of a draft, as a number of checked drafts. */
const DRAFT_PRIOR_WEIGHT = 5;
/**
 * Weight, as a number of ratings, of the prior at the quality target that decides which plans to explore. A
 * uniform prior would rule out cascades before their first rating, because a mean of several unknown shares
 * is rarely close to 1.
 */
const WEAK_PRIOR_WEIGHT = 2;

/** Formats the name of a plan in the `quality` panel. */
export function formatPlan(steps: readonly string[]): string {
  return steps.join('>');
}

/**
 * Creates the choice of the cheapest plan whose quality for the kind of request meets the service document's
 * target with the required confidence, by a Beta posterior over the ratings. If no plan does, the plan with
 * the highest expected quality is chosen. A bounded share of requests explores plans that may prove cheaper
 * or better.
 */
export function createChooseByLearnedQuality(options: ILearnedOptions): ChooseVersion {
  return (view) => {
    const usable = listUsableVersions(view);
    if (usable.kind === 'refuse') return usable;
    if (view.pinnedVersion !== undefined) return { kind: 'use', version: usable.versions[0].name };
    const estimates = listEstimates(options, view, listBaseVersions(usable.versions));
    const best = pickPlan(view.service.document, estimates);
    const explored = pickExploration(view, estimates, best);
    return buildDecision(view, usable.versions, (explored ?? best).steps, explored !== undefined);
  };
}

/** Estimates every plan that a request may use, cheapest first. */
export function listEstimates(
  options: ILearnedOptions,
  view: IVersionView,
  versions: PlanSteps,
): [IPlanEstimate, ...IPlanEstimate[]] {
  const { request } = view;
  const { document } = view.service;
  const readPlanQuality = (plan: string): IQualityEntry | undefined =>
    options.readQuality(request.service, request.kind, plan);
  const allowsDrafts = isDraftAllowed(view) && options.isCheckAvailable();
  const plans = allowsDrafts ? listPlans(versions) : versions.map((version): PlanSteps => [version]);
  const estimates = plans.map((steps) => estimatePlan(document, readPlanQuality, steps));
  estimates.sort((first, second) => first.cost - second.cost || first.steps.length - second.steps.length);
  return estimates as [IPlanEstimate, ...IPlanEstimate[]];
}

/**
 * Tells whether a request may run on cascades. A draft can be discarded only if the caller waits for the
 * whole answer and repeating the request is harmless.
 */
function isDraftAllowed({ request, service }: IVersionView): boolean {
  if (!service.document.learning.usesCascades || request.session !== undefined) return false;
  return request.isIdempotent && request.target.kind === 'model' && !request.target.isStreaming;
}

/**
 * Lists the versions that plans are built from. A version under rollout is left out if its model has a stable
 * version: it later replaces the stable one for its share of the requests.
 */
function listBaseVersions(usable: PlanSteps): PlanSteps {
  const stable = usable.filter((version) => version.stage === 'stable');
  const models = new Set(stable.map((version) => version.model));
  return usable.filter(
    (version) => version.stage === 'stable' || !models.has(version.model),
  ) as unknown as PlanSteps;
}

/** Lists all single versions, and the cascades of up to `MAX_STEPS` versions with ascending prices. */
function listPlans(versions: PlanSteps): PlanSteps[] {
  const sorted = [...versions].sort(
    (first, second) => first.pricePerThousandTokens - second.pricePerThousandTokens,
  );
  const plans: PlanSteps[] = sorted.map((version) => [version]);
  let extended = sorted.slice(0, MAX_CASCADE_VERSIONS).map((version): PlanSteps => [version]);
  for (let length = 2; length <= MAX_STEPS; length += 1) {
    extended = extended.flatMap((steps) => listExtensions(steps, sorted));
    plans.push(...extended);
  }
  return plans;
}

/** Lists the plans that continue a plan with one version that is more expensive than its last one. */
function listExtensions(steps: PlanSteps, sorted: readonly IVersionSpec[]): PlanSteps[] {
  const last = steps[steps.length - 1] ?? steps[0];
  return sorted
    .filter((version) => version.pricePerThousandTokens > last.pricePerThousandTokens)
    .map((version): PlanSteps => [...steps, version]);
}

/** Mean and variance of an estimated share, 0 to 1. */
interface IShareEstimate {
  mean: number;
  variance: number;
}

/** Prior of a share: its expected value and its weight as a number of observations. */
interface IPrior {
  mean: number;
  weight: number;
}

/**
 * Estimates the cost and the quality of a plan from its last step to its first: the answer of a step is
 * either accepted or followed by the remaining steps. Observations of a step apply to every plan that begins
 * with the same steps, so these plans share them.
 */
function estimatePlan(
  document: IServiceDocument,
  readPlanQuality: (plan: string) => IQualityEntry | undefined,
  steps: PlanSteps,
): IPlanEstimate {
  const names = steps.map((step) => step.name) as [string, ...string[]];
  const entries = steps.map((_, index) => readPlanQuality(formatPlan(names.slice(0, index + 1))));
  const { priorRatings } = document.learning;
  const expectedQuality = estimateQuality(entries, steps, (mean) => ({ mean, weight: priorRatings }));
  const weakPriorQuality = estimateQuality(entries, steps, () => ({
    mean: document.qualityTarget,
    weight: WEAK_PRIOR_WEIGHT,
  }));
  return {
    steps: names,
    cost: estimateCost(entries, steps),
    quality: expectedQuality.mean,
    confidence: computeShareTail(expectedQuality, document.qualityTarget),
    weakPriorConfidence: computeShareTail(weakPriorQuality, document.qualityTarget),
  };
}

function estimateCost(entries: readonly (IQualityEntry | undefined)[], steps: PlanSteps): number {
  return steps.reduceRight((restCost, step, index) => {
    const rejectedShare = restCost === 0 ? 0 : 1 - estimateAcceptance(entries[index], step).mean;
    return step.pricePerThousandTokens + rejectedShare * restCost;
  }, 0);
}

function estimateQuality(
  entries: readonly (IQualityEntry | undefined)[],
  steps: PlanSteps,
  createPrior: (mean: number) => IPrior,
): IShareEstimate {
  // Before there are ratings, an accepted draft is expected to be as good as an answer of the last version.
  const expectedAcceptedQuality = steps[steps.length - 1]?.expectedQuality ?? 0;
  let restQuality: IShareEstimate | undefined;
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    const step = steps[index] ?? steps[0];
    const entry = entries[index];
    if (!restQuality) {
      restQuality = estimateShare(entry?.good, entry?.bad, createPrior(step.expectedQuality));
      continue;
    }
    const acceptedQuality = estimateShare(
      entry?.acceptedGood,
      entry?.acceptedBad,
      createPrior(expectedAcceptedQuality),
    );
    restQuality = combineQualities(estimateAcceptance(entry, step), acceptedQuality, restQuality);
  }
  return restQuality ?? { mean: 0, variance: 0 };
}

function estimateAcceptance(entry: IQualityEntry | undefined, version: IVersionSpec): IShareEstimate {
  const prior = { mean: version.expectedQuality, weight: DRAFT_PRIOR_WEIGHT };
  return estimateShare(entry?.draftsAccepted, entry?.draftsRejected, prior);
}

/** Computes the mean and the variance of the Beta posterior of a share. */
function estimateShare(hits = 0, misses = 0, prior: IPrior): IShareEstimate {
  const total = hits + misses + prior.weight;
  const mean = (hits + prior.mean * prior.weight) / total;
  return { mean, variance: (mean * (1 - mean)) / (total + 1) };
}

/**
 * Computes the share of good answers over accepted and escalated requests, with first-order propagation of
 * the variances.
 */
function combineQualities(
  acceptance: IShareEstimate,
  accepted: IShareEstimate,
  escalated: IShareEstimate,
): IShareEstimate {
  const mean = acceptance.mean * accepted.mean + (1 - acceptance.mean) * escalated.mean;
  const variance =
    acceptance.mean ** 2 * accepted.variance +
    (1 - acceptance.mean) ** 2 * escalated.variance +
    (accepted.mean - escalated.mean) ** 2 * acceptance.variance;
  return { mean, variance };
}

/**
 * Computes the probability that a share is at least `target`, from the Beta distribution with its mean and
 * variance.
 */
function computeShareTail({ mean, variance }: IShareEstimate, target: number): number {
  if (mean <= 0 || mean >= 1 || variance <= 0) return mean >= target ? 1 : 0;
  const sampleSize = Math.max((mean * (1 - mean)) / variance - 1, 0.01);
  return computeBetaTail(mean * sampleSize, (1 - mean) * sampleSize, target);
}

/**
 * Picks the cheapest plan that meets the target, or the one with the highest expected quality if none does.
 */
function pickPlan(
  document: IServiceDocument,
  estimates: readonly [IPlanEstimate, ...IPlanEstimate[]],
): IPlanEstimate {
  const cheapestSufficient = estimates.find((estimate) => isSufficient(document, estimate));
  if (cheapestSufficient) return cheapestSufficient;
  return estimates.reduce((best, estimate) => (estimate.quality > best.quality ? estimate : best));
}

/** Tells whether a plan meets the quality target with the confidence that the service document requires. */
function isSufficient(document: IServiceDocument, estimate: IPlanEstimate): boolean {
  return estimate.confidence >= document.qualityConfidence;
}

/**
 * Picks a plan to explore: one that is not yet known to fail the target and that would be preferred if it met
 * the target. Half of the time the cheapest candidate is picked, so that it is judged after few requests;
 * otherwise any candidate, so that one with a quality close to the target does not block the others. The more
 * likely a plan meets the target, the more often it is explored: the service document bounds the share of
 * requests that are expected to run on a plan that fails the target.
 */
function pickExploration(
  view: IVersionView,
  estimates: readonly IPlanEstimate[],
  best: IPlanEstimate,
): IPlanEstimate | undefined {
  // The session would stay pinned to the explored version, even if its quality proves poor.
  if (view.request.session !== undefined) return undefined;
  const { document } = view.service;
  const isBestSufficient = isSufficient(document, best);
  const candidates = estimates.filter(
    (estimate) =>
      estimate !== best &&
      estimate.weakPriorConfidence > 1 - document.qualityConfidence &&
      (!isBestSufficient || estimate.cost < best.cost),
  );
  const position = Math.max(0, 2 * view.hashToFraction('explored plan') - 1);
  const candidate = candidates[Math.floor(position * candidates.length)];
  if (!candidate) return undefined;
  const risk = Math.max(1 - candidate.confidence, 1 - document.qualityConfidence, MIN_RISK);
  const share = Math.min(document.learning.explorationShare / risk, MAX_EXPLORATION_SHARE);
  return view.hashToFraction('exploration') < share ? candidate : undefined;
}

/**
 * Builds the decision for a plan, with versions under rollout in place of the stable ones of the same model.
 */
function buildDecision(
  view: IVersionView,
  usable: PlanSteps,
  chosen: readonly [string, ...string[]],
  isExploration: boolean,
): VersionDecision {
  const { request, service } = view;
  const byName = new Map(usable.map((version) => [version.name, version]));
  const rollingOut = usable.filter((version) => version.stage === 'rolling-out');
  const steps = chosen.map((name) => {
    const model = byName.get(name)?.model;
    return rollingOut.find((version) => version.model === model)?.name ?? name;
  }) as [string, ...string[]];
  // A request counts in the test of a rollout only if nothing but the share of the rollout decided whether the
  // request got the new version.
  const models = new Set(chosen.map((name) => byName.get(name)?.model));
  const eligibleRollouts = listAllowedVersionsOfRequest(request, service.document)
    .filter((version) => version.stage === 'rolling-out' && models.has(version.model))
    .filter((version) => getRolloutShare(service, version) > 0 && view.hasEndpoint(version.name))
    .map((version) => version.name);
  const plan: IVersionPlan = { steps, isExploration, eligibleRollouts };
  return { kind: 'use', version: steps[0], plan };
}

import type { IQualityEntry, IVersionPlan } from '../blackboard/Types.js';
import type { IServiceDocument, IVersionSpec } from '../config/Types.js';
import type { ChooseVersion, IVersionView, VersionDecision } from '../request/Types.js';
import { computeBetaTail } from './Beta.js';
import { getRolloutShare, listUsableVersions, listVersionsOf } from './Versions.js';

/** Reads what is known of a plan for one kind of request. */
export type ReadQuality = (service: string, kind: string, plan: string) => IQualityEntry | undefined;

/** Options of the learned choice. */
export interface ILearnedOptions {
  readQuality: ReadQuality;
  /** Whether scores of drafts arrive in time at present; without them no draft is tried. */
  isCheckAvailable: () => boolean;
}

/** A plan with what is expected of it. */
export interface IPlanEstimate {
  steps: readonly [string, ...string[]];
  /** Expected price per thousand tokens, drafts included. */
  cost: number;
  /** Expected share of good answers. */
  quality: number;
  /** Probability that the plan meets the quality target for this kind of request. */
  confidence: number;
  /** The same without the document's expectation; a plan is explored until this is small. */
  openness: number;
}

type Steps = readonly [IVersionSpec, ...IVersionSpec[]];

/** Largest share of requests that try a plan, however likely it meets the target. */
const MAX_EXPLORATION = 0.2;
const SMALLEST_RISK = 0.01;
/** Longest plan. A third draft costs more time than it can save. */
const MAX_STEPS = 3;
/** Versions considered for cascades, cheapest first, so that the choice stays cheap with many versions. */
const MAX_CASCADE_VERSIONS = 4;
/** Number of checked drafts that the expectation of a draft's acceptance counts for. */
const DRAFT_PRIOR = 5;
/**
 * Ratings that the target counts for in the decision what to explore. An even prior instead would rule
 * out cascades without a rating: the mean of several unknown shares is seldom close to 1.
 */
const OPEN_WEIGHT = 2;

/** Name of a plan in the `quality` panel. */
export function formatPlan(steps: readonly string[]): string {
  return steps.join('>');
}

/**
 * Chooses the cheapest plan whose quality for this kind of request meets the document's target with the
 * document's confidence, by a Beta posterior over ratings. When none does, the plan with the highest
 * expected quality. A bounded share of requests tries a plan that may turn out to be cheaper or better.
 */
export function createChooseLearned(options: ILearnedOptions): ChooseVersion {
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

/** Estimates every plan that is open to a request, cheapest first. */
export function listEstimates(
  options: ILearnedOptions,
  view: IVersionView,
  versions: Steps,
): [IPlanEstimate, ...IPlanEstimate[]] {
  const { request } = view;
  const { document } = view.service;
  const read = (plan: string): IQualityEntry | undefined =>
    options.readQuality(request.service, request.kind, plan);
  const canDraft = isDraftable(view) && options.isCheckAvailable();
  const plans = canDraft ? listPlans(versions) : versions.map((version): Steps => [version]);
  const estimates = plans.map((steps) => estimatePlan(document, read, steps));
  estimates.sort((first, second) => first.cost - second.cost || first.steps.length - second.steps.length);
  return estimates as [IPlanEstimate, ...IPlanEstimate[]];
}

/** A draft may be thrown away only if the caller waits for the whole answer and repeats are harmless. */
function isDraftable({ request, service }: IVersionView): boolean {
  if (!service.document.learning.usesCascades || request.session !== undefined) return false;
  return request.isIdempotent && request.target.kind === 'model' && !request.target.isStreaming;
}

/** A version that is rolling out takes its share from the stable version of its model, if there is one. */
function listBaseVersions(usable: Steps): Steps {
  const stable = usable.filter((version) => version.stage === 'stable');
  const models = new Set(stable.map((version) => version.model));
  return usable.filter(
    (version) => version.stage === 'stable' || !models.has(version.model),
  ) as unknown as Steps;
}

function listPlans(versions: Steps): Steps[] {
  const sorted = [...versions].sort(
    (first, second) => first.pricePerThousandTokens - second.pricePerThousandTokens,
  );
  const plans: Steps[] = sorted.map((version) => [version]);
  let longest = sorted.slice(0, MAX_CASCADE_VERSIONS).map((version): Steps => [version]);
  for (let length = 2; length <= MAX_STEPS; length += 1) {
    longest = longest.flatMap((steps) => listExtensions(steps, sorted));
    plans.push(...longest);
  }
  return plans;
}

function listExtensions(steps: Steps, sorted: readonly IVersionSpec[]): Steps[] {
  const last = steps[steps.length - 1] ?? steps[0];
  return sorted
    .filter((version) => version.pricePerThousandTokens > last.pricePerThousandTokens)
    .map((version): Steps => [...steps, version]);
}

/** Mean and variance of an estimated share. */
interface IShareEstimate {
  mean: number;
  variance: number;
}

/** Expected share and the number of observations that the expectation counts for. */
interface IPrior {
  mean: number;
  weight: number;
}

/**
 * Estimates a plan from the back: a step's answer is either accepted or followed by the rest. What is
 * known of a step holds for every plan that begins with the same steps, so all of them learn together.
 */
function estimatePlan(
  document: IServiceDocument,
  read: (plan: string) => IQualityEntry | undefined,
  steps: Steps,
): IPlanEstimate {
  const names = steps.map((step) => step.name) as [string, ...string[]];
  const entries = steps.map((_, index) => read(formatPlan(names.slice(0, index + 1))));
  const { priorRatings } = document.learning;
  const expected = estimateQuality(entries, steps, (mean) => ({ mean, weight: priorRatings }));
  const open = estimateQuality(entries, steps, () => ({ mean: document.qualityTarget, weight: OPEN_WEIGHT }));
  return {
    steps: names,
    cost: estimateCost(entries, steps),
    quality: expected.mean,
    confidence: computeShareTail(expected, document.qualityTarget),
    openness: computeShareTail(open, document.qualityTarget),
  };
}

function estimateCost(entries: readonly (IQualityEntry | undefined)[], steps: Steps): number {
  return steps.reduceRight((rest, step, index) => {
    const rejected = rest === 0 ? 0 : 1 - estimateAcceptance(entries[index], step).mean;
    return step.pricePerThousandTokens + rejected * rest;
  }, 0);
}

function estimateQuality(
  entries: readonly (IQualityEntry | undefined)[],
  steps: Steps,
  createPrior: (mean: number) => IPrior,
): IShareEstimate {
  // An accepted draft is expected to be as good as the last version's answer, until ratings say otherwise.
  const expectedAccepted = steps[steps.length - 1]?.expectedQuality ?? 0;
  let rest: IShareEstimate | undefined;
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    const step = steps[index] ?? steps[0];
    const entry = entries[index];
    if (!rest) {
      rest = estimateShare(entry?.good, entry?.bad, createPrior(step.expectedQuality));
      continue;
    }
    const accepted = estimateShare(entry?.acceptedGood, entry?.acceptedBad, createPrior(expectedAccepted));
    rest = combineShares(estimateAcceptance(entry, step), accepted, rest);
  }
  return rest ?? { mean: 0, variance: 0 };
}

function estimateAcceptance(entry: IQualityEntry | undefined, version: IVersionSpec): IShareEstimate {
  const prior = { mean: version.expectedQuality, weight: DRAFT_PRIOR };
  return estimateShare(entry?.draftsAccepted, entry?.draftsRejected, prior);
}

/** Beta posterior of a share. */
function estimateShare(hits = 0, misses = 0, prior: IPrior): IShareEstimate {
  const total = hits + misses + prior.weight;
  const mean = (hits + prior.mean * prior.weight) / total;
  return { mean, variance: (mean * (1 - mean)) / (total + 1) };
}

/** Share of good answers over both ways, with first-order propagation of the variances. */
function combineShares(way: IShareEstimate, taken: IShareEstimate, other: IShareEstimate): IShareEstimate {
  const mean = way.mean * taken.mean + (1 - way.mean) * other.mean;
  const variance =
    way.mean ** 2 * taken.variance +
    (1 - way.mean) ** 2 * other.variance +
    (taken.mean - other.mean) ** 2 * way.variance;
  return { mean, variance };
}

/** Probability that a share is at least a target, by the Beta distribution of the same mean and variance. */
function computeShareTail({ mean, variance }: IShareEstimate, target: number): number {
  if (mean <= 0 || mean >= 1 || variance <= 0) return mean >= target ? 1 : 0;
  const size = Math.max((mean * (1 - mean)) / variance - 1, 0.01);
  return computeBetaTail(mean * size, (1 - mean) * size, target);
}

function pickPlan(
  document: IServiceDocument,
  estimates: readonly [IPlanEstimate, ...IPlanEstimate[]],
): IPlanEstimate {
  const sufficient = estimates.find((estimate) => isSufficient(document, estimate));
  if (sufficient) return sufficient;
  return estimates.reduce((best, estimate) => (estimate.quality > best.quality ? estimate : best));
}

function isSufficient(document: IServiceDocument, estimate: IPlanEstimate): boolean {
  return estimate.confidence >= document.qualityConfidence;
}

/**
 * Picks a plan that is not yet known to fail the target and would be preferred if it met it. Half of the
 * time it is the cheapest one, so that it is settled with few requests; otherwise any, so that a plan
 * close to the target does not keep the others from being tried. The more likely a plan meets the target,
 * the more often it is tried: the document bounds the share of requests expected to run on one that fails.
 */
function pickExploration(
  view: IVersionView,
  estimates: readonly IPlanEstimate[],
  best: IPlanEstimate,
): IPlanEstimate | undefined {
  // A session would keep a version that turns out to be poor.
  if (view.request.session !== undefined) return undefined;
  const { document } = view.service;
  const isBestSufficient = isSufficient(document, best);
  const open = estimates.filter(
    (estimate) =>
      estimate !== best &&
      estimate.openness > 1 - document.qualityConfidence &&
      (!isBestSufficient || estimate.cost < best.cost),
  );
  const position = Math.max(0, 2 * view.hashPoint('explored plan') - 1);
  const candidate = open[Math.floor(position * open.length)];
  if (!candidate) return undefined;
  const risk = Math.max(1 - candidate.confidence, 1 - document.qualityConfidence, SMALLEST_RISK);
  const share = Math.min(document.learning.explorationShare / risk, MAX_EXPLORATION);
  return view.hashPoint('exploration') < share ? candidate : undefined;
}

function buildDecision(
  view: IVersionView,
  usable: Steps,
  chosen: readonly [string, ...string[]],
  isExploration: boolean,
): VersionDecision {
  const { request, service } = view;
  const byName = new Map(usable.map((version) => [version.name, version]));
  const rolling = usable.filter((version) => version.stage === 'rolling-out');
  const steps = chosen.map((name) => {
    const model = byName.get(name)?.model;
    return rolling.find((version) => version.model === model)?.name ?? name;
  }) as [string, ...string[]];
  // A request is eligible for a rollout when the share alone decided whether it got the new version.
  const models = new Set(chosen.map((name) => byName.get(name)?.model));
  const rollouts = listVersionsOf(request, service.document)
    .filter((version) => version.stage === 'rolling-out' && models.has(version.model))
    .filter((version) => getRolloutShare(service, version) > 0 && view.hasEndpoint(version.name))
    .map((version) => version.name);
  const plan: IVersionPlan = { steps, isExploration, rollouts };
  return { kind: 'use', version: steps[0], plan };
}

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
  /** The same by the ratings alone, which decides whether it is worth to learn more. */
  openness: number;
}

type Steps = readonly [IVersionSpec, ...IVersionSpec[]];

/** Longest plan. A third draft costs more time than it can save. */
const MAX_STEPS = 3;
/** Versions considered for cascades, cheapest first, so that the choice stays cheap with many versions. */
const MAX_CASCADE_VERSIONS = 4;
/** Number of checked drafts that the expectation of a draft's acceptance counts for. */
const DRAFT_PRIOR = 5;

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

function estimatePlan(
  document: IServiceDocument,
  read: (plan: string) => IQualityEntry | undefined,
  steps: Steps,
): IPlanEstimate {
  const names = steps.map((step) => step.name) as [string, ...string[]];
  let cost = 0;
  let reach = 1;
  steps.forEach((step, index) => {
    cost += reach * step.pricePerThousandTokens;
    reach *= 1 - estimateAcceptance(read(formatPlan(names.slice(0, index + 1))), step);
  });
  // A cascade is expected to reach what its last version reaches, until its own ratings say otherwise.
  const expected = steps[steps.length - 1]?.expectedQuality ?? 0;
  const { priorRatings } = document.learning;
  const { bad = 0, good = 0 } = read(formatPlan(names)) ?? {};
  const alpha = good + Math.max(expected * priorRatings, 0.01);
  const beta = bad + Math.max((1 - expected) * priorRatings, 0.01);
  const confidence = computeBetaTail(alpha, beta, document.qualityTarget);
  const openness = computeBetaTail(good + 1, bad + 1, document.qualityTarget);
  return { steps: names, cost, quality: alpha / (alpha + beta), confidence, openness };
}

function estimateAcceptance(known: IQualityEntry | undefined, version: IVersionSpec): number {
  const { draftsAccepted = 0, draftsRejected = 0 } = known ?? {};
  const total = draftsAccepted + draftsRejected + DRAFT_PRIOR;
  return (draftsAccepted + version.expectedQuality * DRAFT_PRIOR) / total;
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
 * Picks one plan that is not yet known to fail the target and would be preferred if it met it: the one
 * that saves most, weighted by its chance. Trying one plan at a time settles it with the fewest ratings.
 */
function pickExploration(
  view: IVersionView,
  estimates: readonly IPlanEstimate[],
  best: IPlanEstimate,
): IPlanEstimate | undefined {
  const { document } = view.service;
  if (view.hashPoint('exploration') >= document.learning.explorationShare) return undefined;
  const isBestSufficient = isSufficient(document, best);
  const computeGain = (estimate: IPlanEstimate): number => {
    if (estimate === best || estimate.openness <= 1 - document.qualityConfidence) return 0;
    // While no plan is sufficient, a plan is worth trying for its chance to be.
    return (isBestSufficient ? best.cost - estimate.cost : 1) * estimate.openness;
  };
  const [first] = [...estimates].sort((left, right) => computeGain(right) - computeGain(left));
  return first && computeGain(first) > 0 ? first : undefined;
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

import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import { computeRolloutSchedule } from '../policy/RolloutSchedule.js';
import { isAcceptingWork, isAwaitingRestoration } from '../request/Candidates.js';
import type { IModelSpec } from '../routes/Types.js';
import type { Millis } from '../Types.js';
import type { IRolloutEntry } from './Types.js';

/** Input for the choice of models. */
export interface IModelsView {
  request: IRequestEntry;
  /** Models that may answer, the smallest first. */
  models: readonly string[];
  specs: readonly IModelSpec[];
}

/** Chooses the models that a request runs on, one after another, until the answer of one is accepted. */
export type ChooseModels = (view: IModelsView) => readonly string[];

/** Input for the choice of a release. */
export interface IReleaseView {
  rollout: IRolloutEntry | undefined;
  /** Endpoints of the service, including those that are leaving. */
  endpoints: readonly Readonly<IEndpointEntry>[];
  /** Release of the session's last request; `undefined` if it has none within the last `sessionRetentionMs`. */
  lastRelease: string | undefined;
  /** Whether the request belongs to a session. Default false. */
  hasSession?: boolean;
  /** Whether another host has published that the session runs on the old release. */
  isHeld: boolean;
  /** Hash of the session, or of a request without a session, as a fraction from 0 up to but excluding 1. */
  hashFraction: number;
  now: Millis;
}

/** Chooses the release of a service that a request runs on; `undefined` if no endpoint accepts work. */
export type ChooseRelease = (view: IReleaseView) => string | undefined;

/** Chooses the largest model only. Serves as a baseline for comparisons. */
export const chooseLargestModel: ChooseModels = ({ models }) => models.slice(-1);

/** Chooses the smallest model, and the largest for answers that the smallest gives with low confidence. */
export const chooseSmallestThenLargest: ChooseModels = ({ models }) =>
  models.length > 1 ? [...models.slice(0, 1), ...models.slice(-1)] : models;

/** Options of the choice of models. */
export interface IModelOptions {
  /** Finds how often a model is confident in its answers to requests like this one; `undefined` if that is not known. */
  findConfidentShare: (request: IRequestEntry, model: string) => number | undefined;
  /**
   * Share of confident answers from which on a request that runs once runs on the smallest model. Default 0.9: an answer
   * without confidence is worth little, and the largest model costs about a tenth of what a good answer is worth.
   */
  minConfidentShare?: number;
}

/**
 * Creates the choice that has the answers of the smallest model replaced by the largest if need be. A request that may run
 * once at most gets one model only, chosen by what is known of requests of its size.
 * @example
 * const chooseModels = createChooseModels({ findConfidentShare: () => 0.4 });
 * chooseModels({ request: { ...request, isIdempotent: false }, models: ['small', 'large'], specs }); // ['large']
 */
export function createChooseModels({
  findConfidentShare,
  minConfidentShare = 0.9,
}: IModelOptions): ChooseModels {
  return (view) => {
    const { models, request } = view;
    const [smallest] = models;
    if (request.isIdempotent || smallest === undefined) return chooseSmallestThenLargest(view);
    const share = findConfidentShare(request, smallest) ?? 0;
    return share >= minConfidentShare ? [smallest] : chooseLargestModel(view);
  };
}

/** Options of the choice of a release. */
export interface IReleaseOptions {
  /**
   * Reads the time from the start of the stage `canary` for which all sessions stay on the old release, so
   * that hosts can exchange which sessions to hold there. Default 0.
   */
  readCanaryDelayMs?: () => Millis;
}

/**
 * Creates the choice of a release. Without a rollout, it is the release of the endpoint that was registered
 * first. In the stage `canary`, a session keeps the release that it has; in `full`, sessions move to the new
 * release, one after another, so that the caches of its endpoints fill. If no endpoint of the chosen release
 * accepts work, another release is used. While that is due to an evacuation, a rollout in progress limits which.
 */
export function createChooseRelease({ readCanaryDelayMs = () => 0 }: IReleaseOptions = {}): ChooseRelease {
  return (view) => {
    const availableEndpoints = view.endpoints.filter(isAcceptingWork);
    const availableReleases = new Set(availableEndpoints.map(({ release }) => release ?? ''));
    const evacuatedEndpoints = view.endpoints.filter(isAwaitingRestoration);
    const evacuatedReleases = new Set(evacuatedEndpoints.map(({ release }) => release ?? ''));
    const listedReleases = new Set([...availableReleases, ...evacuatedReleases]);
    const preferred = choosePreferredRelease(view, listedReleases, readCanaryDelayMs());
    if (preferred !== undefined && availableReleases.has(preferred)) return preferred;
    if (preferred !== undefined && evacuatedReleases.has(preferred) && !isReplaceable(view, preferred))
      return undefined;
    return chooseFallbackRelease(view, availableReleases);
  };
}

/**
 * Tells whether a request may run on another release while the endpoints of its release are in evacuated zones. They come
 * back, so that a session must not change its release in the stage `canary`, and a new release that may be bad must not
 * get the requests of the old one.
 */
function isReplaceable({ hasSession = false, rollout }: IReleaseView, preferred: string): boolean {
  if (!rollout || rollout.stage === 'succeeded') return true;
  return preferred === rollout.release && !(rollout.stage === 'canary' && hasSession);
}

function choosePreferredRelease(
  view: IReleaseView,
  listedReleases: ReadonlySet<string>,
  canaryDelayMs: Millis,
): string | undefined {
  const { endpoints, hashFraction, isHeld, lastRelease, now, rollout } = view;
  const oldRelease = endpoints.find(({ release }) => release !== rollout?.release)?.release;
  if (!rollout) return oldRelease;
  switch (rollout.stage) {
    case 'full':
      if (lastRelease === rollout.release) return lastRelease;
      return hashFraction < computeReleaseShare(rollout, now) ? rollout.release : oldRelease;
    case 'succeeded':
      return rollout.release;
    case 'canary': {
      if (lastRelease !== undefined && listedReleases.has(lastRelease)) return lastRelease;
      const isUndecided = isHeld || now - rollout.stageSeenAt < canaryDelayMs;
      return hashFraction < rollout.canaryShare && !isUndecided ? rollout.release : oldRelease;
    }
    default:
      return oldRelease;
  }
}

/** Computes the share of the sessions that use the new release in the stage `full`. */
function computeReleaseShare(rollout: IRolloutEntry, now: Millis): number {
  const { canaryShare, orderedAt, stageSeenAt } = rollout;
  const { rampEndMs, rampStartMs } = computeRolloutSchedule(rollout);
  const rampStartedAt = Math.min(stageSeenAt, orderedAt + rampStartMs);
  const progress = (now - rampStartedAt) / (rampEndMs - rampStartMs);
  return canaryShare + (1 - canaryShare) * Math.min(1, Math.max(0, progress));
}

/** Chooses the release of the rollout only if no endpoint of another release accepts work. */
function chooseFallbackRelease(
  { rollout }: IReleaseView,
  availableReleases: ReadonlySet<string>,
): string | undefined {
  const [first, ...others] = availableReleases;
  if (first === undefined) return undefined;
  return first === rollout?.release && others[0] !== undefined ? others[0] : first;
}

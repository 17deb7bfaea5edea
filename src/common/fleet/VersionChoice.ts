import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import { isAcceptingWork } from '../request/Candidates.js';
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

/** Options of the choice of a release. */
export interface IReleaseOptions {
  /** Reads the share of new sessions that use the new release in the stage `canary`. */
  readCanaryShare: () => number;
  /**
   * Reads the time from the start of the stage `canary` for which all sessions stay on the old release, so
   * that hosts can exchange which sessions to hold there. Default 0.
   */
  readCanaryDelayMs?: () => Millis;
  /**
   * Time from the start of the stage `full` over which the remaining sessions move to the new release, so
   * that the caches of its endpoints fill one after another. Default 4000.
   */
  rampMs?: Millis;
}

/**
 * Creates the choice of a release. Without a rollout, it is the release of the endpoint that was registered
 * first. In the stage `canary`, a session keeps the release that it has; in `full`, sessions move to the new
 * release. If no endpoint of the chosen release accepts work, another release is used.
 */
export function createChooseRelease({
  rampMs = 4000,
  readCanaryDelayMs = () => 0,
  readCanaryShare,
}: IReleaseOptions): ChooseRelease {
  return (view) => {
    const availableEndpoints = view.endpoints.filter(isAcceptingWork);
    const availableReleases = new Set(availableEndpoints.map(({ release }) => release ?? ''));
    const schedule = { canaryShare: readCanaryShare(), canaryDelayMs: readCanaryDelayMs(), rampMs };
    const preferred = choosePreferredRelease(view, availableReleases, schedule);
    return preferred !== undefined && availableReleases.has(preferred)
      ? preferred
      : chooseFallbackRelease(view, availableReleases);
  };
}

/** When and for which share of the sessions the new release is used. */
interface IReleaseSchedule {
  canaryShare: number;
  canaryDelayMs: Millis;
  rampMs: Millis;
}

function choosePreferredRelease(
  { endpoints, hashFraction, isHeld, lastRelease, now, rollout }: IReleaseView,
  availableReleases: ReadonlySet<string>,
  { canaryDelayMs, canaryShare, rampMs }: IReleaseSchedule,
): string | undefined {
  const oldRelease = endpoints.find(({ release }) => release !== rollout?.release)?.release;
  if (!rollout) return oldRelease;
  switch (rollout.stage) {
    case 'full': {
      if (lastRelease === rollout.release) return lastRelease;
      const newReleaseShare =
        canaryShare + (1 - canaryShare) * Math.min(1, (now - rollout.stageSeenAt) / rampMs);
      return hashFraction < newReleaseShare ? rollout.release : oldRelease;
    }
    case 'succeeded':
      return rollout.release;
    case 'canary': {
      if (lastRelease !== undefined && availableReleases.has(lastRelease)) return lastRelease;
      const isUndecided = isHeld || now - rollout.stageSeenAt < canaryDelayMs;
      return hashFraction < canaryShare && !isUndecided ? rollout.release : oldRelease;
    }
    default:
      return oldRelease;
  }
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

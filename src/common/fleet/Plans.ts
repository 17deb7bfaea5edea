import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import { isAcceptingWork } from '../request/Candidates.js';
import type { IModelSpec } from '../routes/Types.js';
import type { Millis } from '../Types.js';
import type { IRolloutEntry } from './Types.js';

/** What the choice of models looks at. */
export interface IModelsView {
  request: IRequestEntry;
  /** Models that may answer, the smallest first. */
  models: readonly string[];
  specs: readonly IModelSpec[];
}

/** Chooses the models that a request runs on, one after another until an answer is accepted. */
export type ChooseModels = (view: IModelsView) => readonly string[];

/** What the choice of a release looks at. */
export interface IReleaseView {
  rollout: IRolloutEntry | undefined;
  /** Endpoints of the service, those that leave included. */
  endpoints: readonly Readonly<IEndpointEntry>[];
  /** Release of the session's last request, where that was a short time ago. */
  lastRelease: string | undefined;
  /** Position of the session, 0 up to 1. */
  point: number;
  now: Millis;
}

/** Chooses the release of a service that a request runs on; `undefined` when no endpoint is there. */
export type ChooseRelease = (view: IReleaseView) => string | undefined;

/** Baseline: the largest model only. */
export const chooseLargestModel: ChooseModels = ({ models }) => models.slice(-1);

/** The smallest model first; where it doubts its answer, the largest. */
export const chooseSmallestThenLargest: ChooseModels = ({ models }) =>
  models.length > 1 ? [...models.slice(0, 1), ...models.slice(-1)] : models;

/** Options of the choice of a release. */
export interface IReleaseOptions {
  /** Reads the share of the sessions that use the new release in the first half of a rollout. */
  readCanaryShare: () => number;
  /** Time over which the other sessions move, so that the new caches fill one after another. Default 4000. */
  rampMs?: Millis;
}

/**
 * Creates the choice of a release. Without a rollout it keeps the release that endpoints had first. In
 * the first half of a rollout a session keeps the release that it has; afterwards all use the new one.
 */
export function createChooseRelease({ rampMs = 4000, readCanaryShare }: IReleaseOptions): ChooseRelease {
  return (view) => {
    const open = view.endpoints.filter(isAcceptingWork);
    const releases = new Set(open.map(({ release }) => release ?? ''));
    const wanted = chooseWanted(view, releases, readCanaryShare(), rampMs);
    return wanted !== undefined && releases.has(wanted) ? wanted : findFallback(view, releases);
  };
}

function chooseWanted(
  { endpoints, lastRelease, now, point, rollout }: IReleaseView,
  releases: ReadonlySet<string>,
  canaryShare: number,
  rampMs: Millis,
): string | undefined {
  const old = endpoints.find(({ release }) => release !== rollout?.release)?.release;
  if (!rollout) return old;
  switch (rollout.stage) {
    case 'full': {
      if (lastRelease === rollout.release) return lastRelease;
      const share = canaryShare + (1 - canaryShare) * Math.min(1, (now - rollout.stageSeenAt) / rampMs);
      return point < share ? rollout.release : old;
    }
    case 'succeeded':
      return rollout.release;
    case 'canary':
      if (lastRelease !== undefined && releases.has(lastRelease)) return lastRelease;
      return point < canaryShare ? rollout.release : old;
    default:
      return old;
  }
}

/** A release that was rolled back gets work only where there is no other. */
function findFallback({ rollout }: IReleaseView, releases: ReadonlySet<string>): string | undefined {
  const [first, ...others] = releases;
  if (first === undefined) return undefined;
  return first === rollout?.release && others[0] !== undefined ? others[0] : first;
}

import type { Result } from 'true-myth';
import type { IAnswer, IEndpointEntry, IQualityEntry } from '../blackboard/Types.js';
import type { IRolloutState } from '../config/Types.js';
import type { IEvidence } from '../policy/SequentialTest.js';
import type { Millis } from '../Types.js';

/** An answer sent to the rating service. */
export interface IRatingSubmission {
  request: string;
  service: string;
  kind: string;
  version: string;
  answer: IAnswer;
}

/** A rating that arrived. */
export interface IRating {
  request: string;
  score: 'good' | 'bad';
}

/** Ratings since a position, and the position to continue from. */
export interface IRatingPage {
  ratings: readonly IRating[];
  next: number;
}

/** The rating service did not answer as agreed. */
export interface IRatingError {
  kind: 'unavailable' | 'malformed';
  message: string;
}

/** Sends an answer to be rated later. */
export type SubmitAnswer = (submission: IRatingSubmission) => Promise<Result<void, IRatingError>>;

/** Reads the ratings of this host's answers since a position. */
export type FetchRatings = (after: number) => Promise<Result<IRatingPage, IRatingError>>;

/** Lease on a service's rollouts, as the owner sees it. */
export interface IOwnerLease {
  isHeld: () => boolean;
  fencingToken: () => number | undefined;
}

/** Counts of the `quality` panel that rollouts compare. */
export type QualityCounts = Pick<
  IQualityEntry,
  'good' | 'bad' | 'errors' | 'finished' | 'slow' | 'draftsAccepted' | 'draftsRejected'
>;

/** Counts of one version within the comparison of a rollout, since the start of the reporting host. */
export interface IRolloutCounts extends QualityCounts {
  /** New version that the comparison is about. */
  rollout: string;
  version: string;
}

/** Reply of a host to `rollout.report`. */
export interface IRolloutReport {
  /** Changes when the host restarts and counts from zero again. */
  run: string;
  counts: readonly IRolloutCounts[];
}

/** Respect in which a new version is compared with the stable one. */
export type RolloutSignal = 'ratings' | 'drafts' | 'errors' | 'latency';

/** What the owner knows of a rollout beyond its state in the configuration index. */
export interface IRolloutProgress {
  attempt: number;
  /** Share that the time and the ratings of the step belong to. */
  share: number;
  /** Time at this share while an owner was running. */
  elapsedMs: Millis;
  /** Ratings of the new version at this share. */
  ratings: number;
  evidence: Readonly<Record<RolloutSignal, IEvidence>>;
}

/** What follows from the progress of a rollout. */
export type RolloutDecision =
  | { kind: 'wait' }
  | { kind: 'advance'; share: number; reason: string }
  | { kind: 'retreat'; share: number; reason: string }
  | { kind: 'pass'; share: number; reason: string }
  | { kind: 'halt'; reason: string };

/** Outcome of writing a rollout's state. */
export type StateWrite = 'written' | 'stale' | 'unavailable';

/** Writes the state of a rollout to the index, if it is still the expected one. */
export type WriteRolloutState = (
  service: string,
  expected: IRolloutState | undefined,
  next: IRolloutState,
) => Promise<StateWrite>;

/** An order to an engine: the whole list of versions that it is to have loaded. Safe to repeat. */
export interface IEngineOrder {
  /** Engines that check it reject an order with an older token. */
  fencingToken: number;
  versions: readonly string[];
}

/** Why an order was not carried out: a newer owner has given orders, or the engine did not confirm. */
export type OrderError = 'fenced' | 'failed';

/** Sends an order; resolves with the versions that the engine reports afterwards. */
export type SendOrder = (
  endpoint: IEndpointEntry,
  order: IEngineOrder,
) => Promise<Result<readonly string[], OrderError>>;

/** Reads how many versions a minute engines may load; `undefined` when the weight store is down. */
export type FetchLoadLimit = () => Promise<number | undefined>;

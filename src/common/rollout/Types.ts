import type { Result } from 'true-myth';
import type { IAnswer, IEndpointEntry, IQualityEntry } from '../blackboard/Types.js';
import type { IRolloutState } from '../config/Types.js';
import type { IEvidence } from '../policy/SequentialTest.js';
import type { Millis } from '../Types.js';

/** An answer that a host submits to the rating service. */
export interface IRatingSubmission {
  /** Id that the rating refers to: the request's id, or for a rejected draft `<request id>/<attempt id>`. */
  request: string;
  service: string;
  kind: string;
  version: string;
  answer: IAnswer;
}

/** A rating of a submitted answer. */
export interface IRating {
  request: string;
  score: 'good' | 'bad';
}

/** Page of ratings read from the rating service. */
export interface IRatingPage {
  ratings: readonly IRating[];
  /** Position from which to read the next page. */
  next: number;
}

/**
 * Error of a call to the rating service. `unavailable`: the call failed or the service replied with an error
 * status. `malformed`: the reply does not match the schema.
 */
export interface IRatingError {
  kind: 'unavailable' | 'malformed';
  message: string;
}

/** Submits an answer to the rating service, which rates it later. */
export type SubmitAnswer = (submission: IRatingSubmission) => Promise<Result<void, IRatingError>>;

/** Reads the ratings of the answers that this host submitted, starting after a position. */
export type FetchRatings = (after: number) => Promise<Result<IRatingPage, IRatingError>>;

/**
 * This host's view of the lease on the rollouts and engine orders of a service. The host that holds the
 * lease is the owner.
 */
export interface IServiceLease {
  /** Tells whether this host holds the lease now. */
  isHeld: () => boolean;
  fencingToken: () => number | undefined;
}

/** Counts of a `quality` entry by which a rollout compares versions. */
export type QualityCounts = Pick<
  IQualityEntry,
  'good' | 'bad' | 'errors' | 'finished' | 'slow' | 'draftsAccepted' | 'draftsRejected'
>;

/** Counts that a host has collected since its start for one version in the comparison of a rollout. */
export interface IRolloutCounts extends QualityCounts {
  /** New version, which identifies the rollout. */
  rollout: string;
  /** Counted version: the new one, or one that it is compared with. */
  version: string;
}

/** Reply of a host to `rollout.report`. */
export interface IRolloutReport {
  /** Identifies the run of the host's process. When it changes, the host has restarted its counts at zero. */
  run: string;
  counts: readonly IRolloutCounts[];
}

/** Measure by which a new version is compared with the stable one. */
export type RolloutSignal = 'ratings' | 'drafts' | 'errors' | 'latency';

/**
 * Measurements on which the owner decides about a rollout. They are stored apart from the state of the
 * rollout, which is in the configuration index.
 */
export interface IRolloutProgress {
  attempt: number;
  /** Share of the current step; `elapsedMs` and `ratings` count from its start. */
  share: number;
  /** Time spent at this share, without the periods in which no owner was running. */
  elapsedMs: Millis;
  /** Number of ratings of the new version at this share. */
  ratings: number;
  evidence: Readonly<Record<RolloutSignal, IEvidence>>;
}

/** Next step of a rollout: keep, raise or lower the share, pass the rollout, or halt it. */
export type RolloutDecision =
  | { kind: 'wait' }
  | { kind: 'advance'; share: number; reason: string }
  | { kind: 'retreat'; share: number; reason: string }
  | { kind: 'pass'; share: number; reason: string }
  | { kind: 'halt'; reason: string };

/**
 * Outcome of writing a rollout's state. `stale`: the index holds another state than the expected one, or one
 * that the new state must not replace. `unavailable`: the index could not be read or written, or every
 * attempt conflicted with another write.
 */
export type StateWriteOutcome = 'written' | 'stale' | 'unavailable';

/** Writes the state of a rollout to the configuration index if the index still holds the expected state. */
export type WriteRolloutState = (
  service: string,
  expected: IRolloutState | undefined,
  next: IRolloutState,
) => Promise<StateWriteOutcome>;

/** Order to an engine: the complete list of versions that it must have loaded. An order is idempotent. */
export interface IEngineOrder {
  /** Token of the owner's lease. An engine that checks tokens rejects an order with an older one. */
  fencingToken: number;
  versions: readonly string[];
}

/**
 * Reason why an order was not carried out. `fenced`: the engine has already received an order of a newer
 * owner. `failed`: the engine did not confirm the order.
 */
export type OrderError = 'fenced' | 'failed';

/** Sends an order to an engine; resolves with the versions that the engine then reports as loaded. */
export type SendOrder = (
  endpoint: IEndpointEntry,
  order: IEngineOrder,
) => Promise<Result<readonly string[], OrderError>>;

/**
 * Reads how many loads of a version per minute the weight store allows; `undefined` when the weight store is
 * unavailable.
 */
export type FetchLoadLimit = () => Promise<number | undefined>;

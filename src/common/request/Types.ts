import type { Result } from 'true-myth';
import type {
  IAnswer,
  IAttemptEntry,
  IAttemptError,
  EndpointHealth,
  IEndpointEntry,
  IPrefixEntry,
  ILoadReport,
  IRefusal,
  IRequestEntry,
  IServiceEntry,
  IVersionPlan,
} from '../blackboard/Types.js';
import type { IStoredAnswer } from '../coordination/Types.js';
import type { Millis } from '../Types.js';

/** Part of a running attempt's output. The data of a chunk is opaque to decisions. */
export type AttemptPart =
  | { kind: 'chunk'; tokens: number; data: unknown }
  | { kind: 'report'; report: ILoadReport }
  /** The response has begun; `confidence` is 0 to 1. */
  | { kind: 'opening'; confidence: number | undefined }
  /** The endpoint was asked for the silent attempt. */
  | { kind: 'check'; check: RunCheck; silentMs: Millis };

/** What an adapter needs in order to run an attempt. */
export interface IAttemptCall {
  attempt: IAttemptEntry;
  request: IRequestEntry;
  endpoint: IEndpointEntry;
  /** Cancels the run at the endpoint. */
  signal: AbortSignal;
}

/** Runs one attempt at an endpoint and reports its output part by part. */
export type RunAttempt = (
  call: IAttemptCall,
  onPart: (part: AttemptPart) => void,
) => Promise<Result<IAnswer, IAttemptError>>;

/**
 * What an endpoint says of a silent attempt on another connection: it cannot be reached, does not know the
 * run, runs it or has it waiting, or has made more output than has arrived.
 */
export type RunCheck = 'unreachable' | 'unknown' | 'running' | 'ahead';

/** Asks an endpoint for a run of which `outputs` events have arrived. */
export type CheckRun = (call: IAttemptCall, outputs: number) => Promise<RunCheck>;

/** What the decision on a silent attempt looks at. */
export interface ISilenceView {
  request: IRequestEntry;
  attempt: IAttemptEntry;
  /** Whether the attempt has had output. */
  hasOutput: boolean;
  silentMs: Millis;
  /** Result of the last check since the last output. */
  check: RunCheck | undefined;
}

/** Decision on a silent attempt: look again later, ask its endpoint later, or give it up. */
export type SilenceDecision =
  { kind: 'wait'; afterMs: Millis } | { kind: 'check'; afterMs: Millis } | { kind: 'fail' };

/** Decides on an attempt that is silent. */
export type DecideSilence = (view: ISilenceView) => SilenceDecision;

/** Hands a chunk of the winning attempt to the front end. */
export type DeliverChunk = (request: string, data: unknown) => void;

/** Encodes an answer so that a repeat of the request can be served from the journal. */
export type EncodeAnswer = (request: IRequestEntry, answer: IAnswer) => IStoredAnswer;

/** Decision on a new request. */
export type AdmissionDecision = { kind: 'admit' } | { kind: 'refuse'; refusal: IRefusal };

/** Decision on the version of a request. */
export type VersionDecision =
  { kind: 'use'; version: string; plan?: IVersionPlan } | { kind: 'refuse'; refusal: IRefusal };

/** Decision on a finished attempt: its answer is final, or a draft that is checked first. */
export type AcceptanceDecision = { kind: 'accept' } | { kind: 'check'; escalatesTo: string };

/** Decides whether a finished attempt's answer is final. */
export type DecideAcceptance = (request: IRequestEntry, attempt: IAttemptEntry) => AcceptanceDecision;

/** Decision on a failed attempt. */
export type RetryDecision = { kind: 'retry'; delayMs: Millis } | { kind: 'refuse'; refusal: IRefusal };

/** Decides whether a request may enter. */
export type DecideAdmission = (view: IAdmissionView) => AdmissionDecision;

/** What admission looks at. */
export interface IAdmissionView {
  request: IRequestEntry;
  service: IServiceEntry | undefined;
  /** Requests of the account in flight at this host. */
  accountInFlight: number;
  /** Whether this host's share of the account's rate limit allows one more request now. */
  hasRateShare: boolean;
  isDraining: boolean;
  now: Millis;
}

/** Chooses the version that a request runs on. */
export type ChooseVersion = (view: IVersionView) => VersionDecision;

/** What the choice of a version looks at. */
export interface IVersionView {
  request: IRequestEntry;
  service: IServiceEntry;
  /** Version that the session is pinned to. */
  pinnedVersion: string | undefined;
  /** Tells whether any endpoint that takes new work has the version. */
  hasEndpoint: (version: string) => boolean;
  /**
   * Position of the request, 0 up to 1, among all requests for one purpose. All hosts compute the same
   * position for a session, and for a request that is repeated with its key.
   */
  hashPoint: (purpose: string) => number;
}

/** Chooses an endpoint among candidates; `undefined` keeps the request in the queue. */
export type ChooseEndpoint = (view: IEndpointView) => string | undefined;

/** Length class of a request. Long work has its own queue lane and a limit of slots per endpoint. */
export type LengthClass = 'short' | 'long';

/** Finds the endpoint that was last sent a prefix, by version and hash. */
export type FindPrefix = (version: string, hash: string) => Readonly<IPrefixEntry> | undefined;

/** What the choice of an endpoint looks at. */
export interface IEndpointView {
  request: IRequestEntry;
  /** Endpoints that take new work and have the version, or belong to the plain service. */
  candidates: readonly Readonly<IEndpointEntry>[];
  length: LengthClass;
  findPrefix: FindPrefix;
  /** Availability zone of this host. */
  zone: string;
  now: Millis;
}

/** A queued request with what its order depends on. */
export interface IQueuedRequest {
  request: IRequestEntry;
  length: LengthClass;
  /** Expected completion tokens; 1 for plain services. */
  expectedTokens: number;
  /** Expected time from the start of the attempt to its end. */
  expectedMs: Millis;
  queuedAt: Millis;
  /** Rank within the account; the lowest goes first. */
  rank: number;
  /** Start tag of the account in weighted fair queueing; the lowest goes first. */
  startTag: number;
}

/** Ranks a request among those of its account; computed once, when it is queued. */
export type RankQueued = (item: Omit<IQueuedRequest, 'rank' | 'startTag'>) => number;

/** Compares the first requests of two accounts; negative when the first goes first. */
export type CompareHeads = (first: IQueuedRequest, second: IQueuedRequest, now: Millis) => number;

/** Order of the queue. */
export interface IQueueOrder {
  rankQueued: RankQueued;
  compareHeads: CompareHeads;
}

/** Decision on a request that waits or is about to wait. */
export type QueueDecision = { kind: 'wait' } | { kind: 'refuse'; retryAfterMs: Millis };

/** Decides whether a request can still meet its deadline. */
export type DecideQueued = (view: IQueueView) => QueueDecision;

/** What the decision on a queued request looks at. */
export interface IQueueView {
  item: Omit<IQueuedRequest, 'rank' | 'startTag'>;
  /** Expected time in the queue from now. */
  waitMs: Millis;
  now: Millis;
}

/** Chooses another version for a request whose version has no capacity in time. */
export type ChooseSpill = (view: ISpillView) => string | undefined;

/** What the choice of another version looks at. */
export interface ISpillView {
  request: IRequestEntry;
  service: IServiceEntry;
  /** Tells whether a version has an endpoint with room now. */
  hasRoom: (version: string) => boolean;
}

/** Decides on the health of an endpoint from its own figures and those of its peers. */
export type DecideHealth = (view: IHealthView) => EndpointHealth;

/** What the decision on an endpoint's health looks at. */
export interface IHealthView {
  endpoint: Readonly<IEndpointEntry>;
  /** Median of the peers of the same versions; `undefined` when too few are measured. */
  peerPaceMs: number | undefined;
  peerFirstTokenMs: number | undefined;
  /** Endpoints with the same versions that take new work, this one included. */
  poolSize: number;
  /** How many of them are `suspect` or `probing`. */
  ejected: number;
  /** Whether an attempt planned while the endpoint was `probing` has just finished. */
  hasProbeSucceeded: boolean;
  /** Unsuccessful probes in a row. */
  failedProbes: number;
  now: Millis;
}

/** Computes the limit of attempts in flight at an endpoint after an attempt has shown its first token. */
export type AdaptLimit = (view: ILimitView) => number;

/** What the adaptation of an in-flight limit looks at. */
export interface ILimitView {
  endpoint: Readonly<IEndpointEntry>;
  limit: number;
  firstTokenMs: Millis;
  /** Lowest smoothed time to first token lately seen at the endpoint's peers. */
  baseFirstTokenMs: Millis;
  /** Time since the limit was last lowered. */
  sinceDecreaseMs: Millis;
  now: Millis;
}

/** Decides how long to wait for output before a hedge; `undefined` for none. */
export type DecideHedge = (view: IHedgeView) => Millis | undefined;

/** What the decision on a hedge looks at. */
export interface IHedgeView {
  request: IRequestEntry;
  attempt: IAttemptEntry;
  /** Recent times to first output of the pool, ascending. */
  firstTokenTimes: readonly Millis[];
}

/** Decides what follows a failed attempt. */
export type DecideRetry = (view: IRetryView) => RetryDecision;

/** What the decision on a retry looks at. */
export interface IRetryView {
  request: IRequestEntry;
  attempt: IAttemptEntry;
  error: IAttemptError;
  /** Whether the retry budget allows one more attempt. */
  hasBudget: boolean;
  now: Millis;
}

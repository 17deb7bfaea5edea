import type { Result } from 'true-myth';
import type {
  IAnswer,
  IAttemptEntry,
  IAttemptError,
  EndpointHealth,
  IEndpointEntry,
  IPromptPrefixEntry,
  ILoadReport,
  IRefusal,
  IRequestEntry,
  IServiceEntry,
  IVersionPlan,
} from '../blackboard/Types.js';
import type { IAccountDemand } from '../estimates/Types.js';
import type { IStoredAnswer } from '../coordination/Types.js';
import type { Millis } from '../Types.js';

/** What marks the end of a response: its length, its last chunk, or only the end of its connection. */
export type EndMark = 'length' | 'chunks' | 'connection';

/**
 * How the endpoints of a service end answers of one kind. `marked`: at least one of them marks the ends of some.
 * `unmarked`: as far as known none does. `unknown`: too few answers have begun to tell.
 */
export type EndForm = 'marked' | 'unmarked' | 'unknown';

/**
 * What followed an answer behind its marked end on the same connection. `rest`: more of the same answer, so that the
 * end was false. `response`: another response. `other`: bytes that say nothing about the answer.
 */
export type AfterEnd = 'none' | 'response' | 'rest' | 'other';

/**
 * How the ids of the events of a stream rise: by one each, by any amount, or `unknown` before two of them have come.
 * Only where they rise by one does a larger step show that events are missing.
 */
export type EventSteps = 'unknown' | 'single' | 'free';

/** How a whole answer was written to its caller. */
export interface IWrittenAnswer {
  status: number;
  bytes: number;
  /** What marked the end of the answer at its endpoint. */
  endpointMark: EndMark;
  /** What marks the end of the caller's copy. */
  endMark: EndMark;
  /** Whether the connection took all of it before it closed. */
  isSent: boolean;
}

/** Event that an adapter reports about a running attempt. Decisions do not look at the data of a chunk. */
export type AttemptPart =
  | { kind: 'chunk'; tokens: number; data: unknown }
  | { kind: 'report'; report: ILoadReport }
  /**
   * The response has begun, and its endpoint takes `requestsPerS` requests a second from all hosts together;
   * `undefined` if it sets no limit.
   */
  | { kind: 'rate-limit'; requestsPerS: number | undefined }
  /**
   * The response has begun, and its endpoint crashes if it has to refuse more than `refusalsPerS` attempts in a second;
   * `undefined` if it names no such limit.
   */
  | { kind: 'refusal-limit'; refusalsPerS: number | undefined }
  /** The endpoint has turned the attempt away, and wants nothing from this host for `forMs`. */
  | { kind: 'pause'; forMs: Millis }
  /** The response has begun, and its endpoint says that it stays cold for `forMs`. */
  | { kind: 'cold'; forMs: Millis }
  /** The response has begun, and its endpoint says that it is leaving. */
  | { kind: 'leaving' }
  /**
   * A stream has begun. `confidence` is the model's confidence in its answer, 0 to 1, if it reports one. `endMark` is what
   * will mark the end of the response, absent if the adapter does not tell.
   */
  | { kind: 'opening'; confidence: number | undefined; endMark?: EndMark }
  /** A plain answer with a body has begun, and this will mark its end. */
  | { kind: 'plain-opening'; endMark: EndMark }
  /**
   * The response has ended, and nothing before its end was wrong. `afterEnd` is absent if the adapter does not look
   * behind the end.
   */
  | { kind: 'end'; mark: EndMark; afterEnd?: AfterEnd }
  /** The endpoint was asked, `silentMs` after the last output, whether it still runs the attempt. */
  | { kind: 'check'; check: RunCheckResult; silentMs: Millis };

/** What an adapter needs in order to run an attempt. */
export interface IAttemptCall {
  attempt: IAttemptEntry;
  request: IRequestEntry;
  endpoint: IEndpointEntry;
  /** How the ids of events rise at the endpoints of the service. Default `unknown`. */
  eventSteps?: EventSteps;
  /** Cancels the run at the endpoint. */
  signal: AbortSignal;
  /** Ends the attempt if nothing of it has been sent, and has no effect later. Default: none does. */
  withdrawal?: AbortSignal;
}

/** Runs one attempt at an endpoint and reports its output part by part. */
export type RunAttempt = (
  call: IAttemptCall,
  onPart: (part: AttemptPart) => void,
) => Promise<Result<IAnswer, IAttemptError>>;

/**
 * Result of asking an endpoint, on another connection, about an attempt that has stopped producing output or whose end
 * is in doubt. `unreachable`: the endpoint takes no connection. `unanswered`: no reply came in time. `silent`: no reply
 * came in time although the endpoint has taken the connection. `unknown`: it does not know the run. `running`: it runs the
 * attempt or has it queued. `ahead`: it has produced more output than has arrived here, by more than may be in transit.
 * `replaced`: another process has its address.
 */
export type RunCheckResult =
  'unreachable' | 'unanswered' | 'silent' | 'replaced' | 'unknown' | 'running' | 'ahead';

/** Asks an endpoint for the state of a run of which `outputCount` events have arrived. */
export type CheckRun = (call: IAttemptCall, outputCount: number) => Promise<RunCheckResult>;

/** Input of the decision on a silent attempt. */
export interface ISilenceView {
  request: IRequestEntry;
  attempt: IAttemptEntry;
  /** Whether any output of the attempt has arrived. */
  hasOutput: boolean;
  /** Time since the last output, or since the start of the attempt if there was none. */
  silentMs: Millis;
  /** Result of the latest check of the endpoint since the last output; `undefined` if there was none. */
  check: RunCheckResult | undefined;
}

/**
 * Decision on a silent attempt: decide again after `afterMs`, ask its endpoint after `afterMs`, or fail the
 * attempt.
 */
export type SilenceDecision =
  { kind: 'wait'; afterMs: Millis } | { kind: 'check'; afterMs: Millis } | { kind: 'fail' };

/** Decides how to proceed with an attempt that produces no output. */
export type DecideSilence = (view: ISilenceView) => SilenceDecision;

/**
 * Why the end of an answer is in doubt. `unmarked`: only its connection ended. `empty`: a stream had no event.
 * `endpoint-spoils`: something marks the end, but the endpoint has lately sent answers that were malformed or broke off.
 */
export type DoubtReason = 'unmarked' | 'empty' | 'endpoint-spoils';

/** Input of the decision on an answer whose end is in doubt. */
export interface IAnswerEndView {
  request: IRequestEntry;
  attempt: IAttemptEntry;
  /** Result of asking the endpoint after the end; `undefined` if it has not been asked. */
  check: RunCheckResult | undefined;
  /** How the endpoints of the same service end their streams or, if this is a plain answer, their plain answers. */
  endForm: EndForm;
  /** Time until the deadline of the request. */
  leftMs: Millis;
  /** Time for which the end may still be held back until other answers have shown how the service ends them. */
  holdLeftMs: Millis;
  /** Whether another endpoint may be asked for the rest of a stream, or be sent a plain call again. */
  isRepeatable: boolean;
  /** Tells whether an endpoint has lately sent an answer that was malformed or broke off. */
  hasSpoiltLately: (endpoint: string) => boolean;
}

/**
 * Decision on an answer whose end is in doubt: it is complete or broken, its endpoint has to be asked first, or another
 * endpoint has to go on after its last event. With `claim`, that endpoint confirms the end if it finds nothing after it.
 * With `wait`, the decision is made again once the end form is known or the end can no longer be held back. A plain answer
 * cannot be continued, so it is dropped: as `malformed` if its endpoint marks other ends, or as `unproven`, which is held
 * against no endpoint.
 */
export type AnswerEndDecision =
  'complete' | 'broken' | 'check' | 'claim' | 'continue' | 'wait' | 'malformed' | 'unproven';

/** Decides whether an answer is complete whose end is in doubt. */
export type DecideAnswerEnd = (view: IAnswerEndView) => AnswerEndDecision;

/** Hands a chunk of the winning attempt to the front end. */
export type DeliverChunk = (request: string, data: unknown) => void;

/** Encodes an answer so that a repeat of the request can be served from the journal. */
export type EncodeAnswer = (request: IRequestEntry, answer: IAnswer) => IStoredAnswer;

/** Decision on a new request. */
export type AdmissionDecision = { kind: 'admit' } | { kind: 'refuse'; refusal: IRefusal };

/** Decision on the version that a request runs on, or its refusal. */
export type VersionDecision =
  { kind: 'use'; version: string; plan?: IVersionPlan } | { kind: 'refuse'; refusal: IRefusal };

/**
 * Decision on a finished attempt: its answer is final, or it is a draft. A draft is checked, and the request
 * runs again on the version `escalatesTo` if the draft is rejected.
 */
export type AcceptanceDecision = { kind: 'accept' } | { kind: 'check'; escalatesTo: string };

/** Decides whether a finished attempt's answer is final. */
export type DecideAcceptance = (request: IRequestEntry, attempt: IAttemptEntry) => AcceptanceDecision;

/** Decision on a failed attempt: retry after a delay, or refuse the request. */
export type RetryDecision = { kind: 'retry'; delayMs: Millis } | { kind: 'refuse'; refusal: IRefusal };

/** Decides whether a new request is admitted. */
export type DecideAdmission = (view: IAdmissionView) => AdmissionDecision;

/** Input of the admission decision. */
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

/** Input of the choice of a version. */
export interface IVersionView {
  request: IRequestEntry;
  service: IServiceEntry;
  /** Version that the session is pinned to. */
  pinnedVersion: string | undefined;
  /** Tells whether any endpoint that takes new work has the version. */
  hasEndpoint: (version: string) => boolean;
  /**
   * Hashes the request to a number from 0 (included) to 1 (excluded) for sampling, such as the share of a
   * rollout; each purpose gives an independent number. All hosts compute the same number for the requests of
   * a session, and for a request that is repeated with its idempotency key.
   */
  hashToFraction: (purpose: string) => number;
}

/** Chooses an endpoint among the candidates, or `undefined` to keep the request in the queue. */
export type ChooseEndpoint = (view: IEndpointView) => string | undefined;

/**
 * Length class of a request. Long work has its own queue lane and may use only part of the slots of an
 * endpoint.
 */
export type LengthClass = 'short' | 'long';

/** Finds the endpoint that a prompt prefix was last sent to, by version and hash of the prefix. */
export type FindPrefix = (version: string, hash: string) => Readonly<IPromptPrefixEntry> | undefined;

/** Input of the choice of an endpoint. */
export interface IEndpointView {
  request: IRequestEntry;
  /** Endpoints that accept new work and have the request's version, or belong to its plain service. */
  candidates: readonly Readonly<IEndpointEntry>[];
  lengthClass: LengthClass;
  findPrefix: FindPrefix;
  /** Availability zone of this host. */
  zone: string;
  now: Millis;
  /**
   * Receives the costs that the choice compares. Present if the choice is only a question, and no request is sent; the
   * choice then learns nothing.
   */
  onCosts?: (costs: readonly IChoiceCost[]) => void;
}

/** What the choice of an endpoint for a model expects of it. */
export interface IChoiceCost {
  endpoint: string;
  /** Time until the answer begins. */
  startMs: Millis;
  /** Part of `startMs` in which the prompt is read. */
  prefillMs: Millis;
  /** Value that the choice compares, before a random change of up to a tenth. */
  costMs: Millis;
}

/** A queued request with the values that determine its position in the queue. */
export interface IQueuedRequest {
  request: IRequestEntry;
  lengthClass: LengthClass;
  /** Expected completion tokens; 1 for plain services. */
  expectedTokens: number;
  /** Expected time from the start of the attempt to its end. */
  expectedMs: Millis;
  queuedAt: Millis;
  /** Rank among the requests of the account; the request with the lowest rank goes first. */
  rank: number;
  /** Start tag of the account in start-time fair queueing; the account with the lowest tag goes first. */
  startTag: number;
}

/**
 * Computes the rank of a request among those of its account. It is called once, when the request is queued.
 */
export type RankQueued = (item: Omit<IQueuedRequest, 'rank' | 'startTag'>) => number;

/** Compares the first requests of two accounts; a negative result means that `first` goes first. */
export type CompareHeads = (first: IQueuedRequest, second: IQueuedRequest, now: Millis) => number;

/** Order of a request queue: rank within an account, and comparison between accounts. */
export interface IQueueOrder {
  rankQueued: RankQueued;
  compareHeads: CompareHeads;
}

/** Decision on a request that is queued or about to be queued. */
export type QueueDecision =
  { kind: 'wait' } | { kind: 'refuse'; retryAfterMs: Millis; reason?: QueueRefusalReason };

/**
 * Why a request is refused instead of queued. Default `deadline`: it would not be answered before its deadline. With
 * `overload`, others that are more urgent would be answered late for it.
 */
export type QueueRefusalReason = 'deadline' | 'overload';

/** Decides whether a request can still meet its deadline. */
export type DecideQueued = (view: IQueueView) => QueueDecision;

/** Input of the decision on a queued request. */
export interface IQueueView {
  item: Omit<IQueuedRequest, 'rank' | 'startTag'>;
  /** Expected remaining time in the queue. */
  waitMs: Millis;
  now: Millis;
  /** How busy the endpoints are. Absent if that is not known, and for a request that has been queued or run. */
  pressure?: IQueuePressure | undefined;
  /** What accounts have lately asked of the service, by request class. Absent like `pressure`. */
  demand?: readonly IAccountDemand[] | undefined;
}

/** How busy the endpoints that a request may go to are. */
export interface IQueuePressure {
  /** Expected time until the first output, at the endpoint that begins first. */
  startMs: Millis;
  /** Expected time until the last output, by the streams in progress. Absent if there are none. */
  endMs?: Millis | undefined;
  /** How long the attempts that this host sent last have waited. Absent if it has sent none lately. */
  recentWaitMs?: Millis | undefined;
  /** Shortest target for the first output among the routes that share the endpoints. */
  shortestTargetMs: Millis;
}

/** Measures how busy the endpoints of a new request are; `undefined` if that is not known. */
export type MeasurePressure = (request: IRequestEntry) => IQueuePressure | undefined;

/**
 * Chooses another version for a request that its own version cannot serve, or not before its deadline;
 * `undefined` for none.
 */
export type ChooseSpilloverVersion = (view: ISpilloverView) => string | undefined;

/** Input of the choice of another version. */
export interface ISpilloverView {
  request: IRequestEntry;
  service: IServiceEntry;
  /** Tells whether a version has a healthy endpoint below its in-flight limit and no queued short work. */
  hasRoom: (version: string) => boolean;
}

/** Decides on the health of an endpoint from its measurements and those of its peers. */
export type DecideHealth = (view: IHealthView) => EndpointHealth;

/** Input of the decision on an endpoint's health. */
export interface IHealthView {
  endpoint: Readonly<IEndpointEntry>;
  /** Median time between tokens of the peers with the same versions; `undefined` if too few are measured. */
  peerTokenMs: number | undefined;
  /** Median time to first token of the same peers; `undefined` if too few are measured. */
  peerFirstTokenMs: number | undefined;
  /** Number of endpoints with the same versions that accept new work, this one included. */
  poolSize: number;
  /** How many of the peers are `suspect` or `probing`. */
  ejectedPeers: number;
  /** Whether an attempt that was planned while the endpoint was `probing` has just succeeded. */
  hasProbeSucceeded: boolean;
  /** Number of failed probes in a row. */
  failedProbes: number;
  now: Millis;
}

/** Computes an endpoint's in-flight limit when the first token of an attempt has arrived. */
export type AdaptLimit = (view: ILimitView) => number;

/** Input of the adaptation of an in-flight limit. */
export interface ILimitView {
  endpoint: Readonly<IEndpointEntry>;
  limit: number;
  firstTokenMs: Millis;
  /** Lowest recent smoothed time to first token among the endpoints of the same versions. */
  baseFirstTokenMs: Millis;
  /** Time since the limit was last lowered. */
  sinceDecreaseMs: Millis;
  /** Number of hosts that may send to the endpoint, this one included. */
  hostCount: number;
  now: Millis;
}

/** Decides how long to wait for output before a hedge is sent; `undefined` for no hedge. */
export type DecideHedge = (view: IHedgeView) => Millis | undefined;

/** Input of the decision on a hedge. */
export interface IHedgeView {
  request: IRequestEntry;
  attempt: IAttemptEntry;
  /** Recent times to first output in the pool, in ascending order. */
  firstTokenTimes: readonly Millis[];
}

/** Decides whether a request is retried after a failed attempt. */
export type DecideRetry = (view: IRetryView) => RetryDecision;

/** Input of the decision on a retry. */
export interface IRetryView {
  request: IRequestEntry;
  attempt: IAttemptEntry;
  error: IAttemptError;
  /** Whether the retry budget allows one more attempt. */
  hasBudget: boolean;
  now: Millis;
}

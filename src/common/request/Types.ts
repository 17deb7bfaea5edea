import type { Result } from 'true-myth';
import type {
  IAnswer,
  IAttemptEntry,
  IAttemptError,
  IEndpointEntry,
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
  { kind: 'chunk'; tokens: number; data: unknown } | { kind: 'report'; report: ILoadReport };

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

/** What the choice of an endpoint looks at. */
export interface IEndpointView {
  request: IRequestEntry;
  /** Endpoints that take new work and have the version, or belong to the plain service. */
  candidates: readonly Readonly<IEndpointEntry>[];
  /** Availability zone of this host. */
  zone: string;
  now: Millis;
}

/** Compares two queued requests; negative when the first goes first. */
export type CompareQueued = (first: IRequestEntry, second: IRequestEntry, now: Millis) => number;

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

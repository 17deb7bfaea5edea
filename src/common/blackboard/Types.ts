import type { IServiceDocument, IRolloutState } from '../config/Types.js';
import type { JournalEntry } from '../coordination/Types.js';
import type { GossipUpdate, HostState, UpdateUrgency } from '../coordination/Updates.js';
import type { RunCheck } from '../request/Types.js';
import type { Millis, Priority, Ran } from '../Types.js';
export type { HostState } from '../coordination/Updates.js';
export type { IFactEntry, IFeedEntry, IHostLimits, IRolloutEntry } from '../fleet/Types.js';
export type { IRoutingTable } from '../routes/Types.js';

/** State of a request on its way from the caller to the delivered and billed answer. */
export type RequestPhase =
  'received' | 'admitted' | 'claimed' | 'queued' | 'running' | 'answered' | 'billed' | 'refused';

/** Machine-readable reason of a refusal. The front end maps it to an HTTP status. */
export type RefusalCode =
  | 'invalid_request'
  | 'unknown_path'
  | 'method_not_allowed'
  | 'request_timeout'
  | 'body_too_large'
  | 'headers_too_large'
  | 'unknown_key'
  | 'unknown_service'
  | 'not_ready'
  | 'draining'
  | 'model_not_allowed'
  | 'version_withdrawn'
  | 'session_version_withdrawn'
  | 'rate_limited'
  | 'deadline_unreachable'
  | 'deadline_exceeded'
  | 'no_capacity'
  | 'store_unavailable'
  | 'idempotency_conflict'
  | 'already_running'
  | 'outcome_unknown'
  | 'request_crashes_endpoint'
  | 'endpoint_failed'
  | 'cancelled'
  | 'internal_error';

/** Why a request got no answer, and whether an endpoint ran it. */
export interface IRefusal {
  code: RefusalCode;
  message: string;
  ran: Ran;
  /** Present where waiting helps. */
  retryAfterMs?: Millis;
}

/** What the caller asks for, reduced to what decisions need. The body stays opaque to them. */
export type RequestTarget =
  | {
      kind: 'model';
      /** Model, version, or `auto`. */
      model: string;
      isStreaming: boolean;
      promptTokens: number;
      maxTokens: number;
      /** Hashes of growing prefixes of the prompt, shortest first, for cache affinity. */
      prefixHashes: readonly string[];
      body: unknown;
    }
  | {
      kind: 'plain';
      /** Name of the plain service. */
      plainService: string;
      method: string;
      path: string;
      contentType: string | undefined;
      body: Uint8Array | undefined;
      /** The call in the adapter's form, where method, path and body alone do not describe it. */
      call?: unknown;
    };

/** A request as the panels hold it. */
export interface IRequestEntry {
  id: string;
  phase: RequestPhase;
  service: string;
  account: string;
  /** Kind of request, as the caller labels it or as classified; quality is learned per kind. */
  kind: string;
  target: RequestTarget;
  isIdempotent: boolean;
  /** Key that the caller repeats a request with. */
  idempotencyKey: string | undefined;
  /** Hash of account and body; the same request sent again has the same fingerprint. */
  fingerprint: string;
  session: string | undefined;
  priority: Priority;
  receivedAt: Millis;
  deadlineAt: Millis;
  /** Version chosen for the next or current attempt. Plain services have none. */
  version: string | undefined;
  /** Attempt whose output goes to the caller. */
  winner: string | undefined;
  /** Number of attempts planned so far. */
  attemptCount: number;
  /** Ids of the attempts planned so far, oldest first. Absent before the first. */
  attemptIds?: readonly string[];
  /** Endpoints whose attempts for this request failed; a retry avoids them. */
  failedEndpoints?: readonly string[];
  /** Drafts rejected before an escalation, oldest first. */
  escalatedFrom: readonly IDraft[];
  /** How the version was chosen; absent for plain services and for requests of a pinned session. */
  plan?: IVersionPlan;
  /** Whether any attempt may have been run by an endpoint. */
  ran: Ran;
  /** Whether the caller has closed its connection. */
  isCallerGone: boolean;
  answer: IAnswer | undefined;
  refusal: IRefusal | undefined;
  /** Models that may answer, the smallest first; absent where the target names one. */
  models?: readonly string[];
  /** Route that the request came in by; absent where requests name their service. */
  route?: string;
  /** Most attempts that may be sent. Default: the retry policy's own limit. */
  maxAttempts?: number;
  /** Time within which the first output is wanted. */
  targetLatencyMs?: Millis;
  /** Longest pause between two outputs of a stream that is on time. */
  maxPauseMs?: Millis;
  /** Whether another attempt may continue a broken stream after its last event. */
  isResumable?: boolean;
  /** Id of the last event that the caller has; an attempt continues after it. */
  resumeAfter?: string;
  /** Whether an attempt failed after the caller had had a part of its answer. */
  isContinued?: boolean;
  /** Refusal that the caller gets at once while the attempt goes on, so that its outcome is recorded. */
  earlyRefusal?: IRefusal;
}

/** Tokens counted by the engine. */
export interface IUsage {
  promptTokens: number;
  completionTokens: number;
}

/** A draft that was not delivered. */
export interface IDraft {
  version: string;
  usage: IUsage;
}

/** Versions that a request runs on one after another until an answer is accepted. */
export interface IVersionPlan {
  /** First version, then the versions to escalate to. */
  steps: readonly [string, ...string[]];
  /** Whether the plan was chosen in order to learn its quality. */
  isExploration: boolean;
  /** Versions under rollout that the request could have been given; its outcome counts in their tests. */
  rollouts: readonly string[];
}

/** A complete answer before delivery. */
export type IAnswer =
  | {
      kind: 'model';
      version: string;
      usage: IUsage;
      content: unknown;
      /** Id of the last event of a stream whose events have ids. */
      lastEventId?: string;
    }
  | {
      kind: 'plain';
      status: number;
      contentType: string | undefined;
      body: Uint8Array;
      /** Head of the response in the adapter's form. */
      head?: unknown;
    }
  | { kind: 'stored'; status: number; contentType: string; body: string };

/** State of one call to an endpoint. */
export type AttemptPhase = 'planned' | 'sent' | 'streaming' | 'finished' | 'failed' | 'cancelled';

/** Why an attempt was made. */
export type AttemptRole = 'primary' | 'retry' | 'hedge' | 'escalation';

/** What went wrong with an attempt. */
export type AttemptErrorKind =
  | 'connect-failed'
  | 'refused'
  | 'overloaded'
  | 'leaving'
  | 'crashed'
  | 'failed'
  | 'silent'
  | 'malformed'
  | 'timed-out'
  | 'rejected'
  | 'cancelled';

/** A failed attempt: the kind decides on retry, `ran` on whether a repeat is safe. */
export interface IAttemptError {
  kind: AttemptErrorKind;
  message: string;
  ran: Ran;
  /** Id of the last whole event that was handed over before the failure. */
  lastEventId?: string;
  /** The endpoint's own failure response, which the caller gets when no other attempt follows. */
  answer?: IAnswer;
}

/** One call to an endpoint on behalf of a request. */
export interface IAttemptEntry {
  id: string;
  phase: AttemptPhase;
  role: AttemptRole;
  request: string;
  endpoint: string;
  version: string | undefined;
  plannedAt: Millis;
  /** Completion tokens that routing expects; counted into the endpoint's `inFlightTokens`. */
  expectedTokens?: number;
  /** Whether the attempt counts into the endpoint's `longInFlight`. */
  isLong?: boolean;
  firstTokenAt: Millis | undefined;
  endedAt: Millis | undefined;
  tokens: number;
  /** The model's own opinion of its answer, 0 to 1, known when the response begins. */
  confidence?: number;
  /** Whether its answer was dropped when it began, for a larger model's. */
  isRejected?: boolean;
  /** What the endpoint said of the attempt when it was last asked for it. */
  check?: { result: RunCheck; silentMs: Millis };
  answer: IAnswer | undefined;
  error: IAttemptError | undefined;
}

/** Health of an endpoint as this host sees it. */
export type EndpointHealth = 'healthy' | 'suspect' | 'probing' | 'leaving' | 'gone';

/** Load report of an endpoint; it is late by an unknown lag. */
export interface ILoadReport {
  running: number;
  waiting: number;
  /** Share of the KV cache in use, 0 to 1. */
  cacheUse: number;
  versions: readonly string[];
  isLeaving: boolean;
  /** How long work takes relative to the usual; absent where the endpoint does not tell. */
  slowness?: number;
  receivedAt: Millis;
}

/** An endpoint: a model engine or a plain service instance. */
export interface IEndpointEntry {
  id: string;
  kind: 'engine' | 'plain';
  /** Service that may use this endpoint: the service document's name or the plain service's name. */
  service: string;
  address: string;
  zone: string;
  health: EndpointHealth;
  healthChangedAt: Millis;
  /** Versions loaded, from the host list or the last report. */
  versions: readonly string[];
  inFlight: number;
  /** Sum of expected tokens of this host's attempts in flight. */
  inFlightTokens: number;
  /** Smoothed time to first token, in milliseconds. */
  firstTokenMs: number | undefined;
  /** Smoothed time between tokens, in milliseconds. */
  tokenMs: number | undefined;
  consecutiveFailures: number;
  /** Attempts of this host that may be in flight at once; adapted from latency and reports. */
  inFlightLimit?: number;
  /** Attempts in flight whose expected length is far above the usual. */
  longInFlight?: number;
  /** Recent time between tokens of the streams in flight, also of those that stand still. */
  paceMs?: number | undefined;
  /** Time of streams that `paceMs` rests on. */
  streamMs?: Millis;
  /** Age of the oldest attempt in flight that has no output. */
  firstTokenWaitMs?: number | undefined;
  /** Attempt that tests the endpoint while it is `probing`. */
  probe?: string | undefined;
  report: ILoadReport | undefined;
  /** Whether the engine rejects orders with an old fencing token. */
  checksFencing: boolean;
  /** Software version of the endpoint's process; a rollout replaces it. */
  release?: string;
  /** Requests that the endpoint runs at once. */
  slots?: number;
  /** Start of the endpoint as the host list gives it; grows with each start. Default 0. */
  incarnation?: number;
}

/** A service as configured by its document. */
export interface IServiceEntry {
  name: string;
  document: IServiceDocument;
  /** Version number of the configuration index that this entry comes from. */
  revision: number;
  /** State of each version under roll-out, by version. */
  rollouts: Readonly<Record<string, IRolloutState>>;
}

/** An entry host as this host knows it. */
export interface IHostEntry {
  id: string;
  /** Address of the peer port, `ip:port`. */
  address: string;
  zone: string;
  state: HostState;
  /** Raised by the host itself to refute a suspicion; higher wins. */
  incarnation: number;
  changedAt: Millis;
  /** Configuration revision that the host told last. */
  revision?: number;
  /** Set when this host decided the state while it was cut off, and so did not publish it. */
  isOwnVerdict?: boolean;
}

/** An entry host in the platform's list, which lags. */
export interface IListedHost {
  id: string;
  /** Address of the peer port, `ip:port`. */
  address: string;
  zone: string;
  state: 'live' | 'leaving';
}

/** An update on its way to the other hosts. */
export interface IUpdateEntry {
  update: GossipUpdate;
  /** Whether this host or a peer observed the change. */
  origin: 'own' | 'peer';
  urgency: UpdateUrgency;
  /** Messages that have carried the update. */
  sends: number;
  changedAt: Millis;
}

/** When this host last had an answer from the store, or a message or an answer from a peer. */
export interface IContactEntry {
  at: Millis;
}

/** Phases of the host process, in this order. */
export type LifecyclePhase = 'serving' | 'leaving' | 'closing' | 'finishing' | 'stopped';

/** State of the host process. */
export interface ILifecycleEntry {
  phase: LifecyclePhase;
  changedAt: Millis;
}

/** A whole configuration in its encoded form: the index and every document that it names. */
export interface IConfigurationEntry {
  /** Store version of the index. */
  revision: number;
  index: string;
  /** Documents by store key. */
  records: Readonly<Record<string, string>>;
  from: 'store' | 'peer';
}

/** Use of a client account's limits on this host. */
export interface IAccountEntry {
  service: string;
  account: string;
  inFlight: number;
  /** Requests per second that this host may admit for the account. */
  leasedRate: number;
  leasedUntil: Millis;
  /** Smoothed requests per second offered at this host. */
  demand: number;
}

/** Ownership of a journal partition by this host. */
export type PartitionPhase = 'unowned' | 'loading' | 'owned' | 'fenced';

/** A journal partition as this host knows it. */
export interface IPartitionEntry {
  partition: number;
  phase: PartitionPhase;
  /** Host that owns the partition as far as known. */
  owner: string | undefined;
  epoch: number;
  nextSequence: number;
}

/** Version that a session is pinned to. */
export interface ISessionEntry {
  key: string;
  version: string;
  pinnedAt: Millis;
  /** Whether the pin is in the journal. */
  isDurable: boolean;
}

/** Trial state of a request that was in flight at a crashed endpoint. */
export type SuspectState = 'suspected' | 'on-trial' | 'cleared' | 'blocked';

/** Evidence that a request crashes endpoints. */
export interface ISuspectEntry {
  fingerprint: string;
  state: SuspectState;
  crashes: number;
  /** Endpoints that crashed while running it. */
  endpoints: readonly string[];
  changedAt: Millis;
}

/** Where prompts with a prefix were sent lately; the engine may have evicted it since. */
export interface IPrefixEntry {
  /** Version and hash of the prefix. */
  key: string;
  endpoint: string;
  sentAt: Millis;
}

/** What finished work tells about work to come, for a pool of endpoints or a client account. */
export interface IWorkEstimate {
  key: string;
  /** Usual completion tokens; unusually long work counts only up to a bound. */
  tokens: number;
  /** Share of `maxTokens` that completions use, 0 to 1. */
  limitUse: number;
  firstTokenMs: Millis;
  tokenMs: Millis;
  /** Time from the start to the end of short and of long work. */
  shortMs: Millis;
  longMs: Millis | undefined;
}

/**
 * Observed quality. For the choice of a version, `kind` is a kind of request and `version` is a way: the
 * versions tried so far, joined by '>'. Ratings are of the last one's answers, delivered or not. For a
 * rollout, `kind` is `rollout:` and the new version, and `version` is the new version or the one that it is
 * compared with.
 */
export interface IQualityEntry {
  service: string;
  kind: string;
  version: string;
  good: number;
  bad: number;
  /** Attempts that failed for a reason that may lie in the version. */
  errors: number;
  finished: number;
  /** Finished attempts slower than twice the smoothed latency of the stable version. */
  slow: number;
  draftsAccepted: number;
  draftsRejected: number;
  /** Ratings of accepted drafts, which `good` and `bad` count as well. */
  acceptedGood: number;
  acceptedBad: number;
  /** Smoothed time of an attempt per token, in milliseconds; 0 before the first. */
  latencyMs: number;
}

/** State of a bill that the journal could not take: being copied to peers, or waiting for the store. */
export type HeldBillPhase = 'copying' | 'held';

/** Whether this host served the request or keeps a copy for the host that did. */
export type HeldBillRole = 'origin' | 'copy';

/** A peer that confirmed a copy. A restarted peer has a higher incarnation and no copies. */
export interface IBillCopy {
  host: string;
  incarnation: number;
}

/** Journal entries of an answered request that wait for the store. */
export interface IHeldBillEntry {
  id: string;
  phase: HeldBillPhase;
  role: HeldBillRole;
  /** Host that served the request. */
  origin: string;
  key: string;
  entries: readonly JournalEntry[];
  /** Peers that confirmed a copy; empty for a copy. */
  copies: readonly IBillCopy[];
  heldAt: Millis;
}

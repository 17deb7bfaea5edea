import type { IServiceDocument, IRolloutState } from '../config/Types.js';
import type { JournalEntry } from '../coordination/Types.js';
import type { GossipUpdate, HostState, UpdateUrgency } from '../coordination/Updates.js';
import type { AfterEnd, DoubtReason, EndMark, EventSteps, RunCheckResult } from '../request/Types.js';
import type { Millis, Priority, RanStatus } from '../Types.js';
export type { HostState } from '../coordination/Updates.js';
export type {
  ICrashEntry,
  IEvacuatedZone,
  IFactEntry,
  IStoreConnectionEntry,
  IHostLimits,
  IHostPresence,
  IPromptBlockEntry,
  IRolloutEntry,
  IRolloutEvidence,
  ISessionHoldsEntry,
  IUnmarkedEnds,
} from '../fleet/Types.js';
export type { IRoutingTable } from '../routes/Types.js';

/**
 * State of a request, in this order:
 * - `received`: parsed, and not yet admitted;
 * - `admitted`: allowed to run;
 * - `claimed`: recorded in the journal, so that it cannot run twice. Idempotent requests need no record;
 * - `queued`: waits for an endpoint. A request that is retried or escalated returns to this state;
 * - `running`: an attempt is planned or in progress;
 * - `answered`: its answer is complete;
 * - `billed`: its bill is durable, and the end of its answer may be delivered.
 *
 * `refused` ends a request without an answer.
 */
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
  ran: RanStatus;
  /** Time after which a repeat of the request may succeed. Absent if waiting does not help. */
  retryAfterMs?: Millis;
}

/**
 * What the caller asks for: the properties that routing decisions use, and the body, which only the adapter
 * that calls the endpoint reads.
 */
export type RequestTarget =
  | {
      kind: 'model';
      /** Name of a model or of a version, or `auto` to let the router choose. */
      model: string;
      isStreaming: boolean;
      promptTokens: number;
      maxTokens: number;
      /** Largest number of tokens that the caller named; an answer with more is malformed. Absent if it named none. */
      tokenLimit?: number;
      /**
       * Identifiers of the prompt's prefixes, shortest first. Requests with a common prefix are sent to the
       * same endpoint, which has it in its cache.
       */
      prefixHashes: readonly string[];
      /** Number of prompt tokens up to the end of each of those prefixes. Absent if the front end does not know it. */
      prefixTokens?: readonly number[];
      /**
       * Ids of those parts of the prompt that other requests can share. The last part of a prompt belongs to one
       * request or session and is not listed. Absent if the front end does not know the parts.
       */
      sharedParts?: readonly string[];
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
      /**
       * The call as the adapter represents it. Present if the adapter needs more than method, path and body.
       */
      call?: unknown;
    };

/** A request that this host is serving. */
export interface IRequestEntry {
  id: string;
  phase: RequestPhase;
  service: string;
  account: string;
  /** The caller's label, the route, or a classification by the host. Answer quality is learned per kind. */
  kind: string;
  target: RequestTarget;
  isIdempotent: boolean;
  /** Key that the caller sends again when it repeats the request, so that the request runs once. */
  idempotencyKey: string | undefined;
  /** Hash of account, method, path and body. A request that is sent again has the same fingerprint. */
  fingerprint: string;
  session: string | undefined;
  priority: Priority;
  receivedAt: Millis;
  deadlineAt: Millis;
  /** Version chosen for the next or current attempt. Plain services have none. */
  version: string | undefined;
  /** Id of the attempt whose output is delivered to the caller. */
  winningAttempt: string | undefined;
  /** Number of attempts planned so far. */
  attemptCount: number;
  /** Ids of the attempts planned so far, oldest first. Absent before the first attempt. */
  attemptIds?: readonly string[];
  /** Ids of endpoints at which attempts of this request failed. A retry avoids them if it can. */
  failedEndpoints?: readonly string[];
  /**
   * Answers of smaller models that were rejected, each before an escalation to the next model. Oldest first.
   */
  escalatedFrom: readonly IDraft[];
  /**
   * Versions to run on, in order. Absent for plain services, and for requests of sessions pinned to a
   * version.
   */
  plan?: IVersionPlan;
  /** Whether an endpoint has run any attempt of the request. */
  ran: RanStatus;
  /** Whether the caller has closed its connection. */
  isCallerGone: boolean;
  answer: IAnswer | undefined;
  refusal: IRefusal | undefined;
  /** Models that may answer, smallest first. Absent if the target names the model. */
  models?: readonly string[];
  /** Name of the route that matched the request. Absent if requests name their service directly. */
  route?: string;
  /** Largest number of attempts, the first one included. Default: the limit of the retry policy. */
  maxAttempts?: number;
  /** Time that a caller has when it sends the request for the first time. Absent if the route sets none. */
  fullTimeMs?: Millis;
  /** Target for the time until the first output. */
  targetLatencyMs?: Millis;
  /** Longest pause between two events with which a stream still counts as on time. */
  maxPauseMs?: Millis;
  /** Whether another attempt may continue a broken stream after the last delivered event. Default false. */
  isResumable?: boolean;
  /** Id of the last event that the caller has received. The next attempt continues the stream after it. */
  resumeAfter?: string;
  /** Whether an attempt failed after a part of its answer had been delivered to the caller. */
  hasPartialDelivery?: boolean;
  /** Event after which an endpoint ended its stream without a mark, until another one has sent more or has agreed. */
  claimedEnd?: { endpoint: string; lastEventId: string | undefined };
  /** How the ids of the events have risen that the caller has received. Default `unknown`. */
  eventSteps?: EventSteps;
  /** Event after which an endpoint went on with `nextEventId`, leaving out numbers; empty if that event had no id. */
  claimedGap?: { endpoint: string; lastEventId: string; nextEventId: string };
  /**
   * Refusal that was sent to the caller at the deadline of a non-idempotent request. Its attempt is not
   * cancelled, so that the outcome of the run is still recorded.
   */
  earlyRefusal?: IRefusal;
}

/** Token counts that the engine reported. */
export interface IUsage {
  promptTokens: number;
  completionTokens: number;
}

/** A rejected answer, which was not delivered. Its tokens may be billed. */
export interface IDraft {
  version: string;
  usage: IUsage;
}

/** Versions that a request runs on, one after another, until an answer is accepted. */
export interface IVersionPlan {
  /** The first version, followed by the versions to escalate to. */
  steps: readonly [string, ...string[]];
  /**
   * Whether the plan was chosen in order to measure its quality, not because it is expected to be the best.
   */
  isExploration: boolean;
  /**
   * Versions under rollout for which the request is eligible, whether or not it was given one of them. Its
   * outcome counts in their comparisons with the stable version.
   */
  eligibleRollouts: readonly string[];
}

/** A complete answer. `stored` is the encoded answer of an earlier request with the same idempotency key. */
export type IAnswer =
  | {
      kind: 'model';
      version: string;
      usage: IUsage;
      content: unknown;
      /** Id of the last event of the stream. Absent if events have no ids. */
      lastEventId?: string;
      /** How the ids of its events have risen. */
      eventSteps?: EventSteps;
    }
  | {
      kind: 'plain';
      status: number;
      contentType: string | undefined;
      body: Uint8Array;
      /** Status and headers of the response, as the adapter represents them. */
      head?: unknown;
      /** Whether its status tells the caller that the call has not run, which the endpoint has not said. Default false. */
      deniesRun?: boolean;
    }
  | { kind: 'stored'; status: number; contentType: string; body: string };

/**
 * State of an attempt. `sent` lasts until the first output, `streaming` until the last. `doubted` lasts until it
 * is decided whether an answer is complete whose end is in doubt.
 */
export type AttemptPhase = 'planned' | 'sent' | 'streaming' | 'doubted' | 'finished' | 'failed' | 'cancelled';

/**
 * Why an attempt was made. A `hedge` runs in parallel to an attempt that is slow to answer, and an
 * `escalation` follows a rejected answer of another model.
 */
export type AttemptRole = 'primary' | 'retry' | 'hedge' | 'escalation';

/**
 * What went wrong with an attempt:
 * - `connect-failed`: no connection could be opened, so nothing was sent;
 * - `refused`, `overloaded`, `leaving`: the attempt was turned away before it ran, the last two because the
 *   endpoint has no capacity or is shutting down;
 * - `crashed`: the connection broke after the attempt was sent;
 * - `failed`: a plain service answered with a status of 500 or above;
 * - `silent`: the endpoint sent no output for too long;
 * - `malformed`: the response was invalid;
 * - `timed-out`: the attempt exceeded a time limit;
 * - `rejected`: the endpoint found the request invalid;
 * - `unconfirmed`: the answer has ended, and another endpoint has to confirm that it is complete;
 * - `evacuated`: the zone of the endpoint was evacuated before anything was sent;
 * - `cancelled`: the router stopped the attempt.
 */
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
  | 'unconfirmed'
  | 'evacuated'
  | 'cancelled';

/**
 * Error of a failed attempt. `kind` determines whether a retry can help, and `ran` whether a non-idempotent
 * request may be repeated.
 */
export interface IAttemptError {
  kind: AttemptErrorKind;
  message: string;
  ran: RanStatus;
  /** Id of the last complete event that was delivered before the failure. */
  lastEventId?: string;
  /** How the ids have risen up to that event. */
  eventSteps?: EventSteps;
  /** Id of the event that followed it, empty if it had none, if that shows that others between them may be missing. */
  nextEventId?: string;
  /**
   * Error response of the endpoint. It is delivered to the caller if no other attempt follows, unless it denies that a call
   * has run that is not idempotent.
   */
  answer?: IAnswer;
}

/** One call to an endpoint on behalf of a request. `request` and `endpoint` are ids. */
export interface IAttemptEntry {
  id: string;
  phase: AttemptPhase;
  role: AttemptRole;
  request: string;
  endpoint: string;
  version: string | undefined;
  plannedAt: Millis;
  /** Expected number of completion tokens. Counted in the endpoint's `inFlightTokens`. */
  expectedTokens?: number;
  /** Whether the attempt is long work, which is counted in the endpoint's `longInFlight`. */
  isLong?: boolean;
  firstTokenAt: Millis | undefined;
  endedAt: Millis | undefined;
  /** Number of tokens received. Written when the attempt ends. */
  tokens: number;
  /** Time between two tokens, measured once at the beginning of the output. */
  paceMs?: Millis;
  /** The model's confidence in its answer, 0 to 1. Known when the response begins. */
  confidence?: number;
  /**
   * Whether the answer was rejected when its response began, because of low confidence. The request then runs
   * on the next model.
   */
  isAnswerDiscarded?: boolean;
  /**
   * Result of the last query to the endpoint about the state of the run, sent because the attempt had shown
   * no output for `silentMs`.
   */
  lastRunCheck?: { result: RunCheckResult; silentMs: Millis };
  /** Process of the endpoint that the attempt is sent to, as in its entry. */
  incarnation?: number | undefined;
  /** What marked the end of the response. Absent while it has not ended, and if it broke off. */
  endMark?: EndMark;
  /** What followed the marked end. Absent like `endMark`, and if it is not known. */
  afterEnd?: AfterEnd;
  /** Why it is in doubt whether the answer is complete. Absent if it is not. */
  doubt?: DoubtReason;
  /** Whether the error response of the endpoint was kept from the caller because it denies that the call has run. */
  isAnswerWithheld?: boolean;
  /** How long the end was held back because nothing showed that it is complete. Absent if it was not. */
  endHeldMs?: Millis;
  answer: IAnswer | undefined;
  error: IAttemptError | undefined;
}

/**
 * Health of an endpoint as this host sees it. A `suspect` endpoint gets no new attempts, a `probing` one gets
 * one attempt at a time to test whether it has recovered. A `leaving` endpoint finishes its attempts and gets
 * no new ones. A `gone` endpoint is no longer listed.
 */
export type EndpointHealth = 'healthy' | 'suspect' | 'probing' | 'leaving' | 'gone';

/** Load report of an endpoint. It describes an earlier state; its delay is unknown. */
export interface ILoadReport {
  /** Requests that the endpoint is running, from all hosts. */
  running: number;
  /** Requests that wait at the endpoint, from all hosts. */
  waiting: number;
  /** Share of the KV cache in use, 0 to 1. */
  cacheUse: number;
  /** Versions that the endpoint has loaded. */
  versions: readonly string[];
  /** Whether the endpoint is shutting down and takes no new attempts. */
  isLeaving: boolean;
  /**
   * Time that the endpoint takes for its work, relative to the usual time. Absent if it does not report one.
   */
  slowness?: number;
  receivedAt: Millis;
}

/** Speed of an endpoint in the long run, as it has reported it to this host. */
export interface IEndpointSpeed {
  /** Time that it takes for its work, relative to the usual time. Less than 1 if it is faster than usual. */
  slowness: number;
  /** Number of reports that it was learned from. */
  reports: number;
  heardAt: Millis;
}

/** How this host knows of the limit on an endpoint's rate: by an `answer` to it, or `shared` by another host. */
export type RateLimitSource = 'answer' | 'shared';

/** An endpoint: a model engine or an instance of a plain service. */
export interface IEndpointEntry {
  id: string;
  kind: 'engine' | 'plain';
  /** Name of the service whose requests the endpoint serves. */
  service: string;
  address: string;
  zone: string;
  health: EndpointHealth;
  healthChangedAt: Millis;
  /** Versions that the endpoint has loaded, according to the host list or its last load report. */
  versions: readonly string[];
  /** Number of this host's attempts in flight. */
  inFlight: number;
  /** Sum of the expected completion tokens of this host's attempts in flight. */
  inFlightTokens: number;
  /** Smoothed time to the first token. */
  firstTokenMs: number | undefined;
  /** Smoothed time between two tokens, measured on attempts that have ended. */
  tokenMs: number | undefined;
  /** Attempts that failed in a row. */
  consecutiveFailures: number;
  /** Limit on this host's attempts in flight. Adapted to latency, load reports and refusals. */
  inFlightLimit?: number;
  /** Number of this host's attempts in flight that are long work. */
  longInFlight?: number;
  /** Recent time between two tokens of the streams in flight. Streams that have stalled are included. */
  recentTokenMs?: number | undefined;
  /** Total duration of the stream output that `recentTokenMs` was measured on. Older output counts less. */
  recentStreamMs?: Millis;
  /** How long the oldest attempt in flight without output has waited for its first token. */
  firstTokenWaitMs?: number | undefined;
  /** Id of the attempt in flight that tests the endpoint while its health is `probing`. */
  probeAttempt?: string | undefined;
  report: ILoadReport | undefined;
  /** Absent before the endpoint has reported another speed than the usual one. */
  speed?: IEndpointSpeed;
  /** Whether the engine rejects placement orders with an outdated fencing token. */
  checksFencing: boolean;
  /** Software release of the endpoint's process. A rollout moves a service to another release. */
  release?: string;
  /** Number of requests that the endpoint can run at the same time. */
  slots?: number;
  /** Time until which the endpoint is cold, as far as this host knows. */
  warmAt?: Millis;
  /** Limits this host's requests while the endpoint is cold or has just become usable. Absent without such a limit. */
  coldPace?: IColdPace | undefined;
  /** When this host last planned a request to the endpoint's process. Absent if it never did. */
  lastAttemptAt?: Millis;
  /**
   * Requests a second that the endpoint takes from all hosts together, as it last said. Absent if it sets no limit.
   */
  maxRequestsPerS?: number | undefined;
  /** How this host knows of the limit or of its end. Absent before it has heard of any. */
  rateLimitSource?: RateLimitSource | undefined;
  /** When a response to this host last named that limit, or ended it. */
  rateLimitHeardAt?: Millis | undefined;
  /**
   * Least time between two requests of this host to an endpoint that limits its rate; `Infinity` if other hosts use the
   * rate. Absent without a limit.
   */
  attemptIntervalMs?: Millis | undefined;
  /** Time until which this host sends the endpoint nothing, because of its limit. Absent while it may send. */
  nextAttemptAt?: Millis | undefined;
  /** When `nextAttemptAt` was reached last. A request that comes later shortens the wait after it. */
  attemptDueAt?: Millis | undefined;
  /** Time until which the endpoint wants nothing from this host, as it said. Absent while it takes work. */
  pausedUntil?: Millis | undefined;
  /**
   * Refusals for want of room in a second that the endpoint bears from all hosts together before it crashes, as it says in
   * its responses. Absent while it names no such limit.
   */
  maxRefusalsPerS?: number | undefined;
  /** When the endpoint last refused an attempt of this host for want of room. Absent if it never did. */
  refusedAt?: Millis;
  /** Whether a stream of the endpoint has begun whose end is marked by other means than its connection. Default false. */
  marksStreamEnds?: boolean;
  /** Number of streams that the endpoint has begun without such a mark, counted up to a few. Default 0. */
  unmarkedStreams?: number;
  /** Whether the ids of a stream of the endpoint have risen by one. Default false. */
  hasSingleSteps?: boolean;
  /** Number of streams of the endpoint whose ids have left out numbers, counted up to a few. Default 0. */
  unevenStreams?: number;
  /** When the endpoint last ended an answer to this host. Absent if it never did. */
  answeredAt?: Millis;
  /** When the endpoint last sent this host an answer that was malformed or broke off. Absent if it never did. */
  spoiltAt?: Millis;
  /** Whether the endpoint has said in a response that it is leaving. It may not have announced it. */
  hasSaidLeaving?: boolean;
  /** Whether the endpoint's zone is evacuated, so that it gets no new work. Default false. */
  isEvacuated?: boolean;
  /** Identifies the start of the endpoint's process; a later start has a higher number. Default 0. */
  incarnation?: number;
}

/** How plain answers of a route have ended at the endpoints of one release of a service. */
export interface IPlainEndEntry {
  service: string;
  release: string;
  route: string;
  /** Whether the head of an answer has announced a length or chunks. */
  hasMark: boolean;
  /** Number of answers without either, counted up to a few, by endpoint. */
  unmarkedAnswers: Readonly<Record<string, number>>;
}

/**
 * Why this host holds back requests to an endpoint. `evacuated`: it gets none, and will be cold afterwards. `cold`: all
 * hosts together keep to a bound. `settling`: it has just become usable, and every host sees it idle.
 */
export type ColdPhase = 'evacuated' | 'cold' | 'settling';

/**
 * How a host gets its turns to send to an endpoint that is cold or settling. `drawn`: at random times, and a turn lapses
 * if no request is waiting.
 */
export type ColdTurns = 'none' | 'fixed' | 'drawn';

/** Pace of this host's requests to an endpoint that is cold or settling. It counts beside a limit on the rate. */
export interface IColdPace {
  phase: ColdPhase;
  turns: ColdTurns;
  /** Least time between two requests; the mean time between turns if they are drawn. */
  intervalMs: Millis;
  /** Time of the next turn; `Infinity` if there is none. Absent while a request may be sent. */
  nextAt: Millis | undefined;
  /** When the phase ends. Absent if that is not known. */
  endsAt: Millis | undefined;
}

/** A service and its configuration. */
export interface IServiceEntry {
  name: string;
  document: IServiceDocument;
  /** Revision of the configuration index that the entry was built from. */
  revision: number;
  /** State of the rollouts, by version. */
  rollouts: Readonly<Record<string, IRolloutState>>;
}

/** A host of the cluster, in this host's view of the membership. */
export interface IHostEntry {
  id: string;
  /** Address of the peer port, `ip:port`. */
  address: string;
  zone: string;
  state: HostState;
  /**
   * Number that only the host itself raises, when it starts and to refute a suspicion. A state with a higher
   * incarnation replaces one with a lower.
   */
  incarnation: number;
  changedAt: Millis;
  /** Configuration revision that the host reported last. */
  revision?: number;
  /**
   * Whether this host decided on the state while it was cut off from the cluster. Such a state is not
   * published, and it is withdrawn when contact is restored.
   */
  isDecidedWhileCutOff?: boolean;
}

/** A host in the platform's host list. The list may be outdated. */
export interface IListedHost {
  id: string;
  /** Address of the peer port, `ip:port`. */
  address: string;
  zone: string;
  state: 'live' | 'leaving';
}

/** A gossip update that this host passes on to the other hosts. */
export interface IGossipUpdateEntry {
  update: GossipUpdate;
  /** Whether the update came from this host or from a peer. */
  origin: 'own' | 'peer';
  urgency: UpdateUrgency;
  /** Number of messages in which the update has been sent. */
  sendCount: number;
  changedAt: Millis;
}

/** When this host last heard from the store, or from any peer. */
export interface IContactEntry {
  at: Millis;
}

/**
 * Phases of the host process, in this order. A `leaving` host is not ready any more but still accepts
 * requests, until the load balancer has noticed. A `closing` host accepts none and waits for open responses.
 * A `finishing` host closes its remaining parts, such as the journal, the leases and the peer server.
 */
export type LifecyclePhase = 'serving' | 'leaving' | 'closing' | 'finishing' | 'stopped';

/** State of the host process. */
export interface ILifecycleEntry {
  phase: LifecyclePhase;
  changedAt: Millis;
}

/** A complete configuration in encoded form: the index, and every document that the index refers to. */
export interface IConfigurationEntry {
  /** Store revision of the index. */
  revision: number;
  index: string;
  /** Documents by store key. */
  records: Readonly<Record<string, string>>;
  /** Whether the configuration was read from the store or fetched from a peer. */
  from: 'store' | 'peer';
}

/**
 * Use of a client account's limits on this host. The account's rate limit is divided among the hosts by
 * leases.
 */
export interface IAccountEntry {
  service: string;
  account: string;
  inFlight: number;
  /** Requests per second that the lease allows this host to admit for the account. */
  leasedRate: number;
  leasedUntil: Millis;
  /** Smoothed rate at which this host receives requests of the account, in requests per second. */
  demand: number;
}

/**
 * Ownership of a journal partition by this host. `loading`: the host reads the partition before it takes
 * ownership. `fenced`: another host has taken ownership, so the store rejects this host's writes.
 */
export type PartitionPhase = 'unowned' | 'loading' | 'owned' | 'fenced';

/** A journal partition as this host knows it. */
export interface IPartitionEntry {
  partition: number;
  phase: PartitionPhase;
  /** Id of the host that owns the partition; `undefined` if unknown or none. */
  owner: string | undefined;
  /** Raised each time a host takes ownership. */
  epoch: number;
  /** Sequence number of the next journal entry. */
  nextSequence: number;
}

/** Version, or release of the service, that a session is pinned to. */
export interface ISessionEntry {
  key: string;
  version: string;
  pinnedAt: Millis;
  /** Whether the pin is stored in the journal, where other hosts find it. */
  isDurable: boolean;
}

/**
 * State of a request that was in flight at an endpoint when the endpoint crashed. A `suspected` request may
 * have caused the crash. An `on-trial` request is running as the only suspect at its endpoint, which shows
 * whether it crashes the endpoint. A `cleared` request has been answered since. A `blocked` request is
 * refused.
 */
export type CrashSuspectState = 'suspected' | 'on-trial' | 'cleared' | 'blocked';

/** A request that may have crashed endpoints, identified by its fingerprint. */
export interface ICrashSuspectEntry {
  fingerprint: string;
  state: CrashSuspectState;
  /** Number of crashes at which the request was in flight. */
  crashes: number;
  /**
   * Endpoints that crashed while the request was in flight, each as its id, or as its id and incarnation
   * joined by '@'.
   */
  endpoints: readonly string[];
  changedAt: Millis;
}

/** Endpoint to which the last prompt with a prefix was sent. Its cache may have evicted the prefix since. */
export interface IPromptPrefixEntry {
  /** Consists of the version and the hash of the prefix, because versions do not share caches. */
  key: string;
  endpoint: string;
  sentAt: Millis;
}

/**
 * Smoothed measurements of finished attempts, which predict later ones. Kept per endpoint pool and per
 * account.
 */
export interface IWorkEstimate {
  key: string;
  /** Number of completion tokens. A sample far above the average is capped. */
  tokens: number;
  /** Share of the request's `maxTokens` that completions use, 0 to 1. */
  maxTokensShare: number;
  /** Time from the planning of an attempt to its first token. */
  firstTokenMs: Millis;
  /** Time between two tokens. */
  tokenMs: Millis;
  /** Duration of attempts that are short work; 0 before the first. */
  shortDurationMs: Millis;
  /** Duration of attempts that are long work; `undefined` before the first. */
  longDurationMs: Millis | undefined;
}

/** How often a model has been confident in its answers to requests of a service and size. Older answers count less. */
export interface IModelConfidenceEntry {
  key: string;
  /** Number of answers. */
  answers: number;
  /** Number of those in which the model was confident. */
  confident: number;
}

/**
 * Observed quality, for one of two purposes. For the choice of a version, `kind` is a kind of request, and
 * `version` lists the versions that ran one after another, joined by '>'. The ratings are those of the last
 * version's answers, whether delivered or not. For a rollout, `kind` is `rollout:` followed by the new
 * version, and `version` is either the new version or the one that it is compared with.
 */
export interface IQualityEntry {
  service: string;
  kind: string;
  version: string;
  /** Number of good ratings. Old ratings may count less than one, as with all ratings here. */
  good: number;
  /** Number of bad ratings. */
  bad: number;
  /** Number of failures that the version may have caused. */
  errors: number;
  /** Number of finished attempts. */
  finished: number;
  /** Number of finished attempts that took more than twice the stable version's smoothed time per token. */
  slow: number;
  /** Number of answers that passed the check before a possible escalation. */
  draftsAccepted: number;
  /** Number of answers that failed the check and led to an escalation. */
  draftsRejected: number;
  /** Ratings of accepted drafts. They are counted in `good` and `bad` as well. */
  acceptedGood: number;
  acceptedBad: number;
  /** Smoothed duration of attempts per token; 0 before the first attempt. */
  latencyMs: number;
}

/**
 * State of a bill that could not be appended to the journal. While it is `copying`, copies are sent to peers
 * and the answer waits. Once it is `held`, the answer may leave, and the bill waits for the store.
 */
export type HeldBillPhase = 'copying' | 'held';

/** `origin`: this host served the request. `copy`: it keeps a copy for the host that did. */
export type HeldBillRole = 'origin' | 'copy';

/** A peer that confirmed a copy. If the peer restarts, its incarnation rises and the copy is lost. */
export interface IBillCopy {
  host: string;
  incarnation: number;
}

/** Journal entries of a request that wait until the store is available. */
export interface IHeldBillEntry {
  id: string;
  phase: HeldBillPhase;
  role: HeldBillRole;
  /** Id of the host that served the request. */
  origin: string;
  /** Journal key that the entries are appended under. */
  key: string;
  entries: readonly JournalEntry[];
  /** Peers that confirmed a copy. Empty if the role is `copy`. */
  copies: readonly IBillCopy[];
  heldAt: Millis;
}

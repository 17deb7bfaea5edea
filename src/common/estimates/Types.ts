import type { Millis, Priority } from '../Types.js';

/**
 * What this host knows of the prompts that an endpoint still has to read, by the attempts that this host has sent.
 */
export interface IEndpointBacklog {
  endpoint: string;
  /** Time that the endpoint needs to read the prompts of this host's attempts that have not begun to answer. */
  pendingMs: Millis;
  /** Time that the last attempt which began to answer had waited, beyond the reading of its own prompt. */
  delayMs: Millis;
  /** When `delayMs` was measured; `-Infinity` before the first answer. */
  measuredAt: Millis;
}

/** How long the attempts waited that this host has sent to the endpoints of a version last. */
export interface IRecentWaits {
  version: string;
  /** The last attempts that have begun to be answered, in the order in which they were sent. */
  begun: readonly { sentAt: Millis; waitMs: Millis }[];
  /** When the first attempt was sent that still waits, of those sent after all in `begun`. Absent if there is none. */
  waitingSince?: Millis | undefined;
}

/** How fast the endpoints of a version read prompts. */
export interface IPrefillRate {
  version: string;
  /** Time to read one token of a prompt that is not cached, at an endpoint that has nothing else to read. */
  msPerToken: Millis;
}

/** A prefix of a prompt that this host has sent to an endpoint, whose cache is likely to hold it. */
export interface ICachedPrefix {
  /** Consists of the endpoint, the version and the hash of the prefix. */
  key: string;
  sentAt: Millis;
  /** Process of the endpoint that it was sent to. */
  incarnation?: number | undefined;
  /** `tokens` of the endpoint in `endpointPrompts` just after it was sent. */
  endpointTokens?: number;
  /** `takenTokens` of the service in `servicePrompts` just after it was sent. */
  serviceTokens?: number;
}

/** What this host has sent to the current process of an endpoint. */
export interface IEndpointPrompts {
  endpoint: string;
  /** The process, as in the endpoint's entry. */
  incarnation: number | undefined;
  /** When this host first saw the process. */
  seenAt: Millis;
  /** Tokens of memory that this host's requests have taken there since. */
  tokens: number;
}

/** What this host has sent to the endpoints of a service. */
export interface IServicePrompts {
  service: string;
  /** Number of listed endpoints of the service. */
  endpoints: number;
  /** Tokens of memory that this host's requests have taken at all endpoints. */
  takenTokens: number;
  /** Mean of the tokens of a request and its answer, without the parts of the prompt that it shares with others. */
  meanTokens: number;
  /** Tokens of all prompts sent. */
  promptTokens: number;
  /** Tokens of those prompts that were expected to be cached. */
  cachedTokens: number;
}

/** How often tokens that were expected to be cached were there, as far as the waits for the first output told. */
export interface ICacheCheck {
  service: string;
  /** Sum of the certainties of the latest expectations; older ones count less. */
  expected: number;
  /** Number of those that were met; older ones count less. */
  met: number;
  /** Number of all expectations that were met. */
  metCount: number;
  /** Number of all expectations that were not met. */
  missedCount: number;
}

/** Tokens of a prompt that an endpoint may still hold. */
export interface ICachedEstimate {
  tokens: number;
  /** Probability that it holds them, 0 to 1. */
  certainty: number;
  /** The same before its correction by how often expectations were met. */
  uncorrected: number;
}

/** Length of a prompt in tokens, and how much of it an endpoint is expected to read. */
export interface IPromptWork {
  /** Tokens that the endpoint has to read. */
  uncachedTokens: number;
  /** Time to read them, if the endpoint has nothing else to read. */
  prefillMs: Millis;
  /** What the endpoint may hold of the prompt. Absent if its memory is not known. */
  cached?: ICachedEstimate;
}

/** When an answer is expected to begin and to end, from now. */
export interface IAnswerEstimate {
  startMs: Millis;
  endMs: Millis;
}

/**
 * What a client account has lately asked of a service in one request class, and how much of it was sent to endpoints.
 * Older requests count less by the second. Work is the time for which requests occupy an endpoint.
 */
export interface IAccountDemand {
  /** Consists of the service, the account and the class. */
  key: string;
  service: string;
  account: string;
  /** Request class: the route, or the caller's label. */
  kind: string;
  /** Priority of the latest request. */
  priority: Priority;
  offeredMs: Millis;
  admittedMs: Millis;
  /** Work that was refused for want of capacity. Requests that were too late for an answer count as not offered. */
  refusedMs: Millis;
  /** Part of `offeredMs` that callers offered for the first time, without the repeats of refused requests. */
  freshMs: Millis;
  freshCount: number;
  /** Offered work, each request multiplied by the share of its time that had passed when it arrived. */
  waitedMs: Millis;
  /** Sums without decay since the entry was made: of the work, and of the requests refused for want of capacity. */
  offeredTotalMs: Millis;
  admittedTotalMs: Millis;
  refusedTotal: number;
  /** Time up to which the decayed sums count. */
  updatedAt: Millis;
}

import type { Millis, Priority, RanStatus } from '../common/Types.js';

/** Part of a load with a constant mean arrival rate. */
export interface ILoadStep {
  requestsPerSecond: number;
  durationMs: Millis;
}

/**
 * Kind of call: `stream` is a streamed chat completion, `whole` a chat completion that is not streamed, and
 * `plain` a non-idempotent call of a plain service.
 */
export type CallKind = 'stream' | 'whole' | 'plain';

/** Which requests a load sends, and at which rates. Two plans with equal fields give the same requests. */
export interface ILoadPlan {
  seed: number;
  steps: readonly ILoadStep[];
  /** Relative weights of the kinds of call. */
  kindWeights: Readonly<Record<CallKind, number>>;
  /** Number of tokens that a request of ordinary length asks for. */
  tokens: number;
  /** Share of requests, 0 to 1, that ask for `longFactor` times as many tokens. */
  longShare: number;
  longFactor: number;
  /** Number of sessions that the chat completions are spread over; with 0, no session header is sent. */
  sessions: number;
  /** Share of chat completions, 0 to 1, that carry an idempotency key. Plain calls always carry one. */
  keyedShare: number;
  /** Number of client accounts. Each request is assigned to one of them at random, with equal probability. */
  accounts: number;
}

/** A request of a load as planned, before it is sent. */
export interface IPlannedRequest {
  /** Seed of the plan. */
  seed: number;
  /** Position of the request in the load, from 0. */
  index: number;
  /** Planned send time, counted from the start of the load. */
  atMs: Millis;
  kind: CallKind;
  /** Number of tokens that the request asks for. */
  tokens: number;
  /** Whether the request asks for `longFactor` times as many tokens as an ordinary one. */
  isLong: boolean;
  /** Index of the client account, from 0. */
  account: number;
  session: string | undefined;
  idempotencyKey: string | undefined;
}

/** Where requests are sent, and what they contain apart from the plan. */
export interface ILoadTarget {
  /**
   * Returns the base address that a request is sent to. `tries` is the number of tries so far, including the
   * one that is sent now; 1 for the first.
   */
  chooseAddress: (request: IPlannedRequest, tries: number) => string;
  /**
   * API keys of the client accounts. If the plan has more accounts than keys, the keys are reused in turn.
   * Without keys, requests are sent without authorization.
   */
  keys: readonly string[];
  model: string;
  /** Path of plain calls, for example `/services/ledger/refunds`. */
  plainPath: string;
  /** Start of the prompt; the index of the request is appended. */
  prompt: string;
  deadlineMs?: Millis;
  /**
   * Value to send as `max_tokens` instead of the planned number of tokens. The planned number is then sent as
   * `answer_tokens`, which only simulated endpoints read, so that routers do not learn the real length.
   */
  statedMaxTokens?: number;
  choosePriority?: (request: IPlannedRequest) => Priority;
  /** Time after which a call without a complete response is aborted. Default 120,000. */
  timeoutMs?: Millis;
}

/** Outcome of one try of a request. Times count from the planned send time of the request. */
export interface ICallOutcome {
  request: IPlannedRequest;
  /** Number of tries of the request so far, including this one; 1 for the first. */
  tries: number;
  /** HTTP status; 0 when no response arrived. */
  status: number;
  /** Whether the complete answer was received. */
  isComplete: boolean;
  /**
   * Error code in the response body, or code of the error that ended the call, such as a reset connection.
   * Otherwise `unreadable` if an error response has no code, `incomplete` if a stream ended without its last
   * event, and `broken` for an error without a code. `undefined` if the call succeeded.
   */
  code: string | undefined;
  /** What an error response states on whether an endpoint ran the request. */
  ran: RanStatus | undefined;
  /** Number of tokens received. */
  tokens: number;
  /** Time of the first token of a streamed request. */
  firstTokenMs: Millis | undefined;
  totalMs: Millis;
  /**
   * Delay of the send after its planned time. For a first try, a large value means that the load generator is
   * too slow. For a repeat, it includes the earlier tries and the delays between them.
   */
  lateMs: Millis;
}

/** Number of recorded durations, their mean, maximum and quantiles, in milliseconds. */
export interface IQuantiles {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p95: number;
  p99: number;
  max: number;
}

/** Figures of a load that has ended. */
export interface ILoadSummary {
  seed: number;
  requests: number;
  durationMs: Millis;
  /** Number of requests whose complete answer was received. */
  complete: number;
  tokens: number;
  firstTokenMs: IQuantiles;
  /** Time between two successive tokens of one stream. */
  betweenTokensMs: IQuantiles;
  totalMs: IQuantiles;
  lateMs: IQuantiles;
  /** Number of requests by the HTTP status of their last try; 0 stands for no response. */
  statuses: Readonly<Record<string, number>>;
  /** Number of requests by the error code of their last try, if it has one. */
  codes: Readonly<Record<string, number>>;
  /** Number of requests by the `ran` of their last try, if it has one. */
  ran: Readonly<Record<string, number>>;
}

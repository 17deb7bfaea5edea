import type { Millis, Priority, Ran } from '../common/Types.js';

/** Part of a load: a mean arrival rate that holds for a time. */
export interface ILoadStep {
  requestsPerSecond: number;
  durationMs: Millis;
}

/** Kind of call: a streamed or whole chat completion, or a non-idempotent call of a plain service. */
export type CallKind = 'stream' | 'whole' | 'plain';

/** What a load consists of. The same plan with the same seed gives the same requests. */
export interface ILoadPlan {
  seed: number;
  steps: readonly ILoadStep[];
  /** Relative weights of the kinds of call. */
  mix: Readonly<Record<CallKind, number>>;
  /** Tokens asked for by an ordinary request. */
  tokens: number;
  /** Share of requests that ask for `longFactor` times the tokens, 0 to 1. */
  longShare: number;
  longFactor: number;
  /** Number of sessions that requests are spread over; 0 sends no session header. */
  sessions: number;
  /** Share of chat completions with an idempotency key, 0 to 1. Plain calls always have one. */
  keyedShare: number;
  /** Number of client accounts, drawn with the same probability. */
  accounts: number;
}

/** One request of a load. */
export interface IPlannedRequest {
  seed: number;
  index: number;
  /** Planned send time after the start of the load. */
  atMs: Millis;
  kind: CallKind;
  tokens: number;
  isLong: boolean;
  account: number;
  session: string | undefined;
  idempotencyKey: string | undefined;
}

/** Where and how requests are sent. */
export interface ILoadTarget {
  /** Returns the base address for a try of a request. */
  chooseAddress: (request: IPlannedRequest, tries: number) => string;
  /** Keys of the client accounts; accounts beyond the list wrap around. */
  keys: readonly string[];
  model: string;
  /** Path of plain calls, for example `/services/ledger/refunds`. */
  plainPath: string;
  prompt: string;
  deadlineMs?: Millis;
  /** Stated as `max_tokens` in place of the real length, which then goes to stand-ins only. */
  statedTokens?: number;
  choosePriority?: (request: IPlannedRequest) => Priority;
  /** Longest time for one call. Default 120,000. */
  timeoutMs?: Millis;
}

/** What happened to one try of a request. Times count from the planned send time. */
export interface ICallOutcome {
  request: IPlannedRequest;
  tries: number;
  /** HTTP status; 0 when no response arrived. */
  status: number;
  /** Whether the whole answer arrived. */
  isComplete: boolean;
  /** Code of a refusal, or of a broken connection. */
  code: string | undefined;
  ran: Ran | undefined;
  tokens: number;
  /** Only of streamed requests. */
  firstTokenMs: Millis | undefined;
  totalMs: Millis;
  /** Delay of the send against its plan; large values mean that the generator is too slow. */
  lateMs: Millis;
}

/** Quantiles of a latency, in milliseconds. */
export interface IQuantiles {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p95: number;
  p99: number;
  max: number;
}

/** Summary of a load. */
export interface ILoadSummary {
  seed: number;
  requests: number;
  durationMs: Millis;
  /** Requests whose whole answer arrived. */
  complete: number;
  tokens: number;
  firstTokenMs: IQuantiles;
  betweenTokensMs: IQuantiles;
  totalMs: IQuantiles;
  lateMs: IQuantiles;
  statuses: Readonly<Record<string, number>>;
  codes: Readonly<Record<string, number>>;
  ran: Readonly<Record<string, number>>;
}

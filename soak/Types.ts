import type { Millis } from '../src/common/Types.js';
import type { IChainedFault } from '../src/testing/FaultChains.js';

/** Planned maintenance work. On its own it must not cause the loss of a request. */
export type PlannedWorkKind =
  'stop-router' | 'reload-router' | 'drain-runner' | 'change-configuration' | 'revoke-key';

/** Faults of router processes. */
export type RouterFaultKind = 'kill-router' | 'kill-all-routers' | 'pause-router' | 'step-clock';

/** Faults of the connections to runners, callers and the store. Proxies inject them. */
export type LinkFaultKind =
  | 'delay-runner'
  | 'reset-runner'
  | 'mute-to-runner'
  | 'mute-from-runner'
  | 'silence-runner'
  | 'delay-callers'
  | 'reset-callers'
  | 'silence-callers'
  | 'silence-store'
  | 'reset-store'
  | 'delay-store';

/**
 * Faults of the link of one router to all runners: new connections hang and open ones fall silent, or new ones are
 * refused and open ones reset.
 */
export type RouterLinkFaultKind = 'hang-router-link' | 'refuse-router-link';

/** Order to a router process to lose its link to the runners. */
export interface ILinkCut {
  /** Ports of the runners. */
  ports: readonly number[];
  /** Loopback port to which new connections go instead. */
  redirectPort: number;
  openConnections: 'silent' | 'reset';
}

/** Faults in how runners handle requests. */
export type RunnerFaultKind =
  'crash-runner' | 'fail-answers' | 'refuse-calls' | 'lose-answers' | 'tear-answers' | 'hang-answers';

/** Kinds of faults of runners by which the end of a connection is no proof of a complete answer. */
export type UnmarkedEndKind = 'unmark-answers' | 'end-runner';

/** Kinds of faults of runners by which a stream with a proper end is not complete. */
export type FalseEndKind = 'deny-resumptions' | 'skip-events';

/** Faults of the store itself. */
export type StoreFaultKind =
  'store-refuse' | 'store-silent' | 'store-lose-replies' | 'store-compact' | 'store-restore';

/** Faults of prompts and runners that last to the end of a soak. */
export type LastingFaultKind = 'crash-on-part' | 'limit-rate';

/** Kind of a fault or of planned work that a soak injects. */
export type SoakFaultKind =
  | PlannedWorkKind
  | RouterFaultKind
  | LinkFaultKind
  | RouterLinkFaultKind
  | RunnerFaultKind
  | UnmarkedEndKind
  | FalseEndKind
  | StoreFaultKind
  | LastingFaultKind;

/** One planned injection of a fault or of planned work. */
export type SoakFault = IChainedFault<SoakFaultKind>;

/** What a soak injects: planned work only, planned work and lost links of routers, or faults of every kind. */
export type SoakProfile = 'planned' | 'links' | 'mixed';

/**
 * How a proxy treats its connections. `mute-request` and `mute-response` hold back the bytes of one
 * direction, `silent` holds back both. `close` ends connections in order, as the system does for a process that has ended.
 */
export type LinkMode = 'pass' | 'delay' | 'reset' | 'close' | 'mute-request' | 'mute-response' | 'silent';

/**
 * How a faulty runner treats a request: it answers 500 (`fail`), refuses to execute it (`refuse`), resets the
 * connection before the end of the answer (`lose`), sends only a part of the answer (`tear`), never answers (`hang`),
 * answers a call that is to go on with a stream by an empty one (`deny`), or leaves out an event of a stream (`skip`).
 * With `unmark`, beside any of these, its answers have neither length nor chunks.
 */
export type RunnerFault = 'fail' | 'refuse' | 'lose' | 'tear' | 'hang' | 'deny' | 'skip' | 'unmark';

/** An injected fault or planned work; `endedAt` is undefined while it lasts. */
export interface IFaultEntry {
  id: number;
  kind: SoakFaultKind;
  /**
   * What it affects: the id of a router or runner, the link of a router, `routers` for all of them, `store` or
   * `operator`.
   */
  scope: string;
  isPlannedWork: boolean;
  startedAt: Millis;
  endedAt: Millis | undefined;
}

/** State of a router process as the soak's supervisor last observed it. */
export type RouterState = 'starting' | 'ready' | 'not-ready' | 'down';

/** A router as its supervisor sees it. */
export interface IRouterEntry {
  id: string;
  /** `ip:port` of the proxy through which callers reach the router. */
  address: string;
  state: RouterState;
  /** Number of times that its process was started. */
  incarnation: number;
  /**
   * Newest configuration version that the running process has provably applied, because it forwarded a call
   * to a route that this version added; 0 if none was observed. `observedAt` is when that call reached its
   * runner.
   */
  observedVersion: number;
  observedAt: Millis;
}

/** A runner as the operator knows it. */
export interface IRunnerEntry {
  id: string;
  service: string;
  /** When the store had recorded that the runner is draining or had removed its registration. */
  withdrawnAt: Millis | undefined;
}

/** A part of prompts that crashes each runner that begins to answer a call with it. */
export interface ICrashingPartEntry {
  part: string;
  /** When runners crashed by it, in order. */
  crashedAt: readonly Millis[];
}

/** A limit on the rate of calls that a runner names in its answers. */
export interface IRateLimitEntry {
  runner: string;
  callsPerS: number;
  startedAt: Millis;
}

/** A configuration that the operator wrote to the store. */
export interface IConfigurationEntry {
  version: number;
  sentAt: Millis;
  /** When the store acknowledged the write. */
  acknowledgedAt: Millis;
  routes: readonly string[];
  keys: readonly string[];
}

/**
 * Kind of a route's calls. Calls of kind `safe` may be repeated, calls of kind `unsafe` must run at most
 * once, and calls of kind `streaming` may be resumed at another runner after the last event that was
 * delivered.
 */
export type CallKind = 'safe' | 'unsafe' | 'streaming';

/** A call as its caller sees it. */
export interface ICallEntry {
  id: string;
  kind: CallKind;
  route: string;
  service: string;
  path: string;
  method: string;
  body: string;
  /** Parts of the prompt as the caller sends them; empty without a prompt. */
  promptParts: string;
  key: string;
  /** Account that the API key belongs to. */
  account: string;
  /** Time that the caller waits for the answer. */
  deadlineMs: Millis;
  /** Time-out of the route. */
  timeoutMs: Millis;
  maxAttempts: number;
  /** Id of the router that the call was sent to. */
  router: string;
  /** Incarnation of that router when the call was sent. */
  incarnation: number;
  sentAt: Millis;
  /** When the caller closed its connection before the answer was complete. */
  disconnectedAt?: Millis;
  endedAt?: Millis;
  /** Status of the response, or 0 if the connection ended without one. */
  status?: number;
  /** Value of the header `response-stamp`, by which the answering runner names its run. */
  stamp?: string | undefined;
  /** Body of the response. */
  answer?: string;
  /** Whether the response was received to its end. */
  isComplete?: boolean;
}

/**
 * Outcome of a run: it succeeded (`done`), answered with an error (`failed`), reset its connection before the
 * end of its answer (`lost`), sent only a part of its answer (`torn`), had its connection closed before its
 * end (`dropped`), or ended when its runner crashed (`crashed`).
 */
export type RunOutcome = 'done' | 'failed' | 'lost' | 'torn' | 'dropped' | 'crashed';

/** A run: one attempt of a call that reached a runner, as the runner sees it. */
export interface IRunEntry {
  /** Number of the run, counted from 1 over all runners. */
  number: number;
  /** Id of the call. */
  call: string;
  /** Id of the runner. */
  runner: string;
  service: string;
  /** Whether the runner began to execute the call; false if it refused the call. */
  wasExecuted: boolean;
  startedAt: Millis;
  endedAt: Millis | undefined;
  outcome: RunOutcome | undefined;
  status: number | undefined;
  method: string;
  path: string;
  body: string;
  account: string | undefined;
  model: string | undefined;
  /** Parts of the prompt, each as `id:tokens`, separated by commas. */
  promptParts: string;
  /** Id of the event after which the stream is to be resumed; 0 for a new stream. */
  resumeAfter: number;
  /** Id of the last event of the stream, once it was sent. */
  lastPiece?: number;
  /** Time left until the deadline, if the router sent it. */
  remainingMs: Millis | undefined;
  /** Names of the headers in which the caller's forged value reached the runner. */
  forgedHeaders: readonly string[];
}

/** Name of a promise: a guarantee of the routers that the soak checks. */
export type PromiseName =
  | 'whole-answers'
  | 'unchanged-calls'
  | 'single-run'
  | 'true-refusals'
  | 'allowed-routes'
  | 'proper-calls'
  | 'stream-order'
  | 'one-run-at-a-time'
  | 'leaving-runners'
  | 'configuration-in-force'
  | 'configuration-order'
  | 'time-outs'
  | 'gone-callers'
  | 'time-left'
  | 'planned-work'
  | 'attempt-limits'
  | 'retry-budget'
  | 'crashing-prompts'
  | 'rate-limits'
  | 'lost-links'
  | 'recovery'
  | 'process-health';

/** A violation of a promise. */
export interface IFindingEntry {
  promise: PromiseName;
  at: Millis;
  detail: string;
}

/** Result of one soak. */
export interface ISoakOutcome {
  seed: number;
  profile: SoakProfile;
  calls: number;
  served: number;
  runs: number;
  faults: number;
  /** Longest delay of the soak's own event loop. */
  lagMs: Millis;
  findings: readonly IFindingEntry[];
}

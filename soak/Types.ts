import type { Millis } from '../src/common/Types.js';
import type { IChainedFault } from '../src/testing/FaultChains.js';

/** Planned work, which must not lose a request by itself. */
export type PlannedWorkKind =
  'stop-router' | 'reload-router' | 'drain-runner' | 'change-configuration' | 'revoke-key';

/** Faults of routers. */
export type RouterFaultKind = 'kill-router' | 'kill-all-routers' | 'pause-router' | 'step-clock';

/** Faults of connections to runners, callers and the store, injected by proxies. */
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

/** Faults of what runners do with requests. */
export type RunnerFaultKind =
  'crash-runner' | 'fail-answers' | 'refuse-calls' | 'lose-answers' | 'tear-answers' | 'hang-answers';

/** Faults of the store itself. */
export type StoreFaultKind = 'store-refuse' | 'store-silent' | 'store-lose-replies' | 'store-compact';

/** Kind of a fault or of planned work that a run injects. */
export type SoakFaultKind =
  PlannedWorkKind | RouterFaultKind | LinkFaultKind | RunnerFaultKind | StoreFaultKind;

/** One fault of a plan. */
export type SoakFault = IChainedFault<SoakFaultKind>;

/** What a run injects: planned work alone, or everything. */
export type SoakProfile = 'planned' | 'mixed';

/** What a connection through a proxy meets. `mute` holds the bytes of one direction, `silent` of both. */
export type LinkMode = 'pass' | 'delay' | 'reset' | 'mute-request' | 'mute-response' | 'silent';

/** What a runner does with the requests that meet its fault. */
export type RunnerFault = 'fail' | 'refuse' | 'lose' | 'tear' | 'hang';

/** A fault or planned work while it lasts; `until` is absent before its end. */
export interface IFaultEntry {
  id: number;
  kind: SoakFaultKind;
  /** Router, runner, `store` or `operator` that it hits. */
  scope: string;
  isPlannedWork: boolean;
  startedAt: Millis;
  endedAt: Millis | undefined;
}

/** State of a router process. */
export type RouterState = 'starting' | 'ready' | 'not-ready' | 'down';

/** A router process as its supervisor sees it. */
export interface IRouterEntry {
  id: string;
  /** Address for callers, through a proxy. */
  address: string;
  state: RouterState;
  /** Number of its starts. */
  incarnation: number;
  /** Newest configuration that this start has shown by what it forwarded, and when. */
  observedVersion: number;
  observedAt: Millis;
}

/** A runner as the operator knows it. */
export interface IRunnerEntry {
  id: string;
  service: string;
  /** When the store had acknowledged that the runner leaves or is gone. */
  withdrawnAt: Millis | undefined;
}

/** A configuration that the operator wrote. */
export interface IConfigurationEntry {
  version: number;
  sentAt: Millis;
  /** When the store had acknowledged it. */
  acknowledgedAt: Millis;
  routes: readonly string[];
  keys: readonly string[];
}

/** How often a route's calls may run, and whether they may be repeated. */
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
  key: string;
  /** Account that the key belongs to. */
  account: string;
  /** Time that the caller waits for. */
  deadlineMs: Millis;
  timeoutMs: Millis;
  maxAttempts: number;
  router: string;
  /** Start of the router process that the call was sent to. */
  incarnation: number;
  sentAt: Millis;
  /** When the caller closed its connection before an answer. */
  disconnectedAt?: Millis;
  endedAt?: Millis;
  /** 0 where the connection ended without a response. */
  status?: number;
  stamp?: string | undefined;
  answer?: string;
  isComplete?: boolean;
}

/** How a run ended: to a good end, with a failure, without delivery, or with its caller or runner gone. */
export type RunOutcome = 'done' | 'failed' | 'lost' | 'torn' | 'dropped' | 'crashed';

/** A call as a runner sees it. */
export interface IRunEntry {
  number: number;
  call: string;
  runner: string;
  service: string;
  /** Whether the runner began to work on it; otherwise it refused. */
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
  /** Id of the event after which a stream goes on. */
  resumeAfter: number;
  /** Time left that the router told, if any. */
  remainingMs: Millis | undefined;
  /** Headers that must not come from a caller and did. */
  forgedHeaders: readonly string[];
}

/** Promise that a run checks. */
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
  | 'recovery'
  | 'process-health';

/** A broken promise. */
export interface IFindingEntry {
  promise: PromiseName;
  at: Millis;
  detail: string;
}

/** Result of one run. */
export interface ISoakOutcome {
  seed: number;
  profile: SoakProfile;
  calls: number;
  served: number;
  runs: number;
  faults: number;
  /** Longest time for which the soak's own event loop was held up. */
  lagMs: Millis;
  findings: readonly IFindingEntry[];
}

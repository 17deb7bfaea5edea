import type { Millis } from '../Types.js';

/**
 * Kind of a route's requests, which determines whether an attempt may be repeated. A `stream` may be repeated
 * only if it can be resumed.
 */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that a route sends a share of its requests to. */
export interface IRouteTarget {
  service: string;
  /** Share of the requests, relative to the weights of the route's other targets. */
  weight: number;
}

/** A route: the requests for a host name and a path prefix, and how they are served. */
export interface IRoute {
  name: string;
  /** Host name of the requests. */
  host: string;
  /** Path prefix of the requests. Begins and ends with a slash. */
  prefix: string;
  targets: readonly IRouteTarget[];
  kind: RouteKind;
  /** Longest time until the answer is complete. */
  timeoutMs: Millis;
  /** Target for the time until the first output. */
  targetLatencyMs: Millis;
  /** Longest pause between two events with which a stream still counts as on time. */
  maxPauseMs: Millis | undefined;
  /** Largest number of attempts per request, the first one included. */
  maxAttempts: number;
  /** Priority of the route's requests; 0 is the most urgent. */
  priority: number;
  /** Models that may answer, smallest first. Empty if the caller names the model. */
  models: readonly string[];
  /** Whether requests are served without a key. */
  isOpen: boolean;
  /** Whether a broken stream can be continued after its last event. */
  isResumable: boolean;
}

/** A model that a service's endpoints run. */
export interface IModelSpec {
  name: string;
  /** Price per thousand generated tokens. */
  cost: number;
}

/** A service that routes send requests to. */
export interface IServiceSpec {
  name: string;
  models: readonly IModelSpec[];
  /** Number of connections that one endpoint accepts, from all hosts together. */
  maxConnections: number;
  /** Absent if the service's endpoints take their usual rate from the start. */
  coldStart?: IColdStart;
  /** Tokens that the memory of one endpoint holds, for running requests and cached prompts. Absent if it is not known. */
  cacheTokens?: number;
}

/** How an endpoint works while it is cold: just after its start, and whenever it says so. */
export interface IColdStart {
  /** How long an endpoint is cold after a start. */
  durationMs: Millis;
  /** Requests a second that a cold endpoint takes from all hosts together. */
  requestsPerS: number;
}

/** A client account, which a call identifies by its key. */
export interface IRouteAccount {
  name: string;
  /** Priority that replaces the route's; `undefined` keeps the route's. */
  priority: number | undefined;
}

/** Limits on callers' requests and connections. */
export interface ICallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: Millis;
  idleTimeoutMs: Millis;
}

/** Routing configuration that the operator writes. A host has one version of it in force at a time. */
export interface IRoutingTable {
  version: number;
  /**
   * Routes by host name in lower case. The routes of a host name are ordered from the longest prefix to the
   * shortest.
   */
  routesByHost: ReadonlyMap<string, readonly IRoute[]>;
  services: ReadonlyMap<string, IServiceSpec>;
  /** Accounts by key. `undefined` if the deployment has no accounts. */
  accountsByKey: ReadonlyMap<string, IRouteAccount> | undefined;
  limits: ICallerLimits;
}

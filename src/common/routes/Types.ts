import type { Millis } from '../Types.js';

/** What a repeat of a route's requests may do. A stream may be repeated only where it can be resumed. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that a route sends a share of its requests to. */
export interface IRouteTarget {
  service: string;
  /** Share relative to the other targets of the route. */
  weight: number;
}

/** A route: requests for a host name and a path prefix, and how they are served. */
export interface IRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  targets: readonly IRouteTarget[];
  kind: RouteKind;
  /** Longest time until the final answer. */
  timeoutMs: Millis;
  /** Time within which the first output earns its full value. */
  targetLatencyMs: Millis;
  /** Longest pause between two events of a stream that is on time. */
  maxPauseMs: Millis | undefined;
  maxAttempts: number;
  /** Rank of the route's requests; 0 is the most urgent. */
  priority: number;
  /** Models that may answer, the smallest first. Empty where the caller names the model. */
  models: readonly string[];
  /** Whether requests are served without a key. */
  isOpen: boolean;
  isResumable: boolean;
}

/** A model that a service's endpoints run. */
export interface IModelSpec {
  name: string;
  /** Price of a thousand generated tokens. */
  cost: number;
}

/** A service behind the routes. */
export interface IServiceSpec {
  name: string;
  models: readonly IModelSpec[];
  /** Connections that one endpoint accepts from all hosts together. */
  maxConnections: number;
}

/** A client account as a key identifies it. */
export interface IRouteAccount {
  name: string;
  /** Rank that replaces the route's. */
  priority: number | undefined;
}

/** Limits on what a caller may send. */
export interface ICallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: Millis;
  idleTimeoutMs: Millis;
}

/** The operator's configuration: one version of it is in force on a host. */
export interface IRoutingTable {
  version: number;
  /** Routes by host name, those with the longest prefix first. */
  routesByHost: ReadonlyMap<string, readonly IRoute[]>;
  services: ReadonlyMap<string, IServiceSpec>;
  /** Accounts by key. `undefined` where the deployment has no accounts. */
  accountsByKey: ReadonlyMap<string, IRouteAccount> | undefined;
  limits: ICallerLimits;
}

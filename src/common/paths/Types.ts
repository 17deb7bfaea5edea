import type { IHostPresence } from '../fleet/Types.js';
import type { Millis } from '../Types.js';

/** How this host reaches an endpoint: over its own link, or by way of another host, the relay. */
export type PathKind = 'direct' | 'relayed';

/** How an attempt to open a direct connection ended. */
export type DialOutcome = 'connected' | 'failed';

/** Why a relay opened no connection: it does not reach the endpoint either, or it does not answer or refuses to. */
export type RelayFailure = 'endpoint-unreachable' | 'relay-unavailable';

/** Path of this host to one endpoint, by the endpoint's address. */
export interface IEndpointPathEntry {
  address: string;
  kind: PathKind;
  changedAt: Millis;
  /** Host by way of which the endpoint was reached last. Absent on a direct path. */
  relay?: string | undefined;
}

/** How a host did as a relay. */
export interface IRelayEntry {
  host: string;
  /** Number of failures in a row. */
  failures: number;
  /** Until when the host is not chosen. */
  avoidedUntil: Millis;
}

/** How to open a connection to an endpoint. The first of the ways that succeeds is used. */
export interface IDialPlan {
  /** Whether to try the direct path. */
  isDirectTried: boolean;
  /** Time after which the relays are tried as well, unless the direct path has failed before; `undefined`: not at all. */
  relayDelayMs: Millis | undefined;
  /** Lists the hosts to try as relays, one after another. Called only when they are to be tried. */
  listRelays: () => readonly IHostPresence[];
}

/**
 * Why a host opens no connection for another one. `endpoint-closed`: the endpoint is leaving, or wants nothing from this host
 * for a time.
 */
export type TunnelRefusal =
  | 'unknown-host'
  | 'unknown-endpoint'
  | 'endpoint-closed'
  | 'not-serving'
  | 'too-many'
  | 'endpoint-unreachable';

/** State and functions of a host by which it decides on the tunnels that others ask it for. */
export interface ITunnelContext {
  /** Whether a target, `ip:port`, is an endpoint that this host knows. */
  isEndpoint: (target: string) => boolean;
  /** Whether an endpoint, `ip:port`, takes work from this host. It may tell hosts apart by their connections. */
  isEndpointOpen: (target: string) => boolean;
  /** Whether a host that names itself so and has this IP number is known. */
  isHost: (host: string, ip: string) => boolean;
  /** Whether new tunnels are opened. */
  isServing: () => boolean;
  /** Called with each tunnel that is refused, and why. */
  onRefused: (host: string, target: string, reason: TunnelRefusal) => void;
}

/** Input of the choice of relays. */
export interface IRelayView {
  /** Announcements of the other hosts that can be reached. */
  hosts: readonly IHostPresence[];
  /** Address of the endpoint. */
  address: string;
  /** Availability zone of this host. */
  zone: string;
  /** Relay by way of which the endpoint was reached last. */
  lastRelay: string | undefined;
  findRelay: (host: string) => Readonly<IRelayEntry> | undefined;
  now: Millis;
}

/** Chooses the hosts to try as relays, in their order. */
export type ChooseRelays = (view: IRelayView) => IHostPresence[];

/** Decides on the way of connections to endpoints, and learns from how they end. */
export interface IPathPlanner {
  planDial: (address: string) => IDialPlan;
  recordDirect: (address: string, outcome: DialOutcome) => void;
  recordRelay: (address: string, host: string, outcome: 'connected' | RelayFailure) => void;
  /** Records that none of the relays of a plan opened a connection. */
  recordNoRelay: (address: string) => void;
}

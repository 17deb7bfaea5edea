import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import type { IHostPresence } from '../fleet/Types.js';
import { Emitter, type Event } from '../Event.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { ChooseRelays, DialOutcome, IDialPlan, IPathPlanner, RelayFailure } from './Types.js';

/** Options of the endpoint path controller. */
export interface IEndpointPathOptions {
  board: Blackboard;
  clock: IClock;
  /** Id and availability zone of this host. */
  host: string;
  zone: string;
  chooseRelays: ChooseRelays;
}

/**
 * Head start of the direct path. A sound endpoint takes a connection within a few milliseconds; a busy host or endpoint
 * may need some hundred.
 */
const RELAY_DELAY_MS: Millis = 250;

/** The same while the direct paths to several other endpoints are lost. */
const SUSPECT_RELAY_DELAY_MS: Millis = 20;

/** Number of relayed paths from which on the direct paths to all endpoints are suspect: one may be that endpoint's link. */
const MIN_RELAYED_PATHS = 2;

/** Interval at which a connection to a relayed endpoint also tries the direct path. */
const DIRECT_RETRY_MS: Millis = 1000;

/** Time within which a failure of the direct path and a success of a relay show that the path is lost. */
const EVIDENCE_MS: Millis = 2000;

/**
 * Time for which no relay is asked for an endpoint that none could reach. Otherwise each connection to an endpoint that is
 * down would ask several hosts.
 */
const ENDPOINT_DOWN_MS: Millis = 1000;

/** Interval at which relayed paths are checked. */
const PATH_CHECK_MS: Millis = 1000;

/**
 * Interval at which the kept connections to relayed endpoints are left behind, so that the next ones try the direct path. If
 * none has followed by the next time, the path counts as direct again: nobody has found out whether it is.
 */
const RENEWAL_MS: Millis = 2000;

/** Time for which a relay that failed is not chosen; it doubles with each failure in a row. */
const RELAY_AVOIDANCE_MS: Millis = 1000;
const MAX_RELAY_AVOIDANCE_MS: Millis = 8000;

/** What is known of the ways to one address besides its path. */
interface IDialHistory {
  directTriedAt: Millis;
  directFailedAt: Millis;
  relayConnectedAt: Millis;
  /** Relay that connected last, since the direct path last did. */
  relay?: string | undefined;
  relaysFailedAt: Millis;
  /** When the kept connections were last left behind. */
  renewedAt: Millis;
  /** Relays that did not reach the endpoint since one last did. */
  unreachedBy: Set<string>;
}

/** Plan of a connection for which no relay is asked. */
const DIRECT_DIAL: IDialPlan = { isDirectTried: true, relayDelayMs: undefined, listRelays: () => [] };

const NEW_HISTORY: Omit<IDialHistory, 'unreachedBy'> = {
  directTriedAt: -Infinity,
  directFailedAt: -Infinity,
  relayConnectedAt: -Infinity,
  relaysFailedAt: -Infinity,
  renewedAt: -Infinity,
};

/**
 * Keeps the `endpointPaths` panel. An endpoint that this host cannot connect to and another host can is reached by way of
 * that host, until the direct path works again. What this host saw of the endpoint over the lost path is no verdict on it.
 */
export class EndpointPathController extends Disposable implements IPathPlanner {
  private readonly _histories = new Map<string, IDialHistory>();
  private _checkTimer: IDisposable | undefined;
  private readonly _renewalEmitter = this._register(new Emitter<string>());

  /** Fires with an address when its kept connections are to be left behind: they may be silent, or lead through a relay. */
  public readonly onRenewal: Event<string> = this._renewalEmitter.event;

  constructor(private readonly _options: IEndpointPathOptions) {
    super();
    const { board } = _options;
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        if (!before || before.address === after?.address) return;
        this._histories.delete(before.address);
        board.endpointPaths.delete(before.address);
      }),
    );
    this._register(
      board.endpointPaths.onChange(({ key, before, after }) => {
        if (!after || after.kind === before?.kind) return;
        this._getHistory(key).renewedAt = this._options.clock.now();
        this._renewalEmitter.fire(key);
        this._scheduleCheck();
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._checkTimer?.dispose();
  }

  /**
   * Tells whether an endpoint that takes no connection is down, as far as anybody can tell: no path of this host is lost, or
   * no relay reaches the endpoint either.
   */
  public readonly isVerdictSound = (address: string): boolean => {
    if (this._countRelayedPaths() === 0) return true;
    return this._options.clock.now() - this._getHistory(address).relaysFailedAt < ENDPOINT_DOWN_MS;
  };

  /** Plans a connection to an endpoint. */
  public readonly planDial = (address: string): IDialPlan => {
    const now = this._options.clock.now();
    const history = this._getHistory(address);
    const isRelayed = this._options.board.endpointPaths.get(address)?.kind === 'relayed';
    const areRelaysUsed = now - history.relaysFailedAt >= ENDPOINT_DOWN_MS;
    if (isRelayed) return this._planRelayedDial(history, areRelaysUsed ? this._listRelays(address) : []);
    history.directTriedAt = now;
    if (!areRelaysUsed || !this._hasOtherHosts()) return DIRECT_DIAL;
    // The choice ranks all hosts, and most connections need no relay.
    const listRelays = (): IHostPresence[] => this._listRelays(address);
    const areLinksSuspect = this._countRelayedPaths() >= MIN_RELAYED_PATHS;
    const relayDelayMs = areLinksSuspect ? SUSPECT_RELAY_DELAY_MS : RELAY_DELAY_MS;
    return { isDirectTried: true, relayDelayMs, listRelays };
  };

  /** Records how a direct connection ended. */
  public readonly recordDirect = (address: string, outcome: DialOutcome): void => {
    const { board, clock } = this._options;
    const now = clock.now();
    const history = this._getHistory(address);
    if (outcome === 'failed') {
      history.directFailedAt = now;
      this._updatePath(address);
      return;
    }
    history.directFailedAt = -Infinity;
    history.relay = undefined;
    if (board.endpointPaths.get(address)?.kind === 'relayed')
      board.endpointPaths.set(address, { address, kind: 'direct', changedAt: now });
  };

  /**
   * Records how a connection by way of another host ended. A relay that does not reach an endpoint has failed only if
   * another one does; else the endpoint may be down.
   */
  public readonly recordRelay = (
    address: string,
    host: string,
    outcome: 'connected' | RelayFailure,
  ): void => {
    const { board, clock } = this._options;
    const history = this._getHistory(address);
    const hasOtherReached = clock.now() - history.relayConnectedAt < EVIDENCE_MS;
    if (outcome === 'relay-unavailable') this._recordRelayFailure(host);
    else if (outcome === 'endpoint-unreachable' && hasOtherReached) this._recordRelayFailure(host);
    else if (outcome === 'endpoint-unreachable') history.unreachedBy.add(host);
    else {
      history.unreachedBy.delete(host);
      for (const failed of history.unreachedBy) this._recordRelayFailure(failed);
      history.unreachedBy.clear();
      board.relays.delete(host);
      history.relayConnectedAt = clock.now();
      history.relay = host;
      this._updatePath(address);
    }
  };

  /** Records that none of the relays of a plan opened a connection. */
  public readonly recordNoRelay = (address: string): void => {
    const history = this._getHistory(address);
    history.relaysFailedAt = this._options.clock.now();
    history.unreachedBy.clear();
  };

  private _planRelayedDial(history: IDialHistory, relays: readonly IHostPresence[]): IDialPlan {
    const now = this._options.clock.now();
    const isDirectTried = relays.length === 0 || now - history.directTriedAt >= DIRECT_RETRY_MS;
    if (isDirectTried) history.directTriedAt = now;
    if (relays.length === 0) return DIRECT_DIAL;
    return { isDirectTried, relayDelayMs: 0, listRelays: () => relays };
  }

  private _recordRelayFailure(host: string): void {
    const { board, clock } = this._options;
    const failures = (board.relays.get(host)?.failures ?? 0) + 1;
    const avoidanceMs = Math.min(MAX_RELAY_AVOIDANCE_MS, RELAY_AVOIDANCE_MS * 2 ** (failures - 1));
    board.relays.set(host, { host, failures, avoidedUntil: clock.now() + avoidanceMs });
  }

  /** Marks a path as relayed if the direct one has failed and a relay has connected at about the same time. */
  private _updatePath(address: string): void {
    const { board, clock } = this._options;
    const { directFailedAt, relay, relayConnectedAt } = this._getHistory(address);
    if (Math.abs(directFailedAt - relayConnectedAt) > EVIDENCE_MS) return;
    const known = board.endpointPaths.get(address);
    if (known?.kind === 'relayed') {
      if (relay !== known.relay) board.endpointPaths.update(address, { relay });
      return;
    }
    board.endpointPaths.set(address, { address, kind: 'relayed', changedAt: clock.now(), relay });
    for (const endpoint of [...board.endpoints.list()])
      if (endpoint.address === address) this._resetVerdict(endpoint);
  }

  /** Takes back what this host concluded about an endpoint from attempts over the lost path. */
  private _resetVerdict({ health, id }: Readonly<IEndpointEntry>): void {
    const { board, clock } = this._options;
    const isJudged = health === 'suspect' || health === 'probing';
    board.endpoints.update(id, {
      consecutiveFailures: 0,
      ...(isJudged ? { health: 'healthy' as const, healthChangedAt: clock.now() } : {}),
    });
  }

  private _scheduleCheck(): void {
    if (this._checkTimer || this._isDisposed) return;
    this._checkTimer = this._options.clock.schedule(PATH_CHECK_MS, () => {
      this._checkTimer = undefined;
      for (const { address, kind } of [...this._options.board.endpointPaths.list()])
        if (kind === 'relayed') this._checkRelayedPath(address);
      if (this._countRelayedPaths() > 0) this._scheduleCheck();
    });
  }

  private _checkRelayedPath(address: string): void {
    const { board, clock } = this._options;
    const now = clock.now();
    const history = this._getHistory(address);
    if (now - history.renewedAt < RENEWAL_MS) return;
    if (history.relayConnectedAt < history.renewedAt) {
      board.endpointPaths.set(address, { address, kind: 'direct', changedAt: now });
      return;
    }
    history.renewedAt = now;
    this._renewalEmitter.fire(address);
  }

  private _hasOtherHosts(): boolean {
    for (const presence of this._options.board.presentHosts.list())
      if (this._isOtherHost(presence)) return true;
    return false;
  }

  private _isOtherHost({ address, host }: Readonly<IHostPresence>): boolean {
    return host !== this._options.host && address !== undefined;
  }

  private _listRelays(address: string): IHostPresence[] {
    const { board, chooseRelays, clock, zone } = this._options;
    return chooseRelays({
      hosts: [...board.presentHosts.list()].filter((presence) => this._isOtherHost(presence)),
      address,
      zone,
      lastRelay: this._getHistory(address).relay,
      findRelay: (id) => board.relays.get(id),
      now: clock.now(),
    });
  }

  private _countRelayedPaths(): number {
    let count = 0;
    for (const { kind } of this._options.board.endpointPaths.list()) if (kind === 'relayed') count += 1;
    return count;
  }

  private _getHistory(address: string): IDialHistory {
    const known = this._histories.get(address);
    if (known) return known;
    const history = { ...NEW_HISTORY, unreachedBy: new Set<string>() };
    this._histories.set(address, history);
    return history;
  }
}

import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';
import type { IHostPresence } from '../common/fleet/Types.js';
import type { IDisposable } from '../common/Lifecycle.js';
import type { IDialPlan, IPathPlanner } from '../common/paths/Types.js';
import type { IClock, Millis } from '../common/Types.js';
import type { OpenTunnel } from './Tunnels.js';

/** Options of the connector to endpoints. */
export interface IEndpointConnectorOptions {
  clock: IClock;
  /** Opens a direct connection. */
  connect: buildConnector.connector;
  /** Opens a connection by way of another host. */
  openTunnel: OpenTunnel;
  paths: IPathPlanner;
}

/**
 * Creates the function that opens connections to endpoints. It tries the direct path first, and hosts that may still
 * reach the endpoint after a short time or as soon as the direct path has failed. The first connection is used; it fails
 * with the error of the direct path.
 * @example
 * const connect = createEndpointConnector({ clock, connect: buildConnector({ timeout: 500 }), openTunnel, paths });
 * const agent = createHttpAgent({ connect });
 */
export function createEndpointConnector(options: IEndpointConnectorOptions): buildConnector.connector {
  return (target, callback) => {
    const address = `${target.hostname}:${target.port}`;
    new Dial(options, target, callback, options.paths.planDial(address), address).start();
  };
}

/**
 * Time after which the next relay is tried beside one that has not answered. An endpoint without power would otherwise keep
 * its callers waiting for one relay after another.
 */
const RELAY_INTERVAL_MS: Millis = 100;

/** One connection that is being opened, over the direct path and relays at the same time. */
class Dial {
  private _hasEnded = false;
  private _directError: Error | undefined;
  private _relayTimer: IDisposable | undefined;
  /** Ways that are still being tried, or will be. */
  private _openWays: number;

  constructor(
    private readonly _options: IEndpointConnectorOptions,
    private readonly _target: buildConnector.Options,
    private readonly _callback: buildConnector.Callback,
    private readonly _plan: IDialPlan,
    private readonly _address: string,
  ) {
    this._openWays = Number(_plan.isDirectTried) + Number(_plan.relayDelayMs !== undefined);
  }

  public start(): void {
    const { isDirectTried, relayDelayMs } = this._plan;
    if (relayDelayMs !== undefined)
      this._relayTimer = this._options.clock.schedule(relayDelayMs, this._startRelays);
    if (isDirectTried) this._openDirectly();
  }

  private _openDirectly(): void {
    const { connect, paths } = this._options;
    connect(this._target, (error, socket) => {
      paths.recordDirect(this._address, error === null ? 'connected' : 'failed');
      if (error === null) {
        this._finish(socket);
        return;
      }
      this._directError = error;
      this._endWay();
      this._startRelays();
    });
  }

  private readonly _startRelays = (): void => {
    if (!this._relayTimer) return;
    this._relayTimer.dispose();
    this._relayTimer = undefined;
    if (!this._hasEnded) void this._openByRelays();
  };

  private async _openByRelays(): Promise<void> {
    const relays = this._plan.listRelays();
    if (relays.length === 0) {
      this._endWay();
      return;
    }
    const opened: Promise<boolean>[] = [];
    for (const relay of relays) {
      if (this._hasEnded) return;
      opened.push(this._openByRelay(relay));
      await Promise.race([opened.at(-1), this._wait(RELAY_INTERVAL_MS)]);
    }
    if ((await Promise.all(opened)).some(Boolean)) return;
    this._options.paths.recordNoRelay(this._address);
    this._endWay();
  }

  private _wait(ms: Millis): Promise<void> {
    return new Promise((resolve) => void this._options.clock.schedule(ms, resolve));
  }

  private async _openByRelay({ address, host }: IHostPresence): Promise<boolean> {
    const { openTunnel, paths } = this._options;
    const opened = await openTunnel(address ?? '', this._address);
    paths.recordRelay(this._address, host, opened.isOk ? 'connected' : opened.error);
    if (opened.isOk) this._finish(opened.value);
    return opened.isOk;
  }

  private _finish(socket: Socket): void {
    if (this._hasEnded) {
      socket.destroy();
      return;
    }
    this._hasEnded = true;
    this._relayTimer?.dispose();
    this._callback(null, socket);
  }

  /** Ends one of the ways. The connection has failed when all have. */
  private _endWay(): void {
    this._openWays -= 1;
    if (this._openWays > 0 || this._hasEnded) return;
    this._hasEnded = true;
    this._callback(this._directError ?? createUnreachableError(this._address), null);
  }
}

/** Creates the error of a connection that no relay could open. No byte of a request was sent. */
function createUnreachableError(address: string): Error {
  return Object.assign(new Error(`No host reaches ${address}.`), {
    code: 'EHOSTUNREACH',
    syscall: 'connect',
  });
}

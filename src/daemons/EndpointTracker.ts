import { fetchHostList, type ListedMachine } from '../adapters/HostListClient.js';
import type { WriteLog } from '../adapters/Logs.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IEndpointEntry } from '../common/blackboard/Types.js';
import { Disposable, type IDisposable } from '../common/Lifecycle.js';
import type { IClock, Millis } from '../common/Types.js';

/** Options of the endpoint tracker. */
export interface IEndpointTrackerOptions {
  board: Blackboard;
  clock: IClock;
  /** Address of the platform's list. */
  hostList: string;
  intervalMs: Millis;
  log: WriteLog;
}

/** Copies endpoints from the platform's list to the `endpoints` panel. */
export class EndpointTracker extends Disposable {
  private _timer: IDisposable | undefined;

  constructor(private readonly _options: IEndpointTrackerOptions) {
    super();
  }

  /** Reads the list once, then again at each interval. */
  public async run(): Promise<void> {
    const { clock, hostList, intervalMs, log } = this._options;
    const machines = await fetchHostList(hostList);
    if (machines.isOk) this._applyList(machines.value);
    else log('warn', 'The host list could not be read', { error: machines.error.message });
    if (this._isDisposed) return;
    this._timer = clock.schedule(intervalMs, () => {
      void this.run();
    });
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  private _applyList(machines: readonly ListedMachine[]): void {
    const { board, clock } = this._options;
    const listed = new Set<string>();
    for (const machine of machines) {
      if (machine.role === 'entry-host') continue;
      listed.add(machine.id);
      this._applyMachine(machine);
    }
    for (const endpoint of board.endpoints.list()) {
      if (listed.has(endpoint.id) || endpoint.health === 'gone') continue;
      board.endpoints.update(endpoint.id, { health: 'gone', healthChangedAt: clock.now() });
    }
  }

  private _applyMachine(machine: ListedMachine): void {
    const { board, clock } = this._options;
    const known = board.endpoints.get(machine.id);
    if (!known) {
      board.endpoints.set(machine.id, createEndpoint(machine, clock.now()));
      return;
    }
    const health =
      machine.state === 'leaving' ? 'leaving' : known.health === 'gone' ? 'healthy' : known.health;
    const isSame = known.health === health && known.address === machine.address;
    if (!isSame)
      board.endpoints.update(machine.id, { health, address: machine.address, healthChangedAt: clock.now() });
  }
}

function createEndpoint(machine: ListedMachine, now: Millis): IEndpointEntry {
  return {
    id: machine.id,
    kind: machine.role === 'plain' ? 'plain' : 'engine',
    service: machine.service,
    address: machine.address,
    zone: machine.zone,
    health: machine.state === 'leaving' ? 'leaving' : 'healthy',
    healthChangedAt: now,
    versions: machine.versions,
    inFlight: 0,
    inFlightTokens: 0,
    firstTokenMs: undefined,
    tokenMs: undefined,
    consecutiveFailures: 0,
    report: undefined,
    checksFencing: false,
  };
}

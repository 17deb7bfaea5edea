import { fetchHostList, type ListedMachine } from '../adapters/HostListClient.js';
import type { WriteLog } from '../adapters/Logs.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IEndpointEntry, IListedHost } from '../common/blackboard/Types.js';
import { reconcileEndpoint, type IListedEndpointState } from '../common/coordination/EndpointStates.js';
import { Disposable, type IDisposable } from '../common/Lifecycle.js';
import type { IClock, Millis } from '../common/Types.js';
import { UNUSED_ENDPOINT } from '../common/request/NewEntries.js';

/** Options of the endpoint tracker. */
export interface IEndpointTrackerOptions {
  board: Blackboard;
  clock: IClock;
  /** Address of the platform's list. */
  hostList: string;
  intervalMs: Millis;
  log: WriteLog;
}

/** Copies the platform's list to the `endpoints` and `listedHosts` panels. */
export class EndpointTracker extends Disposable {
  private readonly _listed = new Map<string, IListedEndpointState>();
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
      listed.add(machine.id);
      if (machine.role === 'entry-host') this._applyHost(machine);
      else this._applyEndpoint(machine);
    }
    for (const endpoint of [...board.endpoints.list()]) {
      if (listed.has(endpoint.id) || endpoint.health === 'gone') continue;
      this._listed.delete(endpoint.id);
      board.endpoints.update(endpoint.id, { health: 'gone', healthChangedAt: clock.now() });
    }
    for (const { id } of [...board.listedHosts.list()]) if (!listed.has(id)) board.listedHosts.delete(id);
  }

  private _applyHost({ address, id, state, zone }: ListedMachine): void {
    const { listedHosts } = this._options.board;
    const known = listedHosts.get(id);
    const entry: IListedHost = { id, address, zone, state };
    if (known?.address !== address || known.state !== state) listedHosts.set(id, entry);
  }

  private _applyEndpoint(machine: ListedMachine): void {
    const { board, clock } = this._options;
    const { address, id, incarnation, state } = machine;
    const known = board.endpoints.get(id);
    const listedBefore = this._listed.get(id);
    this._listed.set(id, { state, incarnation });
    if (!known) {
      board.endpoints.set(id, createEndpoint(machine, clock.now()));
      return;
    }
    const next = reconcileEndpoint(known, listedBefore, { state, incarnation }, clock.now());
    const isSame =
      next.health === known.health && next.incarnation === known.incarnation && known.address === address;
    if (!isSame) board.endpoints.set(id, { ...next, address });
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
    ...UNUSED_ENDPOINT,
    incarnation: machine.incarnation ?? 0,
  };
}

import { fetchHostList, type ListedMachine } from '../adapters/HostListClient.js';
import type { WriteLog } from '../adapters/Logs.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IEndpointEntry, IListedHost } from '../common/blackboard/Types.js';
import { reconcileEndpoint, type IListedEndpointState } from '../common/coordination/EndpointStates.js';
import { Disposable, type IDisposable } from '../common/Lifecycle.js';
import type { IClock, Millis } from '../common/Types.js';
import { INITIAL_ENDPOINT_FIELDS } from '../common/request/InitialFields.js';

/** Options of the endpoint tracker. */
export interface IHostListPollerOptions {
  board: Blackboard;
  clock: IClock;
  /** Address of the platform's host list. */
  hostListAddress: string;
  intervalMs: Millis;
  log: WriteLog;
}

/** Polls the platform's host list and copies it to the `endpoints` and `listedHosts` panels. */
export class HostListPoller extends Disposable {
  private readonly _listedStates = new Map<string, IListedEndpointState>();
  private _timer: IDisposable | undefined;

  constructor(private readonly _options: IHostListPollerOptions) {
    super();
  }

  /** Reads the list once and schedules the next read. A failed read is logged and changes nothing. */
  public async run(): Promise<void> {
    const { clock, hostListAddress, intervalMs, log } = this._options;
    const machines = await fetchHostList(hostListAddress);
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
      this._listedStates.delete(endpoint.id);
      board.endpoints.update(endpoint.id, { health: 'gone', healthChangedAt: clock.now() });
    }
    for (const { id } of [...board.listedHosts.list()]) if (!listed.has(id)) board.listedHosts.delete(id);
  }

  private _applyHost({ address, id, state, zone }: ListedMachine): void {
    const { listedHosts } = this._options.board;
    const currentEntry = listedHosts.get(id);
    const entry: IListedHost = { id, address, zone, state };
    if (currentEntry?.address !== address || currentEntry.state !== state) listedHosts.set(id, entry);
  }

  private _applyEndpoint(machine: ListedMachine): void {
    const { board, clock } = this._options;
    const { address, id, incarnation, state } = machine;
    const currentEntry = board.endpoints.get(id);
    const previousState = this._listedStates.get(id);
    this._listedStates.set(id, { state, incarnation });
    if (!currentEntry) {
      board.endpoints.set(id, createEndpoint(machine, clock.now()));
      return;
    }
    const next = reconcileEndpoint(currentEntry, previousState, { state, incarnation }, clock.now());
    const isUnchanged =
      next.health === currentEntry.health &&
      next.incarnation === currentEntry.incarnation &&
      currentEntry.address === address;
    if (!isUnchanged) board.endpoints.set(id, { ...next, address });
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
    ...INITIAL_ENDPOINT_FIELDS,
    incarnation: machine.incarnation ?? 0,
  };
}

import { fetchHostList, type ListedMachine } from '../adapters/HostListClient.js';
import type { WriteLog } from '../adapters/Logs.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { HostState, IHostEntry } from '../common/blackboard/Types.js';
import { Disposable, type IDisposable } from '../common/Lifecycle.js';
import type { IClock, Millis } from '../common/Types.js';

/** Options of the host tracker. */
export interface IHostTrackerOptions {
  board: Blackboard;
  clock: IClock;
  /** Address of the platform's list. */
  hostList: string;
  intervalMs: Millis;
  host: string;
  zone: string;
  log: WriteLog;
}

/** Copies entry hosts from the platform's list to the `hosts` panel, and keeps this host's own entry. */
export class HostTracker extends Disposable {
  private _timer: IDisposable | undefined;

  constructor(private readonly _options: IHostTrackerOptions) {
    super();
  }

  /** Writes this host's own entry, reads the list once, then again at each interval. */
  public async run(address: string): Promise<void> {
    const { host, zone } = this._options;
    this._writeHost(host, address, zone, 'alive');
    await this._poll();
  }

  /** Marks this host as leaving, so that it takes no partition any more. */
  public markLeaving(): void {
    this._timer?.dispose();
    this._options.board.hosts.update(this._options.host, { state: 'leaving' });
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  private async _poll(): Promise<void> {
    const { clock, hostList, intervalMs, log } = this._options;
    const machines = await fetchHostList(hostList);
    if (this._isDisposed) return;
    if (machines.isOk) this._applyList(machines.value);
    else log('warn', 'The host list could not be read', { error: machines.error.message });
    this._timer = clock.schedule(intervalMs, () => {
      void this._poll();
    });
  }

  private _applyList(machines: readonly ListedMachine[]): void {
    const { board, host } = this._options;
    const listed = new Set<string>([host]);
    for (const machine of machines) {
      if (machine.role !== 'entry-host') continue;
      listed.add(machine.id);
      if (machine.id === host) continue;
      const state = machine.state === 'leaving' ? 'leaving' : 'alive';
      this._writeHost(machine.id, machine.address, machine.zone, state);
    }
    for (const known of board.hosts.list()) {
      if (!listed.has(known.id)) this._writeHost(known.id, known.address, known.zone, 'gone');
    }
  }

  private _writeHost(id: string, address: string, zone: string, state: HostState): void {
    const { board, clock } = this._options;
    const known = board.hosts.get(id);
    if (known?.address === address && known.state === state) return;
    // A new address is a new process; its memory is empty.
    const incarnation = (known?.incarnation ?? 0) + (known && known.address !== address ? 1 : 0);
    const entry: IHostEntry = { id, address, zone, state, incarnation, changedAt: clock.now() };
    board.hosts.set(id, entry);
  }
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';

/** Options of the census of hosts. */
export interface IHostCensusOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  host: string;
  /** Called when the hosts have changed, or this host has become a member. */
  onChange: () => void;
}

/** Time in which the other hosts read that this host has been announced. */
const MEMBER_DELAY_MS: Millis = 3000;

/** Time for which the largest number of hosts counts: the interval at which hosts announce themselves. */
const HEARD_PERIOD_MS: Millis = 3_600_000;

/** Share of the hosts heard of that a view must have to be complete. A stepped clock makes announcements look old. */
const COMPLETE_SHARE = 0.75;

/**
 * Tells which hosts are present and whether this host's view of them is complete enough to rank them. The others rank this
 * host only after they have read its announcement, so it is a member some time after it has read that itself. A host
 * that finds its announcement on its first contact with the store was announced before.
 */
export class HostCensus extends Disposable {
  private _heard = { count: 0, at: -Infinity };
  private _memberSince: Millis | undefined;
  /** Whether the facts of the first contact with the store are on the board. */
  private _hasReadStore = false;
  private _hosts: readonly string[] | undefined;
  private readonly _timers: IDisposable[] = [];

  constructor(private readonly _options: IHostCensusOptions) {
    super();
    const { board, clock, onChange } = _options;
    this._updateMembership();
    this._register(
      board.storeConnection.onChange(({ after }) => {
        if (after?.state !== 'connected' || this._hasReadStore) return;
        // Once the store is connected, its facts are put on the board in the same turn.
        this._timers.push(
          clock.schedule(0, () => {
            this._hasReadStore = true;
          }),
        );
      }),
    );
    this._register(
      board.presentHosts.onChange(({ before, after }) => {
        if (before && after) return;
        this._hosts = undefined;
        this._updateMembership();
        onChange();
      }),
    );
  }

  /** Largest number of hosts that were known within the last hour. */
  public get heardHosts(): number {
    return this._heard.count;
  }

  /** Whether the others know this host, and it knows the others. */
  public get isMember(): boolean {
    const { board, clock } = this._options;
    if (this._memberSince === undefined || this._memberSince > clock.now()) return false;
    return board.presentHosts.size >= COMPLETE_SHARE * this._heard.count;
  }

  /** Lists the ids of the present hosts. The list is the same one until they change. */
  public listHosts(): readonly string[] {
    this._hosts ??= [...this._options.board.presentHosts.list()].map(({ host }) => host);
    return this._hosts;
  }

  public override dispose(): void {
    super.dispose();
    for (const timer of this._timers) timer.dispose();
  }

  private _updateMembership(): void {
    const { board, clock, host, onChange } = this._options;
    const now = clock.now();
    const count = board.presentHosts.size;
    if (count >= this._heard.count || now - this._heard.at > HEARD_PERIOD_MS)
      this._heard = { count, at: now };
    if (!board.presentHosts.has(host)) {
      this._memberSince = undefined;
      return;
    }
    if (this._memberSince !== undefined) return;
    this._memberSince = this._hasReadStore ? now + MEMBER_DELAY_MS : now;
    if (this._hasReadStore) this._timers.push(clock.schedule(MEMBER_DELAY_MS, onChange));
  }
}

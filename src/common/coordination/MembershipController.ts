import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IHostEntry, IListedHost, ILifecycleEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { buildHostUpdate } from './Gossip.js';
import type { IHostUpdate } from './Updates.js';
import { applyHostUpdate, decideHostState, updateOwnState, type IHostStateContext } from './HostStates.js';
import { isCutOff } from './Readiness.js';

/** Options of the membership controller. */
export interface IMembershipOptions {
  board: Blackboard;
  clock: IClock;
  /** This host. Its incarnation must be higher than before its restart, as the time of the start is. */
  own: Pick<IHostEntry, 'id' | 'address' | 'zone' | 'incarnation'>;
  /** Time from `suspect` to `gone`. Default 5000. */
  suspectMs?: Millis;
  /** Time after which a host that is `gone` and not in the host list is removed. Default 600,000. */
  forgetMs?: Millis;
}

/**
 * Maintains the `hosts` panel. The platform's host list introduces hosts and their addresses. Peers know
 * sooner than the list whether a host is alive, so the list overrides their updates only when the entry of
 * a host changes to `leaving`.
 */
export class MembershipController extends Disposable {
  private readonly _options: Required<IMembershipOptions>;
  private readonly _timers = new Map<string, IDisposable>();

  constructor(options: IMembershipOptions) {
    super();
    this._options = { suspectMs: 5000, forgetMs: 600_000, ...options };
    const { board, clock, own } = this._options;
    board.hosts.set(own.id, { ...own, state: 'alive', changedAt: clock.now() });
    this._register(
      board.listedHosts.onChange(({ before, after }) => {
        if (after) this._applyListedHost(before, after);
      }),
    );
    this._register(
      board.hosts.onChange(({ before, after }) => {
        const isUnchanged = before?.state === after?.state && before?.incarnation === after?.incarnation;
        if (after && !isUnchanged) this._handleStateChange(after);
      }),
    );
    this._register(
      board.lifecycle.onChange(({ after }) => {
        if (after) this._applyLifecycle(after);
      }),
    );
    for (const listed of board.listedHosts.list()) this._applyListedHost(undefined, listed);
  }

  public override dispose(): void {
    super.dispose();
    for (const timer of this._timers.values()) timer.dispose();
    this._timers.clear();
  }

  private _buildContext(): IHostStateContext {
    const { board, clock, own } = this._options;
    return { board, self: own.id, now: clock.now() };
  }

  private _applyListedHost(before: IListedHost | undefined, listed: IListedHost): void {
    const { board, clock, own } = this._options;
    const known = board.hosts.get(listed.id);
    const { address, id, state, zone } = listed;
    if (id === own.id) return;
    if (!known) {
      // The incarnation of a running host is above 0, so that any update from it or a peer replaces this
      // entry.
      const initial = state === 'leaving' ? 'leaving' : 'alive';
      board.hosts.set(id, { id, address, zone, state: initial, incarnation: 0, changedAt: clock.now() });
    } else if (known.incarnation === 0 && known.address !== address) {
      board.hosts.update(id, { address, zone });
    } else if (state === 'leaving' && before?.state !== 'leaving') {
      applyHostUpdate(this._buildContext(), buildLeavingUpdate(known));
    }
  }

  private _applyLifecycle({ phase }: ILifecycleEntry): void {
    const own = this._options.board.hosts.get(this._options.own.id);
    if (!own) return;
    const incarnation = own.incarnation + 1;
    if (phase === 'leaving') updateOwnState(this._buildContext(), { state: 'leaving', incarnation });
    if (phase === 'stopped') updateOwnState(this._buildContext(), { state: 'gone', incarnation });
  }

  private _handleStateChange(host: IHostEntry): void {
    const { forgetMs, own, suspectMs } = this._options;
    this._timers.get(host.id)?.dispose();
    this._timers.delete(host.id);
    if (this._isDisposed || host.id === own.id) return;
    if (host.state === 'suspect') this._startTimer(host, suspectMs, this._expireSuspect);
    if (host.state === 'gone') this._startTimer(host, forgetMs, this._removeGoneHost);
  }

  private _startTimer(host: IHostEntry, delay: Millis, handle: (host: IHostEntry) => void): void {
    const timer = this._options.clock.schedule(delay, () => {
      handle(host);
    });
    this._timers.set(host.id, timer);
  }

  private readonly _expireSuspect = (suspect: IHostEntry): void => {
    const { board, clock } = this._options;
    const host = board.hosts.get(suspect.id);
    if (host?.state !== 'suspect') return;
    decideHostState(this._buildContext(), host, 'gone', isCutOff(board, clock.now()));
  };

  private readonly _removeGoneHost = (gone: IHostEntry): void => {
    const { board, forgetMs } = this._options;
    if (board.hosts.get(gone.id)?.state !== 'gone') return;
    if (board.listedHosts.has(gone.id)) this._startTimer(gone, forgetMs, this._removeGoneHost);
    else board.hosts.delete(gone.id);
  };
}

function buildLeavingUpdate(host: IHostEntry): IHostUpdate {
  return { ...buildHostUpdate(host), state: 'leaving' };
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock } from '../Types.js';

/** Options of the endpoint pause controller. */
export interface IEndpointPauseOptions {
  board: Blackboard;
  clock: IClock;
}

/** Ends the pause of an endpoint that wanted nothing from this host for a time, so that queued requests go there. */
export class EndpointPauseController extends Disposable {
  private readonly _timers = new Map<string, IDisposable>();

  constructor({ board, clock }: IEndpointPauseOptions) {
    super();
    this._register(
      board.endpoints.onChange(({ key, before, after }) => {
        if (after?.pausedUntil === before?.pausedUntil) return;
        this._timers.get(key)?.dispose();
        this._timers.delete(key);
        if (after?.pausedUntil === undefined) return;
        const timer = clock.schedule(after.pausedUntil - clock.now(), () => {
          this._timers.delete(key);
          board.endpoints.update(key, { pausedUntil: undefined });
        });
        this._timers.set(key, timer);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    for (const timer of this._timers.values()) timer.dispose();
    this._timers.clear();
  }
}

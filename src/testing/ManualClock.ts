import { toDisposable, type IDisposable } from '../common/Lifecycle.js';
import type { IClock, Millis } from '../common/Types.js';

interface ITimer {
  at: Millis;
  order: number;
  callback: () => void;
}

/** Clock whose time moves only when a test advances it. */
export class ManualClock implements IClock {
  private _now: Millis = 0;
  private _order = 0;
  private readonly _timers = new Set<ITimer>();

  public readonly now = (): Millis => this._now;

  public readonly schedule = (delay: Millis, callback: () => void): IDisposable => {
    this._order += 1;
    const timer: ITimer = { at: this._now + Math.max(0, delay), order: this._order, callback };
    this._timers.add(timer);
    return toDisposable(() => this._timers.delete(timer));
  };

  /** Moves time forward and runs the timers that become due, with promises settled in between. */
  public async advance(duration: Millis): Promise<void> {
    const end = this._now + duration;
    await settlePromises();
    for (let timer = this._findDue(end); timer; timer = this._findDue(end)) {
      this._timers.delete(timer);
      this._now = Math.max(this._now, timer.at);
      timer.callback();
      await settlePromises();
    }
    this._now = end;
  }

  private _findDue(end: Millis): ITimer | undefined {
    let first: ITimer | undefined;
    for (const timer of this._timers) {
      if (timer.at > end) continue;
      if (!first || timer.at < first.at || (timer.at === first.at && timer.order < first.order))
        first = timer;
    }
    return first;
  }
}

/** Lets every promise that can settle without a timer do so. */
export function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

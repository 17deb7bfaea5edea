import { toDisposable, type IDisposable } from '../common/Lifecycle.js';
import type { IClock, Millis } from '../common/Types.js';

interface ITimer {
  at: Millis;
  order: number;
  isDisposed: boolean;
  callback: () => void;
}

/** Clock whose time moves only when a test advances it. */
export class ManualClock implements IClock {
  private _now: Millis = 0;
  private _order = 0;
  /** Binary heap, earliest first. Disposed timers stay until they come up. */
  private readonly _timers: ITimer[] = [];

  public readonly now = (): Millis => this._now;

  public readonly schedule = (delay: Millis, callback: () => void): IDisposable => {
    this._order += 1;
    const timer: ITimer = {
      at: this._now + Math.max(0, delay),
      order: this._order,
      isDisposed: false,
      callback,
    };
    this._push(timer);
    return toDisposable(() => {
      timer.isDisposed = true;
    });
  };

  /** Moves time forward and runs the timers that become due, with promises settled in between. */
  public async advance(duration: Millis): Promise<void> {
    const end = this._now + duration;
    await settlePromises();
    for (let timer = this._takeDue(end); timer; timer = this._takeDue(end)) {
      this._now = Math.max(this._now, timer.at);
      timer.callback();
      await settlePromises();
    }
    this._now = end;
  }

  private _takeDue(end: Millis): ITimer | undefined {
    for (let first = this._timers[0]; first && first.at <= end; first = this._timers[0]) {
      this._removeFirst();
      if (!first.isDisposed) return first;
    }
    return undefined;
  }

  private _push(timer: ITimer): void {
    const timers = this._timers;
    let index = timers.length;
    timers.push(timer);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = timers[parent];
      if (!above || isBefore(above, timer)) break;
      timers[index] = above;
      index = parent;
    }
    timers[index] = timer;
  }

  private _removeFirst(): void {
    const timers = this._timers;
    const last = timers.pop();
    if (!last || timers.length === 0) return;
    let index = 0;
    for (;;) {
      const left = timers[2 * index + 1];
      const right = timers[2 * index + 2];
      const below = left && right && isBefore(right, left) ? right : left;
      if (!below || isBefore(last, below)) break;
      timers[index] = below;
      index = 2 * index + (below === left ? 1 : 2);
    }
    timers[index] = last;
  }
}

function isBefore(first: ITimer, second: ITimer): boolean {
  return first.at < second.at || (first.at === second.at && first.order < second.order);
}

/** Lets every promise that can settle without a timer do so. */
export function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

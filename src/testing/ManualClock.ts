import { toDisposable, type IDisposable } from '../common/Lifecycle.js';
import type { IClock, Millis } from '../common/Types.js';

interface ITimer {
  dueAt: Millis;
  /** Position in the order of scheduling, which decides between timers that are due at the same time. */
  sequence: number;
  isDisposed: boolean;
  callback: () => void;
}

/** Clock whose time moves only when a test advances it. */
export class ManualClock implements IClock {
  private _now: Millis = 0;
  private _lastSequence = 0;
  /**
   * Binary heap, ordered by due time and then by sequence. A disposed timer stays in it until it is the
   * earliest one and due.
   */
  private readonly _timers: ITimer[] = [];

  public readonly now = (): Millis => this._now;

  public readonly schedule = (delay: Millis, callback: () => void): IDisposable => {
    this._lastSequence += 1;
    const timer: ITimer = {
      dueAt: this._now + Math.max(0, delay),
      sequence: this._lastSequence,
      isDisposed: false,
      callback,
    };
    this._push(timer);
    return toDisposable(() => {
      timer.isDisposed = true;
    });
  };

  /**
   * Advances the time by `duration` and runs the timers that become due, each at its due time. Pending
   * promise callbacks run before the first timer and after each timer.
   */
  public async advance(duration: Millis): Promise<void> {
    const end = this._now + duration;
    await settlePromises();
    for (let timer = this._takeDueTimer(end); timer; timer = this._takeDueTimer(end)) {
      this._now = Math.max(this._now, timer.dueAt);
      timer.callback();
      await settlePromises();
    }
    this._now = end;
  }

  private _takeDueTimer(end: Millis): ITimer | undefined {
    for (let earliest = this._timers[0]; earliest && earliest.dueAt <= end; earliest = this._timers[0]) {
      this._removeFirst();
      if (!earliest.isDisposed) return earliest;
    }
    return undefined;
  }

  private _push(timer: ITimer): void {
    const timers = this._timers;
    let index = timers.length;
    timers.push(timer);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = timers[parentIndex];
      if (!parent || isBefore(parent, timer)) break;
      timers[index] = parent;
      index = parentIndex;
    }
    timers[index] = timer;
  }

  private _removeFirst(): void {
    const timers = this._timers;
    const last = timers.pop();
    if (!last || timers.length === 0) return;
    let index = 0;
    for (;;) {
      const leftChild = timers[2 * index + 1];
      const rightChild = timers[2 * index + 2];
      const child = leftChild && rightChild && isBefore(rightChild, leftChild) ? rightChild : leftChild;
      if (!child || isBefore(last, child)) break;
      timers[index] = child;
      index = 2 * index + (child === leftChild ? 1 : 2);
    }
    timers[index] = last;
  }
}

function isBefore(first: ITimer, second: ITimer): boolean {
  return first.dueAt < second.dueAt || (first.dueAt === second.dueAt && first.sequence < second.sequence);
}

/** Resolves after the pending promise callbacks, and those that they add in turn, have run. */
export function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

import { toDisposable, type IDisposable } from '../common/Lifecycle.js';
import type { IStore } from '../common/coordination/Types.js';
import type { IClock, Millis } from '../common/Types.js';

/**
 * Clock and store of a simulated process that can be paused. Time passes during a pause, but timers that
 * become due and replies of the store are delivered only when the process resumes, as for a process that the
 * operating system has suspended.
 */
export class PausableHost {
  private _isPaused = false;
  private _heldCallbacks: (() => void)[] = [];

  public readonly clock: IClock;
  public readonly store: IStore;

  /** Delay of each reply. */
  public replyDelayMs: Millis = 0;

  constructor(
    private readonly _clock: IClock,
    store: IStore,
  ) {
    const clock = _clock;
    this.clock = { now: clock.now, schedule: (delay, callback) => this._schedule(clock, delay, callback) };
    this.store = {
      get: (key) => this.receive(store.get(key)),
      put: (key, value, options) => this.receive(store.put(key, value, options)),
      delete: (key, expectedVersion) => this.receive(store.delete(key, expectedVersion)),
      watch: (key, afterVersion, timeoutMs) => this.receive(store.watch(key, afterVersion, timeoutMs)),
    };
  }

  /** Pauses the process. */
  public pause(): void {
    this._isPaused = true;
  }

  /** Resumes the process and delivers the timers and replies that were held back during the pause. */
  public resume(): void {
    this._isPaused = false;
    const heldCallbacks = this._heldCallbacks;
    this._heldCallbacks = [];
    for (const callback of heldCallbacks) callback();
  }

  /** Delivers a reply after `replyDelayMs`, or when the process resumes if it is paused then. */
  public async receive<T>(reply: Promise<T>): Promise<T> {
    const value = await reply;
    const delay = this.replyDelayMs;
    if (delay > 0) await new Promise<void>((resolve) => this._clock.schedule(delay, resolve));
    if (this._isPaused) await new Promise<void>((resolve) => this._heldCallbacks.push(resolve));
    return value;
  }

  private _schedule(clock: IClock, delay: Millis, callback: () => void): IDisposable {
    let isDisposed = false;
    const runOrHold = (): void => {
      if (isDisposed) return;
      if (this._isPaused) this._heldCallbacks.push(runOrHold);
      else callback();
    };
    const timer = clock.schedule(delay, runOrHold);
    return toDisposable(() => {
      isDisposed = true;
      timer.dispose();
    });
  }
}

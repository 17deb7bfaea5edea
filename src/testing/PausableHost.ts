import { toDisposable, type IDisposable } from '../common/Lifecycle.js';
import type { IStore } from '../common/coordination/Types.js';
import type { IClock, Millis } from '../common/Types.js';

/**
 * Clock and store of a process that can be paused: while it is, no timer fires and no reply arrives,
 * but time passes, as for a process that the machine does not schedule.
 */
export class PausableHost {
  private _isPaused = false;
  private _waiting: (() => void)[] = [];

  public readonly clock: IClock;
  public readonly store: IStore;

  /** Time that a reply of the store takes. */
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

  /** Stops the process. */
  public stop(): void {
    this._isPaused = true;
  }

  /** Lets the process go on with what it missed. */
  public resume(): void {
    this._isPaused = false;
    const waiting = this._waiting;
    this._waiting = [];
    for (const run of waiting) run();
  }

  /** Delivers a reply once the process runs. */
  public async receive<T>(reply: Promise<T>): Promise<T> {
    const value = await reply;
    const delay = this.replyDelayMs;
    if (delay > 0) await new Promise<void>((resolve) => this._clock.schedule(delay, resolve));
    if (this._isPaused) await new Promise<void>((resolve) => this._waiting.push(resolve));
    return value;
  }

  private _schedule(clock: IClock, delay: Millis, callback: () => void): IDisposable {
    let isDisposed = false;
    const run = (): void => {
      if (isDisposed) return;
      if (this._isPaused) this._waiting.push(run);
      else callback();
    };
    const timer = clock.schedule(delay, run);
    return toDisposable(() => {
      isDisposed = true;
      timer.dispose();
    });
  }
}

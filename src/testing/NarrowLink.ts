import type { Millis } from '../common/Types.js';
import type { ManualClock } from './ManualClock.js';

/** One direction of a host's network link on a manual clock. What is sent waits for what was sent before. */
export class NarrowLink {
  private _freeAt: Millis = 0;

  constructor(
    private readonly _clock: ManualClock,
    private readonly _bytesPerS: number,
  ) {}

  /** Resolves when the last byte has been sent. */
  public async send(bytes: number): Promise<void> {
    const now = this._clock.now();
    this._freeAt = Math.max(now, this._freeAt) + (bytes / this._bytesPerS) * 1000;
    const waitMs = this._freeAt - now;
    if (waitMs > 0) await new Promise<void>((resolve) => void this._clock.schedule(waitMs, resolve));
  }
}

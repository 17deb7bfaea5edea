import type { Millis } from '../Types.js';

/** Time in which the weight of an event falls to 1/e. */
const DECAY_MS: Millis = 10_000;

/** Measures the recent rate of events. */
export class RateMeter {
  private _weight = 0;
  private _firstEventAt: Millis | undefined;
  private _lastEventAt: Millis = 0;

  /** Counts an event. */
  public countEvent(now: Millis): void {
    this._firstEventAt ??= now;
    this._weight = 1 + this._weight * Math.exp((this._lastEventAt - now) / DECAY_MS);
    this._lastEventAt = now;
  }

  /** Computes the rate in events a second, of the time since the first event. */
  public computeRate(now: Millis): number {
    if (this._firstEventAt === undefined) return 0;
    const weight = this._weight * Math.exp((this._lastEventAt - now) / DECAY_MS);
    const fullWeightMs = DECAY_MS * (1 - Math.exp((this._firstEventAt - now) / DECAY_MS));
    return (1000 * weight) / Math.max(1000, fullWeightMs);
  }
}

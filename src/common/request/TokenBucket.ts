import type { Millis } from '../Types.js';

/** The burst of a bucket is the number of tokens that it earns in this time. */
export const BURST_MS: Millis = 1000;

/** Token bucket whose rate can change. Its burst is one second's worth of tokens, and at least one token. */
export class TokenBucket {
  private _refilledAt: Millis;

  constructor(
    private _rate: number,
    private _tokens: number,
    now: Millis,
  ) {
    this._refilledAt = now;
  }

  /** Sets the rate in tokens per second and drops tokens above the new burst. */
  public setRate(rate: number, now: Millis): void {
    if (rate === this._rate) return;
    this._addTokens(now);
    this._rate = rate;
    this._tokens = Math.min(this._tokens, computeBurst(rate));
  }

  /** Takes tokens, one by default; takes none and returns false if there are fewer. */
  public take(now: Millis, amount = 1): boolean {
    this._addTokens(now);
    if (this._tokens < amount) return false;
    this._tokens -= amount;
    return true;
  }

  private _addTokens(now: Millis): void {
    const earned = ((now - this._refilledAt) * this._rate) / 1000;
    // A bucket may be created with more tokens than its burst. They are kept until used or the rate changes.
    this._tokens = Math.max(this._tokens, Math.min(computeBurst(this._rate), this._tokens + earned));
    this._refilledAt = now;
  }
}

/** Computes the burst, in tokens, of a bucket with a rate in tokens per second. */
export function computeBurst(rate: number): number {
  return Math.max(1, (rate * BURST_MS) / 1000);
}

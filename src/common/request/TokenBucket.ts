import type { Millis } from '../Types.js';

/** Burst of a bucket, as time at its rate. */
export const BURST_MS: Millis = 1000;

/** Token bucket whose rate may change. Its burst is one second of its rate, at least one token. */
export class TokenBucket {
  private _refilledAt: Millis;

  constructor(
    private _rate: number,
    private _tokens: number,
    now: Millis,
  ) {
    this._refilledAt = now;
  }

  /** Sets the rate in requests per second; tokens above the new burst are dropped. */
  public setRate(rate: number, now: Millis): void {
    if (rate === this._rate) return;
    this._addTokens(now);
    this._rate = rate;
    this._tokens = Math.min(this._tokens, computeBurst(rate));
  }

  /** Takes one token; false when there is none. */
  public take(now: Millis): boolean {
    this._addTokens(now);
    if (this._tokens < 1) return false;
    this._tokens -= 1;
    return true;
  }

  private _addTokens(now: Millis): void {
    const earned = ((now - this._refilledAt) * this._rate) / 1000;
    // Tokens above the burst, as at the start, are kept until they are used or the rate changes.
    this._tokens = Math.max(this._tokens, Math.min(computeBurst(this._rate), this._tokens + earned));
    this._refilledAt = now;
  }
}

/** Computes the burst of a bucket in tokens. */
export function computeBurst(rate: number): number {
  return Math.max(1, (rate * BURST_MS) / 1000);
}

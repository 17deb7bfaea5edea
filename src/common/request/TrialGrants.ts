import type { IClock, Millis } from '../Types.js';

/** Options of the trial grants. */
export interface ITrialGrantOptions {
  clock: IClock;
  /** Largest number of grants held at once. Default 10,000. */
  maxGrants?: number;
}

/**
 * Locks that one host grants as the owner of endpoints and fingerprints. A suspected request needs the lock
 * of its fingerprint and that of the endpoint for its trial. A key has one holder at a time, and every grant
 * expires.
 */
export class TrialGrants {
  private readonly _grants = new Map<string, { holder: string; expiresAt: Millis }>();

  constructor(private readonly _options: ITrialGrantOptions) {}

  /**
   * Grants a key to a holder for `durationMs`. Returns false while another holder has the key, or when the
   * largest number of grants is reached. A holder that asks again extends its grant.
   */
  public acquire(key: string, holder: string, durationMs: Millis): boolean {
    const now = this._options.clock.now();
    const current = this._grants.get(key);
    if (current && current.holder !== holder && current.expiresAt > now) return false;
    if (!current && this._grants.size >= (this._options.maxGrants ?? 10_000)) {
      this._removeExpired(now);
      if (this._grants.size >= (this._options.maxGrants ?? 10_000)) return false;
    }
    this._grants.set(key, { holder, expiresAt: now + durationMs });
    return true;
  }

  /** Ends a grant if `holder` still has it. */
  public release(key: string, holder: string): void {
    if (this._grants.get(key)?.holder === holder) this._grants.delete(key);
  }

  private _removeExpired(now: Millis): void {
    for (const [key, { expiresAt }] of this._grants) if (expiresAt <= now) this._grants.delete(key);
  }
}

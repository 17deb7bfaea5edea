import type { IClock, Millis } from '../Types.js';

/** Options of the grants of trials. */
export interface ITrialGrantOptions {
  clock: IClock;
  /** Default 10,000. */
  maxGrants?: number;
}

/** Grants that one host gives out as the owner of endpoints and fingerprints: one holder a key. */
export class TrialGrants {
  private readonly _grants = new Map<string, { holder: string; until: Millis }>();

  constructor(private readonly _options: ITrialGrantOptions) {}

  /** Grants a key to a holder for a time; false while another one holds it. Repeating is harmless. */
  public acquire(key: string, holder: string, durationMs: Millis): boolean {
    const now = this._options.clock.now();
    const held = this._grants.get(key);
    if (held && held.holder !== holder && held.until > now) return false;
    if (!held && this._grants.size >= (this._options.maxGrants ?? 10_000)) {
      this._dropLapsed(now);
      if (this._grants.size >= (this._options.maxGrants ?? 10_000)) return false;
    }
    this._grants.set(key, { holder, until: now + durationMs });
    return true;
  }

  /** Ends a holder's grant. */
  public release(key: string, holder: string): void {
    if (this._grants.get(key)?.holder === holder) this._grants.delete(key);
  }

  private _dropLapsed(now: Millis): void {
    for (const [key, { until }] of this._grants) if (until <= now) this._grants.delete(key);
  }
}

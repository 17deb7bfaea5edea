/** Options of the retry budget. */
export interface IRetryBudgetOptions {
  /** Number of extra attempts earned per request. Default 0.05. */
  share?: number;
  /**
   * Number of extra attempts available at the start, and the largest number that can be saved up. Default 10.
   */
  capacity?: number;
}

/** Allowance for the rounding error of the added fractions, so that a full attempt is not missed. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Token bucket that limits the extra attempts (retries and hedges) of this host. Each new request earns a
 * fraction of an attempt, so the number of extra attempts is at most `capacity + share requests`, however
 * many attempts fail.
 */
export class RetryBudget {
  private readonly _share: number;
  private readonly _capacity: number;
  private _tokens: number;

  constructor({ capacity = 10, share = 0.05 }: IRetryBudgetOptions = {}) {
    this._share = share;
    this._capacity = capacity;
    this._tokens = capacity;
  }

  /** Adds the fraction of an attempt that one request earns. Default: the share given in the options. */
  public addRequest(share = this._share): void {
    this._tokens = Math.min(this._capacity, this._tokens + share);
  }

  /** Tells whether an extra attempt is available. */
  public get hasAttempt(): boolean {
    return this._tokens >= 1 - ROUNDING_TOLERANCE;
  }

  /** Takes one extra attempt; returns false if the budget is used up. */
  public readonly takeAttempt = (): boolean => {
    if (!this.hasAttempt) return false;
    this._tokens -= 1;
    return true;
  };
}

/** Options of the retry budget. */
export interface IRetryBudgetOptions {
  /** Extra attempts earned per request. Default 0.05. */
  share?: number;
  /** Extra attempts at start and the most that can be saved up. Default 10. */
  capacity?: number;
}

/** Covers the rounding error of added shares. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Token bucket that retries and hedges of this host share. Each new request earns a share of an attempt,
 * so extra attempts stay within `capacity + share * requests` whatever fails.
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

  /** Earns the share of one request. Default: the share of the options. */
  public addRequest(share = this._share): void {
    this._tokens = Math.min(this._capacity, this._tokens + share);
  }

  /** Tells whether an extra attempt could be taken. */
  public get hasAttempt(): boolean {
    return this._tokens >= 1 - ROUNDING_TOLERANCE;
  }

  /** Takes one extra attempt; false when the budget is used up. */
  public readonly takeAttempt = (): boolean => {
    if (!this.hasAttempt) return false;
    this._tokens -= 1;
    return true;
  };
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { RetryBudget } from './RetryBudget.js';

/** Options of the retry budgets of services. */
export interface IServiceRetryBudgetsOptions {
  /**
   * Reads the fraction of an extra attempt that a request earns. The setting may change while the host runs.
   */
  readRetryShare: () => number;
  /** Number of extra attempts a service has at the start, and the largest number that it can save up. */
  capacity: number;
}

/**
 * Keeps one retry budget per service, so that extra attempts of one service do not use up another's budget.
 */
export class ServiceRetryBudgets extends Disposable {
  private readonly _budgets = new Map<string, RetryBudget>();

  constructor(
    board: Blackboard,
    private readonly _options: IServiceRetryBudgetsOptions,
  ) {
    super();
    this._register(
      board.requests.onChange(({ before, after }) => {
        if (!before && after) this._getBudget(after.service).addRequest(_options.readRetryShare());
      }),
    );
  }

  /** Takes one extra attempt for a request; returns false if the budget of its service is used up. */
  public readonly takeAttempt = (request: IRequestEntry): boolean =>
    this._getBudget(request.service).takeAttempt();

  /** Tells whether an extra attempt is available for a request. */
  public readonly hasAttempt = (request: IRequestEntry): boolean =>
    this._getBudget(request.service).hasAttempt;

  private _getBudget(service: string): RetryBudget {
    const known = this._budgets.get(service);
    if (known) return known;
    const created = new RetryBudget({ capacity: this._options.capacity });
    this._budgets.set(service, created);
    return created;
  }
}

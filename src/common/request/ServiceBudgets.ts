import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { RetryBudget, type IRetryBudgetOptions } from './RetryBudget.js';

/** One retry budget per service: extra attempts at one service must not use up another's. */
export class ServiceBudgets extends Disposable {
  private readonly _budgets = new Map<string, RetryBudget>();

  constructor(
    board: Blackboard,
    private readonly _options: IRetryBudgetOptions,
  ) {
    super();
    this._register(
      board.requests.onChange(({ before, after }) => {
        if (!before && after) this._getBudget(after.service).addRequest();
      }),
    );
  }

  /** Takes one extra attempt of a request; false when the budget of its service is used up. */
  public readonly takeAttempt = (request: IRequestEntry): boolean =>
    this._getBudget(request.service).takeAttempt();

  /** Tells whether an extra attempt of a request could be taken. */
  public readonly hasAttempt = (request: IRequestEntry): boolean =>
    this._getBudget(request.service).hasAttempt;

  private _getBudget(service: string): RetryBudget {
    const known = this._budgets.get(service);
    if (known) return known;
    const created = new RetryBudget(this._options);
    this._budgets.set(service, created);
    return created;
  }
}

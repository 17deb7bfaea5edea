import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { RetryBudget } from './RetryBudget.js';

/** Options of the budgets. */
export interface IServiceBudgetsOptions {
  /** Reads the share of an extra attempt that a request earns; it may change while the host runs. */
  readShare: () => number;
  /** Extra attempts of a service at start and the most that can be saved up. */
  capacity: number;
}

/** One retry budget per service: extra attempts at one service must not use up another's. */
export class ServiceBudgets extends Disposable {
  private readonly _budgets = new Map<string, RetryBudget>();

  constructor(
    board: Blackboard,
    private readonly _options: IServiceBudgetsOptions,
  ) {
    super();
    this._register(
      board.requests.onChange(({ before, after }) => {
        if (!before && after) this._getBudget(after.service).addRequest(_options.readShare());
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
    const created = new RetryBudget({ capacity: this._options.capacity });
    this._budgets.set(service, created);
    return created;
  }
}

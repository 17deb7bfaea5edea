import { Result } from 'true-myth';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import type { IRequestEntry } from '../common/blackboard/Types.js';
import { Disposable } from '../common/Lifecycle.js';
import { computeShareByDemand } from '../common/policy/RateShares.js';
import { AccountLimitController } from '../common/request/AccountLimitController.js';
import { createLeaseHandler } from '../common/request/AccountShares.js';
import { EndpointIndex } from '../common/request/EndpointIndex.js';
import { HealthController } from '../common/request/HealthController.js';
import { HedgeController } from '../common/request/HedgeController.js';
import { InFlightLimitController } from '../common/request/InFlightLimitController.js';
import { PrefixController } from '../common/request/PrefixController.js';
import { RetryBudget } from '../common/request/RetryBudget.js';
import { RouteController } from '../common/request/RouteController.js';
import { WorkEstimateController } from '../common/request/WorkEstimateController.js';
import type { IClock, RandomSource } from '../common/Types.js';
import { createRoutingPolicies, type IRoutingPolicies } from './Policies.js';

/** Options of the routing controllers. */
export interface IRoutingWiringOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  createId: () => string;
  hashTexts: (...texts: readonly string[]) => string;
  host: string;
  zone: string;
  /** Default: calls to peers fail, as on a single host. */
  sendToPeer?: SendToPeer;
  /** Default: the policies of `createRoutingPolicies`. */
  policies?: Partial<IRoutingPolicies>;
}

/**
 * Wires the routing controllers of one host: endpoint index, queue, endpoint health, limits, hedges and the
 * budget of extra attempts.
 */
export class RoutingWiring extends Disposable {
  public readonly index: EndpointIndex;
  /** Handlers of the peer calls about account limits. */
  public readonly peerHandlers: PeerHandlers;
  private readonly _limits: AccountLimitController;
  private readonly _budget = new RetryBudget();

  /** Takes one extra attempt from the budget that retries and hedges share; false if it is used up. */
  public readonly takeRetryBudget = this._budget.takeAttempt;

  /**
   * Counts one request against this host's share of the account's rate limit; false if the share is used up.
   */
  public readonly takeRateShare = (request: IRequestEntry): boolean => this._limits.takeRateShare(request);

  constructor(options: IRoutingWiringOptions) {
    super();
    const { board, random } = options;
    const policies = { ...createRoutingPolicies(random), ...options.policies };
    this._register(
      board.requests.onChange(({ before, after }) => {
        if (!before && after) this._budget.addRequest();
      }),
    );
    // The index must be registered first: the other controllers read it while they handle the same change.
    this.index = this._register(new EndpointIndex(options));
    const common = { ...options, ...policies, index: this.index, takeRetryBudget: this.takeRetryBudget };
    const handleLease = createLeaseHandler({ ...common, computeShare: computeShareByDemand });
    this.peerHandlers = { 'account.lease': handleLease };
    const sendToPeer = options.sendToPeer ?? reportUnreachable;
    this._limits = this._register(new AccountLimitController({ ...common, handleLease, sendToPeer }));
    this._register(new WorkEstimateController(board));
    this._register(new PrefixController(board));
    this._register(new InFlightLimitController(common));
    this._register(new HealthController(common));
    this._register(new RouteController(common));
    this._register(new HedgeController(common));
  }
}

const reportUnreachable: SendToPeer = (host) =>
  Promise.resolve(Result.err({ kind: 'unreachable', message: `The host '${host}' cannot be reached.` }));

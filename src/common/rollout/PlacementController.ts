import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IServiceEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IPlacementOrder, PlanPlacement } from '../policy/Placement.js';
import { isAcceptingWork } from '../request/Candidates.js';
import type { IClock, Millis } from '../Types.js';
import type { FetchLoadLimit, IServiceLease, SendOrder } from './Types.js';

/** Options of the placement controller. */
export interface IPlacementOptions {
  board: Blackboard;
  clock: IClock;
  /** Finds the lease on the engine orders of a service. */
  findLease: (service: string) => IServiceLease | undefined;
  planPlacement: PlanPlacement;
  sendOrder: SendOrder;
  fetchLoadLimit: FetchLoadLimit;
  /** Largest number of versions that one engine has loaded. Default 2. */
  maxVersionsPerEngine?: number;
  /** Time between two rounds of planning. Default 5000. */
  intervalMs?: Millis;
}

const MINUTE_MS = 60_000;
/** Factor applied to the demand after each round of planning, so that recent attempts weigh more. */
const DEMAND_DECAY_FACTOR = 0.8;

/**
 * Orders engines to load and unload versions for the services whose lease this host holds. An order
 * contains the complete list of versions. Each round of planning starts from the versions that the engines
 * report, so an order that was not carried out is planned again.
 */
export class PlacementController extends Disposable {
  private readonly _options: Required<IPlacementOptions>;
  /** Number of attempts per version on this host, with older ones discounted. */
  private readonly _demand = new Map<string, number>();
  /** Times of the loads ordered by this host within the last minute. */
  private _loadTimes: Millis[] = [];
  private _timer: IDisposable | undefined;

  constructor(options: IPlacementOptions) {
    super();
    this._options = { maxVersionsPerEngine: 2, intervalMs: 5000, ...options };
    this._register(
      options.board.attempts.onChange(({ before, after }) => {
        if (before || after?.version === undefined) return;
        this._demand.set(after.version, (this._demand.get(after.version) ?? 0) + 1);
      }),
    );
  }

  /** Starts the periodic rounds of planning. */
  public start(): void {
    this._timer = this._options.clock.schedule(this._options.intervalMs, () => {
      void this.run().finally(() => {
        if (!this._isDisposed) this.start();
      });
    });
  }

  /** Plans once, and sends the orders, for every service whose lease this host holds. */
  public async run(): Promise<void> {
    const { board, fetchLoadLimit, findLease } = this._options;
    const owned = [...board.services.list()].filter((service) => findLease(service.name)?.isHeld());
    if (owned.length > 0) {
      const loadLimit = await fetchLoadLimit();
      // While the weight store is unavailable, no load can succeed and an unload could not be undone.
      if (loadLimit !== undefined) for (const service of owned) await this._runService(service, loadLimit);
    }
    for (const [version, count] of this._demand) this._demand.set(version, count * DEMAND_DECAY_FACTOR);
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  private async _runService(service: IServiceEntry, loadsPerMinute: number): Promise<void> {
    const { board, clock, maxVersionsPerEngine, planPlacement } = this._options;
    const engines = [...board.endpoints.list()]
      .filter((entry) => entry.kind === 'engine' && entry.service === service.name && isAcceptingWork(entry))
      .map(({ id, report, versions }) => ({ id, versions: report?.versions ?? versions }));
    this._loadTimes = this._loadTimes.filter((at) => clock.now() - at < MINUTE_MS);
    const loadBudget = loadsPerMinute - this._loadTimes.length;
    const demand = this._demand;
    for (const order of planPlacement({ service, engines, demand, loadBudget, maxVersionsPerEngine })) {
      if (!(await this._sendOrder(service.name, order))) return;
    }
  }

  /**
   * Sends one order. Returns false, so that the service's other orders are not sent, when this host does not
   * hold the lease, the endpoint is no longer known, or the engine has received an order of a newer owner.
   */
  private async _sendOrder(service: string, order: IPlacementOrder): Promise<boolean> {
    const { board, clock, findLease, sendOrder } = this._options;
    const lease = findLease(service);
    const fencingToken = lease?.fencingToken();
    const endpoint = board.endpoints.get(order.endpoint);
    if (!lease?.isHeld() || fencingToken === undefined || !endpoint) return false;
    for (let load = 0; load < order.loads; load += 1) this._loadTimes.push(clock.now());
    const result = await sendOrder(endpoint, { fencingToken, versions: order.versions });
    if (result.isErr) return result.error !== 'fenced';
    const versions = result.value;
    const { report } = board.endpoints.get(order.endpoint) ?? {};
    board.endpoints.update(order.endpoint, {
      versions,
      ...(report ? { report: { ...report, versions, receivedAt: clock.now() } } : {}),
    });
    return true;
  }
}

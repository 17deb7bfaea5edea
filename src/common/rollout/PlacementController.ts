import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IServiceEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IPlacementOrder, PlanPlacement } from '../policy/Placement.js';
import { isAcceptingWork } from '../request/Candidates.js';
import type { IClock, Millis } from '../Types.js';
import type { FetchLoadLimit, IOwnerLease, SendOrder } from './Types.js';

/** Options of the placement controller. */
export interface IPlacementOptions {
  board: Blackboard;
  clock: IClock;
  /** Lease on the orders of a service. */
  findLease: (service: string) => IOwnerLease | undefined;
  planPlacement: PlanPlacement;
  sendOrder: SendOrder;
  fetchLoadLimit: FetchLoadLimit;
  /** Most versions that one engine has loaded. Default 2. */
  maxPerEngine?: number;
  /** Time between two plans. Default 5000. */
  intervalMs?: Millis;
}

const MINUTE_MS = 60_000;
/** Weight of older demand at each plan. */
const DEMAND_DISCOUNT = 0.8;

/**
 * Orders engines to load and unload versions while this host holds the service's lease. An order states
 * the whole list, and the engine's report decides at the next plan whether it has to be repeated.
 */
export class PlacementController extends Disposable {
  private readonly _options: Required<IPlacementOptions>;
  private readonly _demand = new Map<string, number>();
  private _loadTimes: Millis[] = [];
  private _timer: IDisposable | undefined;

  constructor(options: IPlacementOptions) {
    super();
    this._options = { maxPerEngine: 2, intervalMs: 5000, ...options };
    this._register(
      options.board.attempts.onChange(({ before, after }) => {
        if (before || after?.version === undefined) return;
        this._demand.set(after.version, (this._demand.get(after.version) ?? 0) + 1);
      }),
    );
  }

  /** Starts to plan at the interval. */
  public start(): void {
    this._timer = this._options.clock.schedule(this._options.intervalMs, () => {
      void this.run().finally(() => {
        if (!this._isDisposed) this.start();
      });
    });
  }

  /** Plans once for every service whose orders this host owns. */
  public async run(): Promise<void> {
    const { board, fetchLoadLimit, findLease } = this._options;
    const owned = [...board.services.list()].filter((service) => findLease(service.name)?.isHeld());
    if (owned.length > 0) {
      const limit = await fetchLoadLimit();
      // Without the weight store no load can succeed, and unloading could not be undone.
      if (limit !== undefined) for (const service of owned) await this._runService(service, limit);
    }
    for (const [version, count] of this._demand) this._demand.set(version, count * DEMAND_DISCOUNT);
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  private async _runService(service: IServiceEntry, loadsPerMinute: number): Promise<void> {
    const { board, clock, maxPerEngine, planPlacement } = this._options;
    const engines = [...board.endpoints.list()]
      .filter((entry) => entry.kind === 'engine' && entry.service === service.name && isAcceptingWork(entry))
      .map(({ id, report, versions }) => ({ id, versions: report?.versions ?? versions }));
    this._loadTimes = this._loadTimes.filter((at) => clock.now() - at < MINUTE_MS);
    const loadBudget = loadsPerMinute - this._loadTimes.length;
    const demand = this._demand;
    for (const order of planPlacement({ service, engines, demand, loadBudget, maxPerEngine })) {
      if (!(await this._sendOrder(service.name, order))) return;
    }
  }

  /** Sends one order; false when another owner has taken over. */
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

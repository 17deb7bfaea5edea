import { Panel } from './Panel.js';
import type {
  IAccountEntry,
  IAttemptEntry,
  IConfigurationEntry,
  IContactEntry,
  IEndpointEntry,
  IFactEntry,
  IFeedEntry,
  IHeldBillEntry,
  IHostEntry,
  IHostLimits,
  ILifecycleEntry,
  IListedHost,
  IPartitionEntry,
  IPrefixEntry,
  IQualityEntry,
  IRequestEntry,
  IRolloutEntry,
  IRoutingTable,
  IServiceEntry,
  ISessionEntry,
  ISuspectEntry,
  IUpdateEntry,
  IWorkEstimate,
} from './Types.js';

/** Called with an error thrown by a controller, so that one fault does not stop the others. */
export type HandleControllerError = (error: unknown) => void;

/** Options of a blackboard. */
export interface IBlackboardOptions {
  /** Default: rethrow in the writer's call. */
  onControllerError?: HandleControllerError;
}

/**
 * Shared state of one host. Controllers subscribe to panels, decide, and write entries back; they
 * never call one another. Notifications run in the order of the writes: a write made while
 * listeners run is notified after them, so no controller is re-entered.
 */
export class Blackboard {
  private readonly _queue: (() => void)[] = [];
  private _isDraining = false;

  public readonly requests = this._createPanel<string, IRequestEntry>();
  public readonly attempts = this._createPanel<string, IAttemptEntry>();
  public readonly endpoints = this._createPanel<string, IEndpointEntry>();
  public readonly services = this._createPanel<string, IServiceEntry>();
  public readonly hosts = this._createPanel<string, IHostEntry>();
  public readonly accounts = this._createPanel<string, IAccountEntry>();
  public readonly partitions = this._createPanel<number, IPartitionEntry>();
  public readonly sessions = this._createPanel<string, ISessionEntry>();
  public readonly suspects = this._createPanel<string, ISuspectEntry>();
  public readonly heldBills = this._createPanel<string, IHeldBillEntry>();
  public readonly prefixes = this._createPanel<string, IPrefixEntry>();
  public readonly estimates = this._createPanel<string, IWorkEstimate>();
  public readonly quality = this._createPanel<string, IQualityEntry>();
  public readonly listedHosts = this._createPanel<string, IListedHost>();
  public readonly updates = this._createPanel<string, IUpdateEntry>();
  public readonly contacts = this._createPanel<'store' | 'peer', IContactEntry>();
  public readonly lifecycle = this._createPanel<'host', ILifecycleEntry>();
  public readonly facts = this._createPanel<string, IFactEntry>();
  public readonly feed = this._createPanel<'store', IFeedEntry>();
  public readonly routing = this._createPanel<'in-force', IRoutingTable>();
  public readonly limits = this._createPanel<'in-force', IHostLimits>();
  public readonly rollouts = this._createPanel<string, IRolloutEntry>();
  public readonly configuration = this._createPanel<'offered' | 'in-force', IConfigurationEntry>();

  constructor(private readonly _options: IBlackboardOptions = {}) {}

  private _createPanel<K, V extends object>(): Panel<K, V> {
    return new Panel<K, V>((notify) => {
      this._queue.push(notify);
      this._drainQueue();
    });
  }

  private _drainQueue(): void {
    if (this._isDraining) return;
    this._isDraining = true;
    try {
      for (let notify = this._queue.shift(); notify; notify = this._queue.shift()) {
        this._runNotification(notify);
      }
    } finally {
      this._isDraining = false;
    }
  }

  private _runNotification(notify: () => void): void {
    const handleError = this._options.onControllerError;
    if (!handleError) {
      notify();
      return;
    }
    try {
      notify();
    } catch (error) {
      handleError(error);
    }
  }
}

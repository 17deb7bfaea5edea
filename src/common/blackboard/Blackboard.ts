import type {
  IAccountDemand,
  ICacheCheck,
  ICachedPrefix,
  IEndpointBacklog,
  IEndpointPrompts,
  IPrefillRate,
  IRecentWaits,
  IServicePrompts,
} from '../estimates/Types.js';
import type { ICallerLoadEntry } from '../memory/Types.js';
import type { IEndpointPathEntry, IRelayEntry } from '../paths/Types.js';
import { Panel } from './Panel.js';
import type {
  IAccountEntry,
  IAttemptEntry,
  IConfigurationEntry,
  IContactEntry,
  ICrashEntry,
  IEndpointEntry,
  IEvacuatedZone,
  IFactEntry,
  IStoreConnectionEntry,
  IHeldBillEntry,
  IHostEntry,
  IHostLimits,
  IHostPresence,
  ILifecycleEntry,
  IListedHost,
  IModelConfidenceEntry,
  IPartitionEntry,
  IPlainEndEntry,
  IPromptBlockEntry,
  IPromptPrefixEntry,
  IQualityEntry,
  IRequestEntry,
  IRolloutEntry,
  IRolloutEvidence,
  IRoutingTable,
  IServiceEntry,
  ISessionEntry,
  ISessionHoldsEntry,
  ICrashSuspectEntry,
  IGossipUpdateEntry,
  IWorkEstimate,
} from './Types.js';

/**
 * Called with an error that a controller throws, so that a fault in one controller does not stop the others.
 */
export type HandleControllerError = (error: unknown) => void;

/** Options of a blackboard. */
export interface IBlackboardOptions {
  /** Default: the error is thrown from the call that wrote the entry. */
  onControllerError?: HandleControllerError;
}

/**
 * Shared state of one host, in panels of entries of one type. Controllers subscribe to panels, decide, and
 * write entries back; they never call one another. Listeners are notified in the order of the writes. A write
 * that a listener makes is notified after the current notification has ended, so no controller is re-entered.
 */
export class Blackboard {
  private readonly _notifications: (() => void)[] = [];
  private _isNotifying = false;

  /** By request id. */
  public readonly requests = this._createPanel<string, IRequestEntry>();
  /** By attempt id. */
  public readonly attempts = this._createPanel<string, IAttemptEntry>();
  /** By endpoint id. */
  public readonly endpoints = this._createPanel<string, IEndpointEntry>();
  /** How plain answers end, by service, release and route. */
  public readonly plainEnds = this._createPanel<string, IPlainEndEntry>();
  /** How this host reaches endpoints, by address. An endpoint without an entry is reached directly. */
  public readonly endpointPaths = this._createPanel<string, IEndpointPathEntry>();
  /** Hosts that failed as relays of late, by host id. */
  public readonly relays = this._createPanel<string, IRelayEntry>();
  /** By name of the service. */
  public readonly services = this._createPanel<string, IServiceEntry>();
  /** Members of the cluster, as gossip reports them, by host id. */
  public readonly hosts = this._createPanel<string, IHostEntry>();
  /** Use of the accounts' limits, by service and account. */
  public readonly accounts = this._createPanel<string, IAccountEntry>();
  /** Partitions of the journal, by number. */
  public readonly partitions = this._createPanel<number, IPartitionEntry>();
  /** Sessions that are pinned to a version, by a key that is derived from the session. */
  public readonly sessions = this._createPanel<string, ISessionEntry>();
  /** Requests that may have crashed endpoints, by fingerprint. */
  public readonly crashSuspects = this._createPanel<string, ICrashSuspectEntry>();
  /** Recent crashes of endpoints that some part of a prompt may have caused, by crash id. */
  public readonly crashes = this._createPanel<string, ICrashEntry>();
  /** Parts of prompts whose requests are refused, by service and parts. */
  public readonly promptBlocks = this._createPanel<string, IPromptBlockEntry>();
  /** Bills that could not be appended to the journal yet, by id. */
  public readonly heldBills = this._createPanel<string, IHeldBillEntry>();
  /** Where prompt prefixes were sent last, by version and hash. */
  public readonly promptPrefixes = this._createPanel<string, IPromptPrefixEntry>();
  /** What endpoints still have to read for this host, and how long attempts waited there, by endpoint id. */
  public readonly endpointBacklogs = this._createPanel<string, IEndpointBacklog>();
  /** How long the last attempts of this host waited, by version. */
  public readonly recentWaits = this._createPanel<string, IRecentWaits>();
  /** How fast endpoints read prompts, by version. */
  public readonly prefillRates = this._createPanel<string, IPrefillRate>();
  /** Prefixes of prompts that this host has sent to endpoints, by endpoint, version and hash. */
  public readonly cachedPrefixes = this._createPanel<string, ICachedPrefix>();
  /** What this host has sent to the current processes of endpoints, by endpoint id. */
  public readonly endpointPrompts = this._createPanel<string, IEndpointPrompts>();
  /** What this host has sent to the endpoints of services, by name of the service. */
  public readonly servicePrompts = this._createPanel<string, IServicePrompts>();
  /** How often prompts were cached as expected, by name of the service. */
  public readonly cacheChecks = this._createPanel<string, ICacheCheck>();
  /** What client accounts have lately asked for, by service, account and request class. */
  public readonly accountDemand = this._createPanel<string, IAccountDemand>();
  /** Smoothed measurements of finished work, by endpoint pool or account. */
  public readonly workEstimates = this._createPanel<string, IWorkEstimate>();
  /** How often models are confident in their answers, by service, model and size of the request. */
  public readonly modelConfidence = this._createPanel<string, IModelConfidenceEntry>();
  /** Ratings and failure counts, by service, kind of request and version. */
  public readonly quality = this._createPanel<string, IQualityEntry>();
  /** Hosts in the platform's host list, by host id. */
  public readonly listedHosts = this._createPanel<string, IListedHost>();
  /** Gossip updates to pass on, by the host or endpoint that they concern. */
  public readonly gossipUpdates = this._createPanel<string, IGossipUpdateEntry>();
  /** When the store and any peer were last heard from. */
  public readonly contacts = this._createPanel<'store' | 'peer', IContactEntry>();
  /** Phase of the host process. */
  public readonly lifecycle = this._createPanel<'host', ILifecycleEntry>();
  /** Decoded values in the store, by store key. */
  public readonly facts = this._createPanel<string, IFactEntry>();
  /** Announcements of the hosts that share the store, by host id. */
  public readonly presentHosts = this._createPanel<string, IHostPresence>();
  /** Zones whose endpoints get no requests, by zone. */
  public readonly evacuatedZones = this._createPanel<string, IEvacuatedZone>();
  /** State of the connection to the store. */
  public readonly storeConnection = this._createPanel<'store', IStoreConnectionEntry>();
  /** Routing table in force. */
  public readonly routing = this._createPanel<'in-force', IRoutingTable>();
  /** Limits that can be changed while the host runs. */
  public readonly limits = this._createPanel<'in-force', IHostLimits>();
  /** What the host holds for callers and endpoints, and whom it has refused for that. */
  public readonly callerLoad = this._createPanel<'host', ICallerLoadEntry>();
  /** Rollouts of releases, by name of the service. */
  public readonly rollouts = this._createPanel<string, IRolloutEntry>();
  /** This host's evidence on the releases of rollouts, by name of the service. */
  public readonly rolloutEvidence = this._createPanel<string, IRolloutEvidence>();
  /** Sessions that stay on the old release during a canary stage, by name of the service. */
  public readonly sessionHolds = this._createPanel<string, ISessionHoldsEntry>();
  /** Encoded configuration: the latest one offered, and the one in force. */
  public readonly configuration = this._createPanel<'offered' | 'in-force', IConfigurationEntry>();

  constructor(private readonly _options: IBlackboardOptions = {}) {}

  private _createPanel<K, V extends object>(): Panel<K, V> {
    return new Panel<K, V>((notify) => {
      this._notifications.push(notify);
      this._runNotifications();
    });
  }

  private _runNotifications(): void {
    if (this._isNotifying) return;
    this._isNotifying = true;
    try {
      for (let notify = this._notifications.shift(); notify; notify = this._notifications.shift()) {
        this._runNotification(notify);
      }
    } finally {
      this._isNotifying = false;
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

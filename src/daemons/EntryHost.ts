import { createHttpStore } from '../adapters/HttpStore.js';
import type { WriteLog } from '../adapters/Logs.js';
import { createStatsdClient, type IStatsdClient } from '../adapters/StatsdClient.js';
import { createUniqueId, hashTexts } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import { DrainController } from '../common/coordination/DrainController.js';
import { isHostReady } from '../common/coordination/Readiness.js';
import { ServiceOwnerController } from '../common/coordination/ServiceOwnerController.js';
import type { IBillTotal, IStore } from '../common/coordination/Types.js';
import { Disposable, toDisposable } from '../common/Lifecycle.js';
import { MetricsController } from '../common/metrics/MetricsController.js';
import { buildStatusReport } from '../common/status/StatusReport.js';
import { TimelineRecorder } from '../common/timeline/TimelineRecorder.js';
import type { ITimelineEvent } from '../common/timeline/Types.js';
import { HostListPoller } from './HostListPoller.js';
import { FrontEnd } from './FrontEnd.js';
import { JournalWiring } from './JournalWiring.js';
import { MembershipWiring } from './MembershipWiring.js';
import { RequestWiring } from './RequestWiring.js';
import type { HostSettings } from './Settings.js';
import { VersionsWiring } from './VersionsWiring.js';

/** Options of an entry host. */
export interface IEntryHostOptions {
  settings: HostSettings;
  log: WriteLog;
  writeEvent: (event: ITimelineEvent) => void;
}

/**
 * An entry host: creates the blackboard, the controllers and their adapters from the settings and connects
 * them.
 */
export class EntryHost extends Disposable {
  private readonly _board: Blackboard;
  private readonly _store: IStore;
  private readonly _membership: MembershipWiring;
  private readonly _journal: JournalWiring;
  private readonly _drainController: DrainController;
  private readonly _frontEnd: FrontEnd;
  private readonly _hostListPoller: HostListPoller;
  private readonly _requests: RequestWiring;
  private readonly _timeline: TimelineRecorder;
  private readonly _serviceOwners: ServiceOwnerController;
  private readonly _versions: VersionsWiring;

  constructor(private readonly _options: IEntryHostOptions) {
    super();
    const { log, settings, writeEvent } = _options;
    const board = new Blackboard({
      onControllerError: (error) => {
        log('error', 'Unhandled error in a controller', { error: String(error) });
      },
    });
    this._board = board;
    const metrics = this._createMetrics();
    this._store = createHttpStore({
      address: settings.platform.store,
      onCall: (operation) => metrics?.sink.count('store.calls', { operation }),
    });
    const readWallClock = (): string => new Date().toISOString();
    this._timeline = this._register(
      new TimelineRecorder({ host: settings.host.id, board, readWallClock, writeEvent }),
    );
    const common = { settings, board, store: this._store, log };
    this._membership = this._register(new MembershipWiring({ ...common, lamport: this._lamport }));
    this._journal = this._register(new JournalWiring({ ...common, sendToPeer: this._membership.sendToPeer }));
    this._frontEnd = this._createFrontEnd();
    this._hostListPoller = this._createHostListPoller();
    this._serviceOwners = this._register(
      new ServiceOwnerController({
        ...common,
        clock: systemClock,
        createId: createUniqueId,
        host: settings.host.id,
        hash: hashTexts,
      }),
    );
    const { findLease } = this._serviceOwners;
    this._versions = this._register(
      new VersionsWiring({ ...common, findLease, sendToPeer: this._membership.sendToPeer }),
    );
    this._requests = this._register(
      new RequestWiring({
        board,
        settings,
        journal: this._journal,
        versions: this._versions,
        sendToPeer: this._membership.sendToPeer,
        deliverChunk: (request, data) => {
          this._frontEnd.deliverChunk(request, data);
        },
      }),
    );
    this._drainController = this._createDrainController();
  }

  /** Port of the peer server; 0 before the start. */
  public get peerPort(): number {
    return this._membership.peerPort;
  }

  /** Starts the host; resolves with the port of the front end. */
  public async start(): Promise<number> {
    await this._membership.start({
      ...this._journal.handlers,
      ...this._versions.peerHandlers,
      ...this._requests.peerHandlers,
      'host.status': () =>
        Promise.resolve(buildStatusReport(this._board, this._options.settings.host.id, systemClock.now())),
    });
    this._versions.start();
    await this._hostListPoller.run();
    await this._journal.start();
    return this._frontEnd.startListening();
  }

  /**
   * Completes the requests in progress, hands over the journal partitions and leases, then stops the host.
   */
  public async stop(): Promise<void> {
    await this._drainController.drain();
    await this._membership.stop();
    this.dispose();
  }

  /** Lists the totals of the bills in the journal partitions that this host owns. */
  public listBillTotals(): IBillTotal[] {
    return this._journal.listBillTotals();
  }

  private readonly _lamport = {
    read: (): number => this._timeline.lamport,
    observe: (lamport: number): void => {
      this._timeline.observeLamport(lamport);
    },
  };

  private _createMetrics(): IStatsdClient | undefined {
    const { log, settings } = this._options;
    const { statsd_host: host, statsd_port: port } = settings.metrics;
    if (host === undefined) return undefined;
    const onError = (error: Error): void => {
      log('warn', 'Metrics could not be sent', { error: error.message });
    };
    const client = createStatsdClient({ host, port, entryHost: settings.host.id, onError });
    const { sink } = client;
    this._register(new MetricsController({ board: this._board, clock: systemClock, sink }));
    this._register(toDisposable(client.close));
    return client;
  }

  private _createDrainController(): DrainController {
    const { log, settings } = this._options;
    return new DrainController({
      board: this._board,
      clock: systemClock,
      graceMs: settings.limits.drain_grace_ms,
      closeFrontEnd: () => this._frontEnd.drain(),
      finishSteps: [() => this._journal.drain(), () => this._serviceOwners.drain()],
      onStepError: (error) => {
        log('error', 'A shutdown step failed', { error: String(error) });
      },
    });
  }

  private _createFrontEnd(): FrontEnd {
    const { host, limits } = this._options.settings;
    return this._register(
      new FrontEnd({
        board: this._board,
        clock: systemClock,
        ip: host.ip,
        port: host.port,
        createId: createUniqueId,
        readWallClock: Date.now,
        isReady: () => isHostReady(this._board, systemClock.now()) && this._journal.isReady(),
        isClosing: () => this._board.lifecycle.get('host')?.phase !== 'serving',
        maxBodyBytes: limits.max_body_bytes,
        bodyTimeoutMs: limits.body_timeout_ms,
      }),
    );
  }

  private _createHostListPoller(): HostListPoller {
    const { log, settings } = this._options;
    return this._register(
      new HostListPoller({
        board: this._board,
        clock: systemClock,
        hostListAddress: settings.platform.host_list,
        intervalMs: settings.platform.host_list_interval_ms,
        log,
      }),
    );
  }
}

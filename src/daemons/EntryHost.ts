import { Agent } from 'undici';
import { configCodec } from '../adapters/ConfigStore.js';
import { runEngineAttempt } from '../adapters/EngineClient.js';
import { createHttpStore } from '../adapters/HttpStore.js';
import type { WriteLog } from '../adapters/Logs.js';
import { runPlainAttempt } from '../adapters/PlainClient.js';
import {
  createPeerClient,
  startPeerServer,
  type IPeerClient,
  type IPeerServer,
} from '../adapters/PeerRpc.js';
import { createUniqueId, hashTexts } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IRequestEntry } from '../common/blackboard/Types.js';
import { ConfigFeed } from '../common/config/ConfigFeed.js';
import type { IBillTotal, IStore } from '../common/coordination/Types.js';
import { Disposable } from '../common/Lifecycle.js';
import { decideAdmission } from '../common/policy/Admission.js';
import { compareByPriority, createChooseLeastInFlight } from '../common/policy/Endpoints.js';
import { createDecideRetry } from '../common/policy/Retries.js';
import { chooseCheapestExpected } from '../common/policy/Versions.js';
import { AdmissionController } from '../common/request/AdmissionController.js';
import { AttemptController } from '../common/request/AttemptController.js';
import { BillController } from '../common/request/BillController.js';
import { ClaimController } from '../common/request/ClaimController.js';
import { CleanUpController } from '../common/request/CleanUpController.js';
import { DeadlineController } from '../common/request/DeadlineController.js';
import { OutcomeController } from '../common/request/OutcomeController.js';
import { RouteController } from '../common/request/RouteController.js';
import type { RunAttempt } from '../common/request/Types.js';
import { VersionController } from '../common/request/VersionController.js';
import { TimelineRecorder } from '../common/timeline/TimelineRecorder.js';
import type { ITimelineEvent } from '../common/timeline/Types.js';
import { EndpointTracker } from './EndpointTracker.js';
import { encodeStoredAnswer } from './Encoding.js';
import { FrontEnd } from './FrontEnd.js';
import { HostTracker } from './HostTracker.js';
import { JournalWiring } from './JournalWiring.js';
import type { HostSettings } from './Settings.js';

/** Options of an entry host. */
export interface IEntryHostOptions {
  settings: HostSettings;
  log: WriteLog;
  writeEvent: (event: ITimelineEvent) => void;
}

/** One entry host: the blackboard, its controllers and their adapters, wired from settings. */
export class EntryHost extends Disposable {
  private readonly _board: Blackboard;
  private readonly _store: IStore;
  private readonly _peers: IPeerClient;
  private readonly _journal: JournalWiring;
  private readonly _hosts: HostTracker;
  private readonly _feed: ConfigFeed;
  private readonly _frontEnd: FrontEnd;
  private readonly _tracker: EndpointTracker;
  private readonly _agent = new Agent({ connections: 256, pipelining: 1 });
  private readonly _timeline: TimelineRecorder;
  private _peerServer: IPeerServer | undefined;
  private _isDraining = false;

  constructor(private readonly _options: IEntryHostOptions) {
    super();
    const { log, settings, writeEvent } = _options;
    const board = new Blackboard({
      onControllerError: (error) => {
        log('error', 'A controller failed', { error: String(error) });
      },
    });
    this._board = board;
    this._store = createHttpStore({ address: settings.platform.store });
    const readWallClock = (): string => new Date().toISOString();
    this._timeline = this._register(
      new TimelineRecorder({ host: settings.host.id, board, readWallClock, writeEvent }),
    );
    this._peers = this._createPeers();
    this._journal = this._register(
      new JournalWiring({ settings, board, store: this._store, send: this._peers.send, log }),
    );
    this._hosts = this._createHostTracker();
    this._feed = this._register(
      new ConfigFeed({ board, store: this._store, clock: systemClock, codec: configCodec }),
    );
    this._frontEnd = this._createFrontEnd();
    this._tracker = this._createTracker();
    this._registerControllers();
  }

  /** Port for other hosts; 0 before the start. */
  public get peerPort(): number {
    return this._peerServer?.port ?? 0;
  }

  /** Starts all parts; resolves with the port for callers. */
  public async start(): Promise<number> {
    void this._feed.run();
    await this._tracker.run();
    await this._hosts.run(await this._startPeerServer());
    await this._journal.start();
    return this._frontEnd.startListening();
  }

  /** Finishes every request and stops. */
  public async stop(): Promise<void> {
    this._isDraining = true;
    await this._frontEnd.drain();
    this._hosts.markLeaving();
    await this._journal.drain();
    this.dispose();
  }

  /** Adds up the bills of the partitions that this host owns. */
  public listTotals(): IBillTotal[] {
    return this._journal.listTotals();
  }

  public override dispose(): void {
    super.dispose();
    void this._agent.close();
    void this._peers.close();
    void this._peerServer?.close();
  }

  private _createPeers(): IPeerClient {
    const { host } = this._options.settings;
    const findAddress = (id: string): string | undefined => this._board.hosts.get(id)?.address;
    return createPeerClient({ host: host.id, key: host.peer_key, lamport: this._lamport, findAddress });
  }

  /** Resolves with the address of the peer port. */
  private async _startPeerServer(): Promise<string> {
    const { id, ip, peer_key, peer_port } = this._options.settings.host;
    const { handlers } = this._journal;
    const common = { host: id, key: peer_key, lamport: this._lamport };
    this._peerServer = await startPeerServer({ ...common, ip, port: peer_port, handlers });
    return `${ip}:${this._peerServer.port}`;
  }

  private readonly _lamport = {
    read: (): number => this._timeline.lamport,
    observe: (lamport: number): void => {
      this._timeline.observeLamport(lamport);
    },
  };

  private _createHostTracker(): HostTracker {
    const { log, settings } = this._options;
    return this._register(
      new HostTracker({
        board: this._board,
        clock: systemClock,
        hostList: settings.platform.host_list,
        intervalMs: settings.platform.host_list_interval_ms,
        host: settings.host.id,
        zone: settings.host.zone,
        log,
      }),
    );
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
        isReady: () => this._feed.revision > 0 && this._journal.isReady() && !this._isDraining,
        maxBodyBytes: limits.max_body_bytes,
        bodyTimeoutMs: limits.body_timeout_ms,
      }),
    );
  }

  private _createTracker(): EndpointTracker {
    const { log, settings } = this._options;
    return this._register(
      new EndpointTracker({
        board: this._board,
        clock: systemClock,
        hostList: settings.platform.host_list,
        intervalMs: settings.platform.host_list_interval_ms,
        log,
      }),
    );
  }

  private _registerControllers(): void {
    const { holdBill, journal } = this._journal;
    const common = { board: this._board, clock: systemClock, journal, readWallClock: Date.now };
    const { zone } = this._options.settings.host;
    this._register(
      new AdmissionController({
        ...common,
        decideAdmission,
        takeRateShare: () => true,
        isDraining: () => this._isDraining,
      }),
    );
    const retentionMs = this._options.settings.journal.claim_retention_hours * 3_600_000;
    this._register(new ClaimController({ ...common, hashKey, retentionMs, holdEntries: holdBill }));
    this._register(new VersionController({ ...common, chooseVersion: chooseCheapestExpected, hashSession }));
    const chooseEndpoint = createChooseLeastInFlight(Math.random);
    const createId = createUniqueId;
    this._register(
      new RouteController({ ...common, chooseEndpoint, compareQueued: compareByPriority, createId, zone }),
    );
    this._register(
      new AttemptController({
        ...common,
        runAttempt: this._runAttempt,
        deliverChunk: (request, data) => {
          this._frontEnd.deliverChunk(request, data);
        },
      }),
    );
    const decideRetry = createDecideRetry(Math.random);
    this._register(
      new OutcomeController({
        ...common,
        decideRetry,
        takeRetryBudget: () => true,
        hashKey,
        holdEntries: holdBill,
      }),
    );
    this._register(new BillController({ ...common, hashKey, encodeAnswer: encodeStoredAnswer, holdBill }));
    this._register(new DeadlineController(common));
    this._register(new CleanUpController(this._board));
  }

  private readonly _runAttempt: RunAttempt = (call, onPart) =>
    call.request.target.kind === 'plain'
      ? runPlainAttempt({ dispatcher: this._agent }, call)
      : runEngineAttempt({ clock: systemClock, dispatcher: this._agent }, call, onPart);
}

function hashKey(request: IRequestEntry): string {
  return hashTexts('request', request.service, request.account, request.idempotencyKey ?? request.id);
}

function hashSession(request: IRequestEntry): string {
  return hashTexts('session', request.service, request.account, request.session ?? '');
}

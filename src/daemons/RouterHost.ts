import { hashTexts, createUniqueId } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IRefusal } from '../common/blackboard/Types.js';
import { DrainController } from '../common/coordination/DrainController.js';
import { createEstimateAnswer, createMeasurePressure } from '../common/estimates/AnswerEstimates.js';
import {
  findConfidentShare,
  ModelConfidenceController,
} from '../common/estimates/ModelConfidenceController.js';
import { createFindHolders } from '../common/estimates/CachedPrompts.js';
import { EndpointSpeedController } from '../common/estimates/EndpointSpeedController.js';
import { createEstimateRequestWork } from '../common/estimates/RequestWork.js';
import { AccountDemandController } from '../common/request/AccountDemandController.js';
import { BacklogController } from '../common/estimates/BacklogController.js';
import { ColdEndpointController } from '../common/fleet/ColdEndpointController.js';
import { CrashDetector } from '../common/fleet/CrashDetector.js';
import { CrashEvidenceController } from '../common/fleet/CrashEvidenceController.js';
import { CrashSuspectController } from '../common/fleet/CrashSuspectController.js';
import { EndpointRegistryController } from '../common/fleet/EndpointRegistryController.js';
import { FactOwnerController } from '../common/fleet/FactOwnerController.js';
import { FactSyncController, type INewsPeers } from '../common/fleet/FactSyncController.js';
import { FleetRolloutController } from '../common/fleet/FleetRolloutController.js';
import { RolloutEvidenceController } from '../common/fleet/RolloutEvidenceController.js';
import { HostPresenceController } from '../common/fleet/HostPresenceController.js';
import { PromptBlockController } from '../common/fleet/PromptBlockController.js';
import { PlanController } from '../common/fleet/PlanController.js';
import { createChooseModels, createChooseRelease } from '../common/fleet/VersionChoice.js';
import { computeHoldExchangeMs, SessionHoldController } from '../common/fleet/SessionHoldController.js';
import { RateLimitController } from '../common/fleet/RateLimitController.js';
import { RoutingTableController } from '../common/fleet/RoutingTableController.js';
import type { IFactStore, IHostLimits } from '../common/fleet/Types.js';
import { ZoneEvacuationController } from '../common/fleet/ZoneEvacuationController.js';
import { Disposable, toDisposable, type IDisposable } from '../common/Lifecycle.js';
import { MetricsController } from '../common/metrics/MetricsController.js';
import { SpeedMetricsController } from '../common/metrics/SpeedMetricsController.js';
import { PromptMetricsController } from '../common/metrics/PromptMetricsController.js';
import type { IMetricsSink } from '../common/metrics/Types.js';
import { NewsLog } from '../common/news/NewsLog.js';
import { NewsPublisher, type INewsPublisherOptions } from '../common/news/NewsPublisher.js';
import { NewsSources } from '../common/news/NewsSources.js';
import type { DecodePassedFact, INewsNetwork, INewsNetworkContext } from '../common/news/Types.js';
import { EndpointPathController } from '../common/paths/EndpointPathController.js';
import type { IPathPlanner, ITunnelContext } from '../common/paths/Types.js';
import { decideAnswerEnd } from '../common/policy/AnswerEnds.js';
import { createChooseByAffinity } from '../common/policy/Affinity.js';
import { createDecideColdPaces } from '../common/policy/ColdPaces.js';
import { findCrashingParts } from '../common/policy/CrashingParts.js';
import { decideHealthByFailures } from '../common/policy/Health.js';
import { createChooseEarliestStart } from '../common/policy/EarliestStart.js';
import { createDecideEscalationByEstimate } from '../common/policy/EarlyEscalation.js';
import { createRefuseIfOverloaded } from '../common/policy/Overload.js';
import { FAIR_ORDER, refuseIfWaitReachesDeadline } from '../common/policy/Queueing.js';
import {
  createComputeAttemptInterval,
  createComputeSharedInterval,
  splitColdRate,
} from '../common/policy/RateLimitShares.js';
import { createDecideRetry } from '../common/policy/Retries.js';
import { computeRefusalPause } from '../common/policy/RefusalPauses.js';
import { createChooseRelays } from '../common/policy/Relays.js';
import { decideReleaseRollout } from '../common/policy/ReleaseRollouts.js';
import { createDecideSilence } from '../common/policy/Silence.js';
import { limitBySlots } from '../common/policy/SlotLimits.js';
import { AnswerEndController } from '../common/request/AnswerEndController.js';
import { AdmissionController } from '../common/request/AdmissionController.js';
import { AttemptController } from '../common/request/AttemptController.js';
import { isAcceptingWork } from '../common/request/Candidates.js';
import { CleanUpController } from '../common/request/CleanUpController.js';
import { DeadlineController } from '../common/request/DeadlineController.js';
import { EndpointIndex } from '../common/request/EndpointIndex.js';
import { EndpointPauseController } from '../common/request/EndpointPauseController.js';
import { HealthController } from '../common/request/HealthController.js';
import { InFlightLimitController } from '../common/request/InFlightLimitController.js';
import { EarlyEscalationController } from '../common/request/EarlyEscalationController.js';
import { OutcomeController } from '../common/request/OutcomeController.js';
import { RefusalPauseController } from '../common/request/RefusalPauseController.js';
import { refuseUnfinished } from '../common/request/Refusals.js';
import { RouteController } from '../common/request/RouteController.js';
import { ServiceRetryBudgets } from '../common/request/ServiceRetryBudgets.js';
import { createMayStandStill } from '../common/request/Standstill.js';
import type {
  CheckRun,
  DecideAdmission,
  DecideSilence,
  IWrittenAnswer,
  RunAttempt,
} from '../common/request/Types.js';
import { WorkEstimateController } from '../common/request/WorkEstimateController.js';
import {
  chooseTarget,
  matchCall,
  type ICallAddress,
  type IMatchedCall,
} from '../common/routes/RouteMatch.js';
import { CallerLoadController } from '../common/memory/CallerLoadController.js';
import { MemoryBudget } from '../common/memory/MemoryBudget.js';
import { computeMemoryBudget } from '../common/memory/MemoryLimits.js';
import { chooseStalledHolders } from '../common/memory/Relief.js';
import type { CallerLimitCause } from '../common/memory/Types.js';
import {
  createDescribeChoice,
  type ChoiceReport,
  type DescribeChoice,
  type IChoiceQuestion,
} from '../common/status/ChoiceReport.js';
import { DecisionRecorder } from '../common/timeline/DecisionRecorder.js';
import { TimelineRecorder } from '../common/timeline/TimelineRecorder.js';
import type { ITimelineEvent } from '../common/timeline/Types.js';
import type { Millis } from '../common/Types.js';

/**
 * Server that accepts calls, writes them to the `requests` panel and returns their outcomes to the callers.
 */
export interface IFrontEnd {
  startListening: () => Promise<void>;
  drain: () => Promise<void>;
  deliverChunk: (request: string, data: unknown) => void;
  dispose: () => void;
  /** Number of connections of callers. */
  readonly connectionCount: number;
}

/** State and functions of the host that its front end uses. */
export interface IFrontEndContext {
  board: Blackboard;
  /** Finds the route and the account of a call. */
  matchCall: (address: ICallAddress) => ReturnType<typeof matchCall>;
  /** Chooses the service of a route for a session or call. */
  chooseService: (matched: IMatchedCall, session: string) => string;
  /** Called for each call that is refused before it is written to the `requests` panel. */
  onRefused: (id: string, refusal: IRefusal) => void;
  /** Called for each whole answer whose caller may not have received it as its endpoint sent it. */
  onAnswered: (id: string, answer: IWrittenAnswer) => void;
  /** Whether the load balancer should send calls to this host. */
  isReady: () => boolean;
  /** Whether callers should send their next calls to other hosts. */
  isClosing: () => boolean;
  /** Whether the host no longer accepts calls. */
  hasStoppedAccepting: () => boolean;
  /** Budget of the memory that is held for callers. */
  memory: MemoryBudget;
  /** Called when a limit on memory, time or connections was applied to a caller. */
  onLimited: (cause: CallerLimitCause) => void;
}

/** Functions that send requests to endpoints. */
export interface IEndpointClient {
  runAttempt: RunAttempt;
  checkRun: CheckRun;
  /** Leaves the kept connections to an endpoint's address behind. */
  renewConnections: (address: string) => void;
}

/**
 * Options of a router host. Adapters are passed in, so the host does not depend on the encoding of messages.
 */
export interface IRouterHostOptions {
  id: string;
  zone: string;
  store: IFactStore;
  createEndpointClient: (
    decideSilence: DecideSilence,
    paths: IPathPlanner,
    memory: MemoryBudget,
  ) => IEndpointClient;
  createFrontEnd: (context: IFrontEndContext) => IFrontEnd;
  sink: IMetricsSink;
  writeEvent: (event: ITimelineEvent) => void;
  onError: (error: unknown) => void;
  limits: IHostLimits;
  /** Other hosts that read the store for this one, or for which this one does. Default: each host reads it itself. */
  peers?: IRouterPeers;
}

/** How this host and the others reach one another. */
export interface IRouterPeers {
  /** `ip:port` where this host answers the others. */
  address: string;
  createNetwork: (context: INewsNetworkContext) => INewsNetwork;
  decodeFact: DecodePassedFact;
}

/**
 * Share of the allowed extra attempts that a host uses. The rest is a margin, because each host counts its
 * attempts in a time window of its own.
 */
const RETRY_BUDGET_SAFETY_FACTOR = 0.75;

/**
 * Largest number of unused extra attempts that a host keeps for later, per service. It is small because
 * several hosts may use theirs within the same second.
 */
const RETRY_BUDGET_CAPACITY = 6;

/** Time until the load balancer notices that a host is not ready: two readiness checks, one second apart. */
const BALANCER_DELAY_MS: Millis = 2500;

/**
 * How long before the end of a stop the requests that still run are refused. The process exits 300 ms before
 * that end, and the refusals have to reach their callers by then.
 */
const LAST_ANSWER_MARGIN_MS: Millis = 450;

/**
 * Interval at which the latency of endpoints with attempts in flight is sampled. A router uses only the
 * waiting time for the first output from these samples, and only waiting times above 500 ms affect its
 * decisions.
 */
const SAMPLE_INTERVAL_MS: Millis = 400;

/** Endpoints stop work at the deadline that they were given. This is for the way there and back. */
const OVERDUE_LIMIT_MS: Millis = 1000;

/**
 * Kinds of events that are not logged, because the next event of the same request or attempt contains the
 * same information.
 */
const UNLOGGED_KINDS: ReadonlySet<string> = new Set([
  'request.admitted',
  'request.running',
  'request.answered',
  'attempt.planned',
  'attempt.doubted',
]);

/** Number of hexadecimal digits of a hash that are mapped to a fraction from 0 up to but excluding 1. */
const HASH_DIGITS = 8;
/** Number of hexadecimal digits by which hosts identify a session to one another. */
const SESSION_HASH_DIGITS = 12;
const HASH_RANGE = 16 ** HASH_DIGITS;

/**
 * A router host, which has no journal: wires the blackboard and its controllers to the adapters that are
 * passed in.
 */
export class RouterHost extends Disposable {
  private readonly _board: Blackboard;
  private readonly _factFeed: FactSyncController;
  private readonly _frontEnd: IFrontEnd;
  private readonly _drainController: DrainController;
  private readonly _timeline: TimelineRecorder;
  private readonly _store: IFactStore;
  private readonly _callerLoad: CallerLoadController;
  /** Memory that is held for callers and endpoints together. */
  private readonly _memory = new MemoryBudget({
    readBudgetBytes: () => computeMemoryBudget(this._limits),
    now: () => systemClock.now(),
    chooseHolders: chooseStalledHolders,
    onAnswerDropped: () => {
      this._callerLoad.recordLimited('answer-memory');
    },
  });
  private _newsNetwork: INewsNetwork | undefined;
  private _describeChoice: DescribeChoice = () => ({ kind: 'unknown-version', versions: [] });
  /** During a stop, the time at which requests in progress are ended. */
  private _answersEndAt: Millis = -Infinity;

  constructor(private readonly _options: IRouterHostOptions) {
    super();
    const board = new Blackboard({ onControllerError: _options.onError });
    this._board = board;
    this.applyLimits(_options.limits);
    this._timeline = this._createTimeline();
    this._callerLoad = this._register(
      new CallerLoadController({
        board,
        clock: systemClock,
        readMemory: () => this._memory,
        countConnections: () => this._frontEnd.connectionCount,
      }),
    );
    const owner = new FactOwnerController({
      board,
      clock: systemClock,
      random: Math.random,
      host: _options.id,
      store: _options.store,
    });
    this._store = { ..._options.store, ...this._register(owner).writers };
    const peers = this._createNewsPeers();
    this._factFeed = this._register(
      new FactSyncController({
        board,
        clock: systemClock,
        random: Math.random,
        store: _options.store,
        ...(peers ? { peers } : {}),
      }),
    );
    this._register(
      this._factFeed.onRefused(({ era, key, revision, verdict }) => {
        this._timeline.record('fact.refused', { key, verdict, revision, era });
      }),
    );
    this._registerFleet();
    this._registerRequests();
    this._frontEnd = this._register(
      _options.createFrontEnd({
        board,
        matchCall: (address) => matchCall(board.routing.get('in-force'), address),
        chooseService,
        onRefused: (id, { code, ran }) => {
          const config = board.routing.get('in-force')?.version;
          this._timeline.record('call.refused', { request: id, code, ran, config });
        },
        onAnswered: (id, answer) => {
          this._timeline.record('call.answered', { request: id, ...answer });
        },
        isReady: this._isReady,
        isClosing: () => board.lifecycle.get('host')?.phase !== 'serving',
        hasStoppedAccepting: () => hasStoppedAccepting(board),
        memory: this._memory,
        onLimited: this._callerLoad.recordLimited,
      }),
    );
    this._drainController = new DrainController({
      board,
      clock: systemClock,
      closeFrontEnd: () => this._frontEnd.drain(),
      finishSteps: [() => this._drainTunnels()],
      onStepError: _options.onError,
    });
  }

  /** Starts to watch the store and to accept calls. */
  public async start(): Promise<void> {
    void this._factFeed.run();
    await Promise.all([this._frontEnd.startListening(), this._startNewsNetwork()]);
  }

  /** Completes the requests in progress, then stops the host. */
  public async stop(): Promise<void> {
    const { shutdownTimeoutMs } = this._limits;
    const lastCall = systemClock.schedule(shutdownTimeoutMs - LAST_ANSWER_MARGIN_MS, () => {
      refuseUnfinished(this._board);
    });
    this._answersEndAt = systemClock.now() + shutdownTimeoutMs - LAST_ANSWER_MARGIN_MS;
    await this._drainController.drain(Math.min(BALANCER_DELAY_MS, shutdownTimeoutMs / 2));
    lastCall.dispose();
    this.dispose();
  }

  /** Waits until other hosts have no requests in progress by way of this one, for as long as the stop allows. */
  private async _drainTunnels(): Promise<void> {
    if (!this._newsNetwork) return;
    let timer: IDisposable | undefined;
    const timedOut = new Promise<void>((resolve) => {
      timer = systemClock.schedule(Math.max(0, this._answersEndAt - systemClock.now()), resolve);
    });
    await Promise.race([this._newsNetwork.drainTunnels(), timedOut]);
    timer?.dispose();
  }

  /** Replaces the limits in force. The new limits apply to later requests; earlier decisions stay. */
  public applyLimits(limits: IHostLimits): void {
    this._board.limits.set('in-force', limits);
  }

  /**
   * Records a timeline event that is not derived from a panel, such as a start or a reload of the settings.
   */
  public recordEvent(kind: string, fields: ITimelineEvent['fields']): void {
    this._timeline.record(kind, fields);
  }

  /** Tells where a request would go now, and why, without sending it. */
  public describeChoice(question: IChoiceQuestion): ChoiceReport {
    return this._describeChoice(question);
  }

  /** Creates the parts by which hosts read the store for one another; `undefined` if this host has no peers. */
  private _createNewsPeers(): INewsPeers | undefined {
    const { id: host, peers } = this._options;
    if (!peers) return undefined;
    const common = { board: this._board, clock: systemClock };
    const log = this._register(new NewsLog(systemClock));
    const onReply: INewsPublisherOptions['onReply'] = (reply, bytes) => {
      this._options.sink.count('news.sent_bytes', { reply }, bytes);
    };
    const publisher = this._register(new NewsPublisher({ ...common, log, onReply }));
    const network = peers.createNetwork({
      findHost: (id) => this._board.presentHosts.get(id),
      handleQuestion: (position, waitMs) => publisher.handleQuestion(position, waitMs),
      tunnels: this._createTunnelContext(),
      lamport: {
        read: () => this._timeline.lamport,
        observe: (lamport) => {
          this._timeline.observeLamport(lamport);
        },
      },
    });
    this._newsNetwork = network;
    this._register(toDisposable(network.close));
    const { askForNews } = network;
    const { decodeFact } = peers;
    return { sources: new NewsSources({ ...common, host, hashTexts }), askForNews, decodeFact, log };
  }

  private _createTunnelContext(): ITunnelContext {
    const { endpoints, lifecycle, presentHosts } = this._board;
    return {
      isEndpoint: (target) => [...endpoints.list()].some(({ address }) => address === target),
      isEndpointOpen: (target) =>
        [...endpoints.list()].some(
          (endpoint) =>
            endpoint.address === target &&
            isAcceptingWork(endpoint) &&
            endpoint.hasSaidLeaving !== true &&
            endpoint.pausedUntil === undefined,
        ),
      isHost: (host, ip) => presentHosts.get(host)?.address?.startsWith(`${ip}:`) ?? false,
      isServing: () => lifecycle.get('host')?.phase === 'serving',
      onRefused: (host, target, reason) => {
        this._timeline.record('tunnel.refused', { host, target, reason });
      },
    };
  }

  /** Starts to answer other hosts. One that cannot listen serves calls all the same; the others read elsewhere. */
  private async _startNewsNetwork(): Promise<void> {
    try {
      await this._newsNetwork?.startListening();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this._timeline.record('news.not-offered', { reason });
    }
  }

  private get _limits(): IHostLimits {
    return this._board.limits.get('in-force') ?? this._options.limits;
  }

  private readonly _isReady = (): boolean =>
    this._board.routing.has('in-force') && this._board.lifecycle.get('host')?.phase === 'serving';

  private _createTimeline(): TimelineRecorder {
    const { id, sink, writeEvent } = this._options;
    const board = this._board;
    const readWallClock = (): string => new Date().toISOString();
    const isKindWritten = (kind: string): boolean => !UNLOGGED_KINDS.has(kind);
    const timeline = this._register(
      new TimelineRecorder({ host: id, board, readWallClock, writeEvent, isKindWritten }),
    );
    const record = timeline.record.bind(timeline);
    this._register(new DecisionRecorder({ board, clock: systemClock, record }));
    this._register(new MetricsController({ board, clock: systemClock, sink }));
    this._register(new PromptMetricsController(board, sink));
    this._register(new SpeedMetricsController(board, sink));
    return timeline;
  }

  private _registerFleet(): void {
    const { id } = this._options;
    const store = this._store;
    const common = { board: this._board, clock: systemClock };
    this._register(new RoutingTableController(this._board));
    // Before the controllers that read its panel: these find the endpoints marked.
    this._register(new ZoneEvacuationController(common));
    this._register(new EndpointRegistryController(common));
    const address = this._options.peers?.address;
    this._register(
      new HostPresenceController({
        ...common,
        host: id,
        store,
        readWallClock: Date.now,
        random: Math.random,
        ...(address === undefined ? {} : { location: { address, zone: this._options.zone } }),
      }),
    );
    this._register(
      new RateLimitController({
        ...common,
        host: id,
        store,
        random: Math.random,
        computeAttemptInterval: createComputeAttemptInterval(hashTexts),
      }),
    );
    this._register(
      new ColdEndpointController({
        ...common,
        host: id,
        random: Math.random,
        decideColdPaces: createDecideColdPaces(createComputeSharedInterval(hashTexts, splitColdRate)),
      }),
    );
    this._register(new ModelConfidenceController(common));
    this._register(new RolloutEvidenceController({ ...common, host: id, store }));
    this._register(
      new FleetRolloutController({
        ...common,
        random: Math.random,
        host: id,
        store,
        decideRollout: decideReleaseRollout,
      }),
    );
    this._register(
      new PlanController({
        ...common,
        chooseModels: createChooseModels({
          findConfidentShare: (request, model) => findConfidentShare(common.board, request, model),
        }),
        chooseRelease: createChooseRelease({
          readCanaryDelayMs: () => computeHoldExchangeMs(this._limits.maxApplyDelayMs),
        }),
        hashToFraction,
        hashSession,
      }),
    );
    this._register(
      new SessionHoldController({
        ...common,
        host: id,
        store,
        hashToFraction,
        hashSession,
      }),
    );
  }

  private _registerRequests(): void {
    const { createEndpointClient, id, zone } = this._options;
    const store = this._store;
    const board = this._board;
    const common = { board, clock: systemClock };
    const readRetryShare = (): number => RETRY_BUDGET_SAFETY_FACTOR * this._limits.maxRetryShare;
    const retryBudgets = this._register(
      new ServiceRetryBudgets(board, { readRetryShare, capacity: RETRY_BUDGET_CAPACITY }),
    );
    const takeRetryBudget = retryBudgets.takeAttempt;
    const index = this._register(
      new EndpointIndex({ board, host: id, zone, hashTexts, subsetSize: Infinity }),
    );
    const estimates = { ...common, index, zone };
    const paths = this._register(
      new EndpointPathController({ ...common, host: id, zone, chooseRelays: createChooseRelays(hashTexts) }),
    );
    const mayStandStill = createMayStandStill({ ...common, isVerdictSound: paths.isVerdictSound });
    const { checkRun, renewConnections, runAttempt } = createEndpointClient(
      createDecideSilence({ hasBudget: retryBudgets.hasAttempt, mayStandStill }),
      paths,
      this._memory,
    );
    this._register(paths.onRenewal(renewConnections));
    const { onCrash } = this._registerCrashDetector(checkRun, paths.isVerdictSound);
    const suspects = this._register(new CrashSuspectController({ ...common, host: id, store, onCrash }));
    const readWallClock = Date.now;
    this._register(new CrashEvidenceController({ ...common, host: id, store, onCrash, readWallClock }));
    this._register(new PromptBlockController({ ...common, store, findCrashingParts, readWallClock }));
    const isDraining = (): boolean => hasStoppedAccepting(board);
    const takeRateShare = (): boolean => true;
    this._register(
      new AdmissionController({
        ...common,
        decideAdmission: suspects.protectAdmission(decideRoutedAdmission),
        takeRateShare,
        isDraining,
      }),
    );
    this._register(new WorkEstimateController(board));
    this._register(new EndpointSpeedController(board));
    const findHolders = createFindHolders(hashToFraction);
    this._register(new BacklogController({ ...common, findHolders }));
    // Registered before the route controller, which decides by the demand with the new request in it.
    this._register(
      new AccountDemandController({
        ...common,
        estimateWork: createEstimateRequestWork({ ...common, index }),
      }),
    );
    this._register(new EndpointPauseController(common));
    this._register(new RefusalPauseController({ ...common, computePause: computeRefusalPause }));
    this._register(new InFlightLimitController({ ...common, adaptLimit: limitBySlots }));
    this._register(new HealthController({ ...common, index, decideHealth: decideHealthByFailures }));
    const chooseForPrompt = createChooseEarliestStart({
      board,
      random: Math.random,
      hashToFraction,
      findHolders,
    });
    const chooseEndpoint = createChooseByAffinity({ random: Math.random, hashToFraction, chooseForPrompt });
    this._describeChoice = createDescribeChoice({ ...common, index, zone, chooseEndpoint });
    this._register(
      new RouteController({
        ...common,
        index,
        zone,
        createId: createUniqueId,
        chooseEndpoint,
        queueOrder: FAIR_ORDER,
        decideQueued: createRefuseIfOverloaded({
          random: Math.random,
          decideQueued: refuseIfWaitReachesDeadline,
        }),
        measurePressure: createMeasurePressure(estimates),
        isChosenVersionAllowed: () => true,
        random: Math.random,
      }),
    );
    this._register(
      new AttemptController({
        ...common,
        runAttempt,
        sampleIntervalMs: SAMPLE_INTERVAL_MS,
        deliverChunk: (request, data) => {
          this._frontEnd.deliverChunk(request, data);
        },
      }),
    );
    this._register(
      new EarlyEscalationController({
        ...common,
        decideEarlyEscalation: createDecideEscalationByEstimate(),
        estimateAnswer: createEstimateAnswer(estimates),
        takeRetryBudget,
      }),
    );
    const decideRetry = suspects.protectRetry(createDecideRetry(Math.random));
    this._register(new OutcomeController({ ...common, decideRetry, takeRetryBudget }));
    this._register(new AnswerEndController({ ...common, checkRun, decideAnswerEnd }));
    this._register(new DeadlineController({ ...common, overdueLimitMs: OVERDUE_LIMIT_MS }));
    this._register(new CleanUpController(board));
  }

  /** Detects crashes of endpoints, and records the parts of the prompts that were in flight without output. */
  private _registerCrashDetector(
    checkRun: CheckRun,
    isVerdictSound: (address: string) => boolean,
  ): CrashDetector {
    const options = { board: this._board, clock: systemClock, checkRun, isVerdictSound };
    const detector = this._register(new CrashDetector(options));
    this._register(
      detector.onCrash(({ attempts, endpoint, id }) => {
        const withoutOutput = attempts.filter(({ hasOutput }) => !hasOutput);
        const prompts = withoutOutput.map(
          ({ request, sharedParts }) => `${request}=${sharedParts.join('+')}`,
        );
        this._timeline.record('endpoint.crashed', {
          endpoint,
          crash: id,
          attempts: attempts.length,
          withoutOutput: prompts.join(' '),
        });
      }),
    );
    return detector;
  }
}

/**
 * Admits requests whose route and account are already known, unless the host no longer accepts requests or
 * the deadline has passed.
 */
const decideRoutedAdmission: DecideAdmission = ({ isDraining, now, request }) => {
  if (isDraining) return refuse('draining', 'The host is shutting down.');
  if (request.deadlineAt <= now) return refuse('deadline_exceeded', 'The deadline has passed.');
  return { kind: 'admit' };
};

function refuse(code: IRefusal['code'], message: string) {
  return { kind: 'refuse' as const, refusal: { code, message, ran: 'no' as const, retryAfterMs: 300 } };
}

function chooseService({ route }: IMatchedCall, session: string): string {
  return chooseTarget(route.targets, hashToFraction(`${route.name}/${session}`)) ?? '';
}

function hashToFraction(text: string): number {
  return parseInt(hashTexts(text).slice(0, HASH_DIGITS), 16) / HASH_RANGE;
}

function hashSession(sessionKey: string): string {
  return hashTexts(sessionKey).slice(0, SESSION_HASH_DIGITS);
}

/**
 * Tells whether new calls are refused. This is the case from the phase `closing` on: the load balancer has
 * noticed the stop by then, and a call can arrive only on a connection that had a call in progress.
 */
function hasStoppedAccepting(board: Blackboard): boolean {
  const phase = board.lifecycle.get('host')?.phase;
  return phase !== 'serving' && phase !== 'leaving';
}

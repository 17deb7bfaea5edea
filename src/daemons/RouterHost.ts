import { hashTexts, createUniqueId } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IRefusal } from '../common/blackboard/Types.js';
import { DrainController } from '../common/coordination/DrainController.js';
import { CrashSuspectController } from '../common/fleet/CrashSuspectController.js';
import { EndpointRegistryController } from '../common/fleet/EndpointRegistryController.js';
import { FactFeedController } from '../common/fleet/FactFeedController.js';
import { FleetRolloutController } from '../common/fleet/FleetRolloutController.js';
import { PlanController } from '../common/fleet/PlanController.js';
import { chooseSmallestThenLargest, createChooseRelease } from '../common/fleet/Plans.js';
import { RoutingTableController } from '../common/fleet/RoutingTableController.js';
import type { IFactStore, IHostLimits } from '../common/fleet/Types.js';
import { Disposable } from '../common/Lifecycle.js';
import { MetricsController } from '../common/metrics/MetricsController.js';
import type { IMetricsSink } from '../common/metrics/Types.js';
import { createChooseByAffinity } from '../common/policy/Affinity.js';
import { decideHealthByFailures } from '../common/policy/Health.js';
import { createDecideOpening } from '../common/policy/Openings.js';
import { FAIR_ORDER, refuseLateStart } from '../common/policy/Queueing.js';
import { createDecideRetry } from '../common/policy/Retries.js';
import { decideRolloutByEvidence } from '../common/policy/RolloutVerdicts.js';
import { createDecideSilence } from '../common/policy/Silence.js';
import { limitBySlots } from '../common/policy/SlotLimits.js';
import { AdmissionController } from '../common/request/AdmissionController.js';
import { AttemptController } from '../common/request/AttemptController.js';
import { CleanUpController } from '../common/request/CleanUpController.js';
import { DeadlineController } from '../common/request/DeadlineController.js';
import { EndpointIndex } from '../common/request/EndpointIndex.js';
import { HealthController } from '../common/request/HealthController.js';
import { InFlightLimitController } from '../common/request/InFlightLimitController.js';
import { OpeningController } from '../common/request/OpeningController.js';
import { OutcomeController } from '../common/request/OutcomeController.js';
import { RouteController } from '../common/request/RouteController.js';
import { ServiceBudgets } from '../common/request/ServiceBudgets.js';
import type { CheckRun, DecideAdmission, DecideSilence, RunAttempt } from '../common/request/Types.js';
import { WorkEstimateController } from '../common/request/WorkEstimateController.js';
import {
  chooseTarget,
  matchCall,
  type ICallAddress,
  type IMatchedCall,
} from '../common/routes/RouteMatch.js';
import { DecisionRecorder } from '../common/timeline/DecisionRecorder.js';
import { TimelineRecorder } from '../common/timeline/TimelineRecorder.js';
import type { ITimelineEvent } from '../common/timeline/Types.js';
import type { Millis } from '../common/Types.js';

/** What serves callers: the platform's front server, or another one. */
export interface IFront {
  startListening: () => Promise<void>;
  drain: () => Promise<void>;
  deliverChunk: (request: string, data: unknown) => void;
  dispose: () => void;
}

/** What a front server needs of the host. */
export interface IFrontContext {
  board: Blackboard;
  matchCall: (address: ICallAddress) => ReturnType<typeof matchCall>;
  chooseService: (matched: IMatchedCall, session: string) => string;
  onRefused: (id: string, refusal: IRefusal) => void;
  isReady: () => boolean;
  isClosing: () => boolean;
  hasStopped: () => boolean;
}

/** Reaches endpoints. */
export interface IRunners {
  runAttempt: RunAttempt;
  checkRun: CheckRun;
}

/** Options of a router host. Adapters are passed in; the host knows no wire. */
export interface IRouterHostOptions {
  id: string;
  zone: string;
  store: IFactStore;
  createRunners: (decideSilence: DecideSilence) => IRunners;
  createFront: (context: IFrontContext) => IFront;
  sink: IMetricsSink;
  writeEvent: (event: ITimelineEvent) => void;
  onError: (error: unknown) => void;
  limits: IHostLimits;
}

/** Share of the allowed extra attempts that is used: hosts count in windows of their own. */
const BUDGET_SAFETY = 0.75;

/** Extra attempts that a host may save up; some hosts may spend theirs in the same second. */
const BUDGET_CAPACITY = 6;

/** Share of the allowed exposure that the canary stage takes. */
const CANARY_SAFETY = 0.6;

/** Time that the balancer takes to notice that a host is not ready: two questions, a second apart. */
const BALANCER_LAG_MS: Millis = 2500;

/**
 * Interval at which endpoints in use are measured. Only the wait for a first output is used here, and waits
 * that matter are above half a second.
 */
const SAMPLE_MS: Millis = 400;

/** Events that the next one of the same request or attempt repeats. */
const UNLOGGED_KINDS: ReadonlySet<string> = new Set([
  'request.admitted',
  'request.running',
  'request.answered',
  'attempt.planned',
]);

/** Hash values below 2^32 as a point from 0 up to 1. */
const POINT_DIGITS = 8;
const POINT_RANGE = 16 ** POINT_DIGITS;

/** A router without a journal: the blackboard, its controllers, and the adapters that are passed in. */
export class RouterHost extends Disposable {
  private readonly _board: Blackboard;
  private readonly _feed: FactFeedController;
  private readonly _front: IFront;
  private readonly _drain: DrainController;
  private readonly _timeline: TimelineRecorder;

  constructor(private readonly _options: IRouterHostOptions) {
    super();
    const board = new Blackboard({ onControllerError: _options.onError });
    this._board = board;
    this.applyLimits(_options.limits);
    this._timeline = this._createTimeline();
    this._feed = this._register(
      new FactFeedController({ board, clock: systemClock, random: Math.random, store: _options.store }),
    );
    this._registerFleet();
    this._registerRequests();
    this._front = this._register(
      _options.createFront({
        board,
        matchCall: (address) => matchCall(board.routing.get('in-force'), address),
        chooseService,
        onRefused: (id, { code, ran }) => {
          const config = board.routing.get('in-force')?.version;
          this._timeline.record('call.refused', { request: id, code, ran, config });
        },
        isReady: this._isReady,
        isClosing: () => board.lifecycle.get('host')?.phase !== 'serving',
        hasStopped: () => hasStoppedAccepting(board),
      }),
    );
    this._drain = new DrainController({
      board,
      clock: systemClock,
      closeFrontEnd: () => this._front.drain(),
      finishSteps: [],
      onStepError: _options.onError,
    });
  }

  /** Starts to follow the store and to listen. */
  public async start(): Promise<void> {
    void this._feed.run();
    await this._front.startListening();
  }

  /** Finishes every request and stops. */
  public async stop(): Promise<void> {
    await this._drain.drain(Math.min(BALANCER_LAG_MS, this._limits.stopMs / 2));
    this.dispose();
  }

  /** Puts limits in force; they hold for requests that come later. */
  public applyLimits(limits: IHostLimits): void {
    this._board.limits.set('in-force', limits);
  }

  /** Records an event that no panel shows, such as a start or a reload. */
  public record(kind: string, fields: ITimelineEvent['fields']): void {
    this._timeline.record(kind, fields);
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
    const isWritten = (kind: string): boolean => !UNLOGGED_KINDS.has(kind);
    const timeline = this._register(
      new TimelineRecorder({ host: id, board, readWallClock, writeEvent, isWritten }),
    );
    const record = timeline.record.bind(timeline);
    this._register(new DecisionRecorder({ board, clock: systemClock, record }));
    this._register(new MetricsController({ board, clock: systemClock, sink }));
    return timeline;
  }

  private _registerFleet(): void {
    const { id, store } = this._options;
    const common = { board: this._board, clock: systemClock };
    this._register(new RoutingTableController(this._board));
    this._register(new EndpointRegistryController(common));
    this._register(
      new FleetRolloutController({
        ...common,
        random: Math.random,
        self: id,
        store,
        decideRollout: decideRolloutByEvidence,
      }),
    );
    this._register(
      new PlanController({
        ...common,
        chooseModels: chooseSmallestThenLargest,
        chooseRelease: createChooseRelease({
          readCanaryShare: () => CANARY_SAFETY * this._limits.exposureShare,
        }),
        hashPoint,
      }),
    );
  }

  private _registerRequests(): void {
    const { createRunners, id, store, zone } = this._options;
    const board = this._board;
    const common = { board, clock: systemClock };
    const readShare = (): number => BUDGET_SAFETY * this._limits.retryShare;
    const budgets = this._register(new ServiceBudgets(board, { readShare, capacity: BUDGET_CAPACITY }));
    const takeRetryBudget = budgets.takeAttempt;
    const index = this._register(
      new EndpointIndex({ board, host: id, zone, hashTexts, subsetSize: Infinity }),
    );
    const { checkRun, runAttempt } = createRunners(createDecideSilence({ hasBudget: budgets.hasAttempt }));
    const suspects = this._register(new CrashSuspectController({ ...common, self: id, store, checkRun }));
    const isDraining = (): boolean => hasStoppedAccepting(board);
    const takeRateShare = (): boolean => true;
    this._register(
      new AdmissionController({
        ...common,
        decideAdmission: suspects.protectAdmission(admitMatched),
        takeRateShare,
        isDraining,
      }),
    );
    this._register(new WorkEstimateController(board));
    this._register(new InFlightLimitController({ ...common, adaptLimit: limitBySlots }));
    this._register(new HealthController({ ...common, index, decideHealth: decideHealthByFailures }));
    this._register(
      new RouteController({
        ...common,
        index,
        zone,
        createId: createUniqueId,
        chooseEndpoint: createChooseByAffinity({ random: Math.random, hashPoint }),
        queueOrder: FAIR_ORDER,
        decideQueued: refuseLateStart,
        isInUse: () => true,
      }),
    );
    this._register(
      new AttemptController({
        ...common,
        runAttempt,
        sampleMs: SAMPLE_MS,
        deliverChunk: (request, data) => {
          this._front.deliverChunk(request, data);
        },
      }),
    );
    this._register(
      new OpeningController({ ...common, decideOpening: createDecideOpening(), takeRetryBudget }),
    );
    const decideRetry = suspects.protectRetry(createDecideRetry(Math.random));
    this._register(new OutcomeController({ ...common, decideRetry, takeRetryBudget }));
    this._register(new DeadlineController(common));
    this._register(new CleanUpController(board));
  }
}

/** Requests that were matched to a route are admitted until the host has stopped accepting. */
const admitMatched: DecideAdmission = ({ isDraining, now, request }) => {
  if (isDraining) return refuse('draining', 'The host is shutting down.');
  if (request.deadlineAt <= now) return refuse('deadline_exceeded', 'The deadline has passed.');
  return { kind: 'admit' };
};

function refuse(code: IRefusal['code'], message: string) {
  return { kind: 'refuse' as const, refusal: { code, message, ran: 'no' as const, retryAfterMs: 300 } };
}

function chooseService({ route }: IMatchedCall, session: string): string {
  return chooseTarget(route.targets, hashPoint(`${route.name}/${session}`)) ?? '';
}

function hashPoint(text: string): number {
  return parseInt(hashTexts(text).slice(0, POINT_DIGITS), 16) / POINT_RANGE;
}

/** Once the balancer has noticed the stop, a call can only come on a connection that was busy until then. */
function hasStoppedAccepting(board: Blackboard): boolean {
  const phase = board.lifecycle.get('host')?.phase;
  return phase !== 'serving' && phase !== 'leaving';
}

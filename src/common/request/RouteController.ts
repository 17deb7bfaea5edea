import type { Blackboard } from '../blackboard/Blackboard.js';
import type { AttemptRole, IEndpointEntry, IRequestEntry, RefusalCode } from '../blackboard/Types.js';
import type { IAccountDemand } from '../estimates/Types.js';
import { Disposable } from '../Lifecycle.js';
import {
  classifyLength,
  estimateTokens,
  FAIR_ORDER,
  refuseIfDeadlineUnreachable,
} from '../policy/Queueing.js';
import { INITIAL_IN_FLIGHT_LIMIT } from '../policy/Endpoints.js';
import { isChosenVersionAllowed } from '../policy/Versions.js';
import { computeColdRetryAfter, estimateColdWait } from '../policy/ColdQueueing.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import { parseVersion } from '../fleet/Versions.js';
import { listDemand } from './AccountDemandController.js';
import { findNextAttemptAt, planAttempt } from './AttemptPlan.js';
import { isAcceptingWork, isAwaitingRestoration, listServiceEndpoints } from './Candidates.js';
import { formatPool, listPoolsOf, type EndpointIndex } from './EndpointIndex.js';
import { formatPrefixKey } from './PrefixController.js';
import { refuseRequest } from './Refusals.js';
import { formatAccount, RequestQueue } from './RequestQueue.js';
import type {
  ChooseEndpoint,
  ChooseSpilloverVersion,
  DecideQueued,
  FindPrefix,
  IQueuedRequest,
  IQueueOrder,
  LengthClass,
  MeasurePressure,
  QueueDecision,
} from './Types.js';
import { formatAccountEstimate } from './WorkEstimateController.js';

/** Options of the route controller. */
export interface IRouteOptions {
  board: Blackboard;
  clock: IClock;
  index: EndpointIndex;
  chooseEndpoint: ChooseEndpoint;
  /** Order of the queues. Default: by priority, fairness among accounts, deadline and expected length. */
  queueOrder?: IQueueOrder;
  /** Decides on queued requests. Default: refuses a request that would miss its deadline. */
  decideQueued?: DecideQueued;
  /** Measures how busy the endpoints are, for the decision on a new request. Default: it is not known. */
  measurePressure?: MeasurePressure;
  /** Lists the demand for a service, for the decision on a new request. Default: by the `accountDemand` panel. */
  listDemand?: (service: string, now: Millis) => readonly IAccountDemand[];
  /**
   * Chooses another version for a request that would be refused. Default: none, so the request is refused.
   */
  chooseSpilloverVersion?: ChooseSpilloverVersion;
  createId: () => string;
  /** Availability zone of this host. */
  zone: string;
  /** Tells whether a queued request's version is still in use. Default: by the service's document. */
  isChosenVersionAllowed?: (request: IRequestEntry) => boolean;
  /** Spreads the return of callers that are refused because endpoints are cold. Default: none. */
  random?: RandomSource;
  /** Largest number of queued requests at this host; further requests are refused. Default 10,000. */
  maxQueue?: number;
}

const QUEUE_RETRY_AFTER_MS = 1000;

/**
 * Waiting time after which the first long request goes before short ones, as far as the slots for long work
 * allow.
 */
const LONG_WORK_AGING_MS = 2000;

/** A request with the work that it is expected to be, before it has its place in a queue. */
type QueuedWork = Omit<IQueuedRequest, 'rank' | 'startTag'>;

type Lanes = Readonly<Record<LengthClass, RequestQueue>>;

/**
 * Moves requests from `queued` to `running` by planning an attempt at an endpoint with a free slot. There is
 * one queue per pool of endpoints, with one lane for short and one for long work.
 */
export class RouteController extends Disposable {
  private readonly _lanesByPool = new Map<string, Lanes>();
  private readonly _poolByRequest = new Map<string, string>();
  private readonly _options: Required<IRouteOptions>;

  constructor(options: IRouteOptions) {
    super();
    this._options = {
      maxQueue: 10_000,
      random: () => 0.5,
      queueOrder: FAIR_ORDER,
      decideQueued: refuseIfDeadlineUnreachable,
      chooseSpilloverVersion: () => undefined,
      measurePressure: () => undefined,
      listDemand: (service, now) => listDemand(options.board, service, now),
      isChosenVersionAllowed: (request) =>
        isChosenVersionAllowed(request, options.board.services.get(request.service)),
      ...options,
    };
    const { board } = options;
    this._register(
      board.requests.onChange(({ key, before, after }) => {
        if (after?.phase === 'queued' && before?.phase !== 'queued') this._queueRequest(key);
        else if (after?.phase !== 'queued') this._removeRequest(key);
      }),
    );
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        if (!after) return;
        const hasGainedRoom =
          after.inFlight < (before?.inFlight ?? Infinity) ||
          (after.inFlightLimit ?? 0) > (before?.inFlightLimit ?? 0) ||
          (findNextAttemptAt(after) === undefined && findNextAttemptAt(before ?? {}) !== undefined) ||
          (after.pausedUntil === undefined && before?.pausedUntil !== undefined) ||
          (after.isEvacuated !== true && before?.isEvacuated === true) ||
          before?.health !== after.health;
        if (hasGainedRoom) for (const pool of listPoolsOf(after)) this._assignQueued(pool);
        const hasLostUse =
          (before !== undefined && isUsable(before) && !isUsable(after)) ||
          (after.isEvacuated === true && before?.isEvacuated !== true);
        if (before && (after.health !== before.health || hasLostUse))
          this._refuseWithoutEndpoint(listPoolsOf(after));
      }),
    );
    this._register(
      board.services.onChange(({ after }) => {
        if (after) this._resetWithdrawnRequests(after.name);
      }),
    );
  }

  private _resetWithdrawnRequests(service: string): void {
    const { board } = this._options;
    for (const id of [...this._poolByRequest.keys()]) {
      const request = board.requests.get(id);
      if (request?.service === service) this._resetIfWithdrawn(request);
    }
  }

  /**
   * Moves a queued request back to `claimed`, so that another version is chosen, if its version has been
   * withdrawn since it was chosen. Returns whether it has.
   */
  private _resetIfWithdrawn(request: IRequestEntry): boolean {
    const { board, isChosenVersionAllowed } = this._options;
    if (isChosenVersionAllowed(request)) return false;
    this._removeRequest(request.id);
    board.requests.update(request.id, { phase: 'claimed', version: undefined });
    return true;
  }

  private _queueRequest(id: string): void {
    const { board, clock, decideQueued, index, listDemand, maxQueue, measurePressure } = this._options;
    const request = board.requests.get(id);
    if (request?.phase !== 'queued' || this._resetIfWithdrawn(request)) return;
    if (!index.listCandidates(request).some(isUsable)) {
      if (this._resetIfEvacuated(request)) return;
      this._refuseWithoutUse(request, 'No endpoint can run the request.');
      return;
    }
    if (this._poolByRequest.size >= maxQueue) {
      this._requeueOrRefuse(request, 'no_capacity', 'The queue is full.', QUEUE_RETRY_AFTER_MS);
      return;
    }
    const now = clock.now();
    const item = this._describeWork(request, now);
    const weight = this._findWeight(request);
    const waitMs = Math.max(
      this._estimateWait(request, item.lengthClass, weight),
      this._estimateColdWait(item, weight),
    );
    const pressure = request.attemptCount === 0 ? measurePressure(request) : undefined;
    const demand = pressure && listDemand(request.service, now);
    const decision = decideQueued({ item, waitMs, now, pressure, demand });
    if (decision.kind === 'refuse') {
      this._refuseQueued(request, decision);
      return;
    }
    const pool = formatPool(request);
    this._poolByRequest.set(id, pool);
    this._getLanes(pool)[item.lengthClass].add(item, weight);
    this._assignQueued(pool);
  }

  private _removeRequest(id: string): void {
    const pool = this._poolByRequest.get(id);
    if (pool === undefined) return;
    this._poolByRequest.delete(id);
    const lanes = this._lanesByPool.get(pool);
    if (!lanes?.short.remove(id)) lanes?.long.remove(id);
  }

  private _assignQueued(pool: string): void {
    const lanes = this._lanesByPool.get(pool);
    if (!lanes || lanes.short.size + lanes.long.size === 0) return;
    const now = this._options.clock.now();
    const long = lanes.long.findFirst(now);
    const isLongDue = long !== undefined && now - long.queuedAt > LONG_WORK_AGING_MS;
    if (isLongDue) this._assignFirst(lanes.long, now);
    this._assignLane(lanes.short, now);
    this._assignLane(lanes.long, now);
  }

  private _assignLane(lane: RequestQueue, now: Millis): void {
    while (lane.size > 0 && this._assignFirst(lane, now));
  }

  /**
   * Starts, removes or refuses the first request of a lane; returns false if there is none or it has to wait.
   */
  private _assignFirst(lane: RequestQueue, now: Millis): boolean {
    const { board, chooseEndpoint, decideQueued, index, zone } = this._options;
    const item = lane.findFirst(now);
    if (!item) return false;
    const request = board.requests.get(item.request.id);
    if (request?.phase !== 'queued') {
      this._removeRequest(item.request.id);
      return true;
    }
    if (this._resetIfWithdrawn(request)) return true;
    const decision = decideQueued({ item, waitMs: 0, now });
    if (decision.kind === 'refuse') {
      this._removeRequest(request.id);
      this._refuseQueued(request, decision);
      return true;
    }
    const candidates = index.listCandidates(request);
    const { lengthClass } = item;
    const findPrefix = this._findPrefix;
    const endpoint = chooseEndpoint({ request, candidates, lengthClass, findPrefix, zone, now });
    if (endpoint === undefined) return false;
    lane.take(item, now);
    this._poolByRequest.delete(request.id);
    this._planAttempt(request, item, endpoint, now);
    return true;
  }

  private _planAttempt(request: IRequestEntry, item: IQueuedRequest, endpoint: string, now: Millis): void {
    const { board, createId } = this._options;
    const role: AttemptRole =
      request.attemptCount === 0 ? 'primary' : request.escalatedFrom.length > 0 ? 'escalation' : 'retry';
    const { expectedTokens, lengthClass } = item;
    planAttempt(board, { id: createId(), role, request, endpoint, expectedTokens, lengthClass, now });
  }

  private readonly _findPrefix: FindPrefix = (version, hash) =>
    this._options.board.promptPrefixes.get(formatPrefixKey(version, hash));

  private _describeWork(request: IRequestEntry, now: Millis): QueuedWork {
    const { workEstimates } = this._options.board;
    const poolEstimate = workEstimates.get(formatPool(request));
    const { expectedTokens, lengthClass } = estimateWork(this._options.board, request);
    const expectedMs = poolEstimate
      ? poolEstimate.firstTokenMs + (expectedTokens - 1) * poolEstimate.tokenMs
      : 0;
    return { request, lengthClass, expectedTokens, expectedMs, queuedAt: now };
  }

  /**
   * Estimates the wait of a new request as the longer of two estimates. The first follows Little's law:
   * requests ahead, times their duration, divided by the slots of the pool. The second uses the recent time
   * between starts of the account's own requests, which also reflects how often other accounts go first.
   */
  private _estimateWait(request: IRequestEntry, length: LengthClass, weight: number): Millis {
    const { board, clock, index } = this._options;
    const pool = formatPool(request);
    const lane = this._lanesByPool.get(pool)?.[length];
    const estimate = board.workEstimates.get(pool);
    const healthy = index.listPool(pool).filter(({ health }) => health === 'healthy');
    const sendWaitMs = estimateSendWait(healthy, clock.now());
    if (!lane || lane.size === 0 || !estimate) return sendWaitMs;
    const durationMs =
      length === 'short' ? estimate.shortDurationMs : (estimate.longDurationMs ?? estimate.shortDurationMs);
    let slots = 0;
    for (const endpoint of healthy) {
      slots += estimateSlots(endpoint, durationMs);
      if (length === 'short') slots -= endpoint.longInFlight ?? 0;
    }
    const account = formatAccount(request);
    const capacityWaitMs = (lane.countAhead(account, weight) * durationMs) / Math.max(1, slots);
    return Math.max(sendWaitMs, capacityWaitMs, lane.estimateWait(account));
  }

  /** Estimates when a request would be finished if only endpoints with turns of this host are left. */
  private _estimateColdWait({ expectedMs, lengthClass, request }: QueuedWork, weight: number): Millis {
    const { clock, index } = this._options;
    const pool = formatPool(request);
    const ahead = this._lanesByPool.get(pool)?.[lengthClass].countAhead(formatAccount(request), weight) ?? 0;
    const turnMs = estimateColdWait(index.listPool(pool), ahead, clock.now());
    return turnMs === undefined ? 0 : turnMs + expectedMs;
  }

  private _findWeight(request: IRequestEntry): number {
    const service = this._options.board.services.get(request.service);
    return service?.document.accounts[request.account]?.weight ?? 1;
  }

  private _getLanes(pool: string): Lanes {
    const known = this._lanesByPool.get(pool);
    if (known) return known;
    const { queueOrder } = this._options;
    const lanes: Lanes = { short: new RequestQueue(queueOrder), long: new RequestQueue(queueOrder) };
    this._lanesByPool.set(pool, lanes);
    return lanes;
  }

  /** Moves the queued requests of pools without an endpoint to another version, or refuses them. */
  private _refuseWithoutEndpoint(pools: readonly string[]): void {
    const { board, index } = this._options;
    for (const pool of pools) {
      const lanes = this._lanesByPool.get(pool);
      if (!lanes || lanes.short.size + lanes.long.size === 0) continue;
      if (index.listPool(pool).some(isUsable)) continue;
      for (const { request } of [...lanes.short.list(), ...lanes.long.list()]) {
        this._removeRequest(request.id);
        const entry = board.requests.get(request.id);
        const message = 'The last endpoint that could run the request has left.';
        if (entry && !this._resetIfEvacuated(entry)) this._refuseWithoutUse(entry, message);
      }
    }
  }

  /**
   * Moves a request back to `claimed`, so that its release is chosen again, if the endpoints of its release are in
   * evacuated zones and another release has the model. Returns whether it has. The rest of a stream that has begun
   * comes from no other release.
   */
  private _resetIfEvacuated(request: IRequestEntry): boolean {
    const { board } = this._options;
    if (request.hasPartialDelivery || request.version === undefined) return false;
    if (!hasOtherReleaseOnly(listServiceEndpoints(board, request.service), request.version)) return false;
    board.requests.update(request.id, { phase: 'claimed' });
    return true;
  }

  /** Moves a request that no endpoint takes from this host to another version, or refuses it. */
  private _refuseWithoutUse(request: IRequestEntry, message: string): void {
    const { clock, index, random } = this._options;
    const coldMs = computeColdRetryAfter(
      index.listCandidates(request),
      request.deadlineAt,
      clock.now(),
      random,
    );
    if (coldMs === undefined) this._requeueOrRefuse(request, 'no_capacity', message, QUEUE_RETRY_AFTER_MS);
    else this._requeueOrRefuse(request, 'no_capacity', 'All endpoints for the request are cold.', coldMs);
  }

  private _refuseQueued(
    request: IRequestEntry,
    { reason, retryAfterMs }: Extract<QueueDecision, { kind: 'refuse' }>,
  ): void {
    if (reason === 'overload') {
      const message = 'The endpoints are too busy to begin the answer in time.';
      this._requeueOrRefuse(request, 'no_capacity', message, retryAfterMs);
      return;
    }
    const message = 'The request cannot be finished before its deadline.';
    this._requeueOrRefuse(request, 'deadline_unreachable', message, retryAfterMs);
  }

  /** Queues a request for another version, or refuses it if there is none to use. */
  private _requeueOrRefuse(
    request: IRequestEntry,
    code: RefusalCode,
    message: string,
    retryAfterMs: Millis,
  ): void {
    const { board, chooseSpilloverVersion } = this._options;
    const service = board.services.get(request.service);
    const hasRoom = (version: string): boolean => this._hasRoom(version);
    const version = service ? chooseSpilloverVersion({ request, service, hasRoom }) : undefined;
    if (version === undefined || version === request.version) {
      refuseRequest(board, request.id, { code, message, ran: request.ran, retryAfterMs });
      return;
    }
    board.requests.update(request.id, { version });
    this._queueRequest(request.id);
  }

  /** Tells whether a version has no queued short work and a healthy endpoint below its in-flight limit. */
  private _hasRoom(version: string): boolean {
    const lanes = this._lanesByPool.get(`version:${version}`);
    if (lanes && lanes.short.size > 0) return false;
    return this._options.index
      .listPool(`version:${version}`)
      .some(
        ({ health, inFlight, inFlightLimit }) =>
          health === 'healthy' && inFlight < (inFlightLimit ?? INITIAL_IN_FLIGHT_LIMIT),
      );
  }
}

/** Tells whether a version has endpoints in evacuated zones only, and another release of its model has others. */
function hasOtherReleaseOnly(endpoints: readonly Readonly<IEndpointEntry>[], version: string): boolean {
  const model = parseVersion(version)?.model;
  const isOther = (other: string): boolean => other !== version && parseVersion(other)?.model === model;
  return (
    endpoints.some((endpoint) => endpoint.versions.includes(version) && isAwaitingRestoration(endpoint)) &&
    endpoints.some((endpoint) => isAcceptingWork(endpoint) && endpoint.versions.some(isOther))
  );
}

/** Tells whether this host may send to an endpoint at any time, as far as the limits on its rate go. */
function isUsable(endpoint: Readonly<IEndpointEntry>): boolean {
  return findNextAttemptAt(endpoint) !== Infinity;
}

/** Estimates the wait until one of the endpoints takes a request, as far as their limits and pauses go. */
function estimateSendWait(endpoints: readonly Readonly<IEndpointEntry>[], now: Millis): Millis {
  if (endpoints.length === 0) return 0;
  const sendTimes = endpoints.map((endpoint) =>
    Math.max(findNextAttemptAt(endpoint) ?? now, endpoint.pausedUntil ?? now),
  );
  return Math.max(0, Math.min(...sendTimes) - now);
}

/** Estimates the attempts of this host that an endpoint runs at a time, each of a duration. */
function estimateSlots(
  { attemptIntervalMs, inFlightLimit = INITIAL_IN_FLIGHT_LIMIT }: Readonly<IEndpointEntry>,
  durationMs: Millis,
): number {
  return attemptIntervalMs === undefined
    ? inFlightLimit
    : Math.min(inFlightLimit, durationMs / attemptIntervalMs);
}

/**
 * Estimates the length of a request from its token limit, its account's history and its pool's usual length.
 */
export function estimateWork(
  board: Blackboard,
  request: IRequestEntry,
): { expectedTokens: number; lengthClass: LengthClass } {
  if (request.target.kind === 'plain') return { expectedTokens: 1, lengthClass: 'short' };
  const limitUse = board.workEstimates.get(formatAccountEstimate(request))?.maxTokensShare;
  const usualTokens = board.workEstimates.get(formatPool(request))?.tokens;
  const expectedTokens = estimateTokens(request.target.maxTokens, limitUse, usualTokens);
  // For an account without history, the length class is derived from the token limit alone, because the
  // cautious class is `long`. The expected tokens are bounded by the usual length, because too high an
  // estimate may refuse the request.
  const classifiedTokens = estimateTokens(request.target.maxTokens, limitUse, undefined);
  return { expectedTokens, lengthClass: classifyLength(classifiedTokens, usualTokens) };
}

import { Result } from 'true-myth';
import { createSeededRandom, hashTexts } from '../adapters/Random.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IAnswer, IAttemptError, IRequestEntry } from '../common/blackboard/Types.js';
import { createFindHolders, type FindHolders } from '../common/estimates/CachedPrompts.js';
import { createEstimateAnswer, createMeasurePressure } from '../common/estimates/AnswerEstimates.js';
import { createEstimateRequestWork } from '../common/estimates/RequestWork.js';
import { AccountDemandController } from '../common/request/AccountDemandController.js';
import { BacklogController } from '../common/estimates/BacklogController.js';
import { EndpointSpeedController } from '../common/estimates/EndpointSpeedController.js';
import { ColdEndpointController } from '../common/fleet/ColdEndpointController.js';
import { createDecideColdPaces } from '../common/policy/ColdPaces.js';
import { createComputeSharedInterval, splitColdRate } from '../common/policy/RateLimitShares.js';
import { createDecideRetry } from '../common/policy/Retries.js';
import { limitBySlots } from '../common/policy/SlotLimits.js';
import { AttemptController } from '../common/request/AttemptController.js';
import { CleanUpController } from '../common/request/CleanUpController.js';
import { DeadlineController } from '../common/request/DeadlineController.js';
import {
  EarlyEscalationController,
  type DecideEarlyEscalation,
} from '../common/request/EarlyEscalationController.js';
import type { IRoute, IRoutingTable } from '../common/routes/Types.js';
import { EndpointIndex } from '../common/request/EndpointIndex.js';
import { InFlightLimitController } from '../common/request/InFlightLimitController.js';
import { OutcomeController } from '../common/request/OutcomeController.js';
import { INITIAL_REQUEST_FIELDS } from '../common/request/InitialFields.js';
import { RouteController } from '../common/request/RouteController.js';
import type { ChooseEndpoint, DecideQueued } from '../common/request/Types.js';
import { WorkEstimateController } from '../common/request/WorkEstimateController.js';
import type { IClock, Millis, Priority, RandomSource } from '../common/Types.js';
import { COLD_LIMITS, COLD_ROUTING } from './ColdFleet.js';
import { createTestEndpoint, createTestRequest } from './EntryFixtures.js';
import { ManualClock } from './ManualClock.js';
import { PlayedEngine } from './PlayedEngine.js';

/** Kind of requests in a played load. */
export interface IPlayedKind {
  name: string;
  requestsPerS: number;
  /** Number of prompts that requests of this kind share a part with. */
  subjects: number;
  sharedTokens: number;
  ownTokens: number;
  answerTokens: number;
  /** Time to the first token within which an answer is on time. */
  targetLatencyMs: Millis;
  deadlineMs: Millis;
  /** Default `normal`. */
  priority?: Priority;
  /** Default: that of the test requests. */
  account?: string;
  /** Multiple of the rate at a time. Default: always 1. */
  changeRate?: (at: Millis) => number;
  /** What callers do that are refused. Default `never`. */
  repeats?: CallerRepeats;
  /** How often a caller repeats its request at most. Default: until its deadline. */
  maxRepeats?: number;
}

/**
 * Whether a refused caller sends its request again: not at all, after `Retry-After` but no later than after a third of
 * the time that it has left, or at once.
 */
export type CallerRepeats = 'never' | 'as-told' | 'at-once';

/** Speed and size of the engines of a played load. */
export interface IPlayedEngineTraits {
  prefillMsPerToken: Millis;
  tokenMs: Millis;
  slots: number;
}

/** Policies that a played load is run with, created for each host. */
export interface IPlayedPolicies {
  createChooseEndpoint: (context: IPlayedContext) => ChooseEndpoint;
  createDecideQueued: (context: IPlayedContext) => DecideQueued;
  createDecideEarlyEscalation: (context: IPlayedContext) => DecideEarlyEscalation;
  /** Whether the decisions get estimates of answers and of how busy the engines are. Default: they get none. */
  isAnswerEstimated?: boolean;
  /** Whether the decisions get the demand of accounts and request classes. Default: they get none. */
  isDemandCounted?: boolean;
}

/** State and functions of a played host that its policies use. */
export interface IPlayedContext {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  hashToFraction: (text: string) => number;
  findHolders: FindHolders;
}

/** Engines that start under load. Each is cold for 3 s, and crashes if it gets over 30 requests in a second meanwhile. */
export interface ILateStart {
  engines: number;
  atMs: Millis;
  /** Whether the hosts know of the bound. */
  isBounded: boolean;
}

/** Options of a played load. */
export interface IPlayedLoadOptions {
  kinds: readonly IPlayedKind[];
  policies: IPlayedPolicies;
  /** Default 4. */
  hosts?: number;
  /** Default 6. */
  engines?: number;
  /** Tokens that the memory of an engine holds. Default: without limit, and unknown to the hosts. */
  cacheTokens?: number;
  /** Whether the hosts know `cacheTokens` and one another. Default false. */
  isCacheKnown?: boolean;
  /** Speeds of the engines, in turn. Default 1. */
  speeds?: readonly number[];
  /** Whether the hosts learn those speeds from reports. Default false. */
  isSpeedLearned?: boolean;
  /** Default 20 s. */
  durationMs?: Millis;
  /** Default 1. */
  seed?: number;
  /** Default: no engine starts late. */
  lateStart?: ILateStart;
  /** Engines of one model. Default: engines of two models, the larger of which answers when the smaller is not sure. */
  engineTraits?: IPlayedEngineTraits;
  /** Whether the result lists what callers got by account and kind. Default false. */
  isGrouped?: boolean;
  /** Called when a request has ended, also when its caller sends it again. */
  observeEnd?: (request: Readonly<IRequestEntry>, end: IPlayedEnd) => void;
}

/** How a request of a played load ended. */
export type PlayedState = 'on-time' | 'late' | 'refused' | 'failed';

/** End of a request of a played load. */
export interface IPlayedEnd {
  state: PlayedState;
  /** Time from the arrival of the request to its first token. Absent if it got none. */
  firstTokenMs: Millis | undefined;
}

/** What the callers of one account and kind got. */
export interface IPlayedGroup {
  asked: number;
  /** Calls of 100 that were answered, on time or late. */
  servedShare: number;
  onTimeShare: number;
  /** Requests of 100 calls, repeats included. */
  requestsPer100: number;
}

/** What the callers of a played load got. */
export interface IPlayedResult {
  /** Engines that crashed while they were cold. Absent if none starts late. */
  crashed?: number;
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  /** Requests that ended without an answer and without a refusal that said they had not run. */
  failed: number;
  /** Time to the first token of the answers, in the median and at the 97th percentile, in steps of 10 ms. */
  firstTokenMs: readonly [median: Millis, high: Millis];
  /** Prompt tokens that the engines read, in thousands. */
  thousandTokensRead: number;
  /** Share of the tokens made that belong to answers nobody received whole. */
  tokensForNothing: number;
  /** By account and kind. Absent unless it was asked for. */
  groups?: Readonly<Record<string, IPlayedGroup>>;
}

/** Service of the test requests. */
const TEST_SERVICE = 'drafts';
const SMALL = 'small-1';
const LARGE = 'large-1';
const PREFILL_MS_PER_TOKEN = { [SMALL]: 0.02, [LARGE]: 0.05 };
const TOKEN_MS = { [SMALL]: 15, [LARGE]: 30 };
const SLOTS = 64;
const COLD_MS: Millis = 3000;
const MAX_COLD_REQUESTS = 30;
/** Share of the subjects' requests that go to the first one; the popularity of the others falls off evenly. */
const HOT_SUBJECT_SHARE = 0.25;

/** Time after which a caller that repeats at once sends its request again. */
const AT_ONCE_MS: Millis = 50;

/** Least time left with which a caller sends its request again. */
const MIN_LEFT_MS: Millis = 200;

/** A call, with all requests that its caller sends for it. */
interface IPlayedCall {
  kind: IPlayedKind;
  sentAt: Millis;
  requests: number;
}

/** Plays a load on several hosts that share simulated engines, and tells what the callers got. */
export async function runPlayedLoad(options: IPlayedLoadOptions): Promise<IPlayedResult> {
  const { durationMs = 20_000, engines: engineCount = 6, engineTraits, hosts: hostCount = 4 } = options;
  const { isGrouped = false, kinds, observeEnd, seed = 1 } = options;
  const clock = new ManualClock();
  const random = createSeededRandom(seed);
  const answerTokens = new Map(kinds.map(({ answerTokens: tokens, name }) => [name, tokens]));
  const engines = new Map(
    Array.from({ length: engineCount }, (_, index) => [
      `e-${index}`,
      new PlayedEngine({
        clock,
        speed: options.speeds?.[index % options.speeds.length] ?? 1,
        ...(options.cacheTokens === undefined ? {} : { cacheTokens: options.cacheTokens }),
        prefillMsPerToken: engineTraits ? { [SMALL]: engineTraits.prefillMsPerToken } : PREFILL_MS_PER_TOKEN,
        tokenMs: engineTraits ? { [SMALL]: engineTraits.tokenMs } : TOKEN_MS,
        countTokens: ({ request }) => answerTokens.get(request.kind) ?? 1,
        rateConfidence: ({ attempt, request }) =>
          engineTraits || attempt.version === LARGE ? 1 : hashToFraction(`confidence ${request.id}`),
      }),
    ]),
  );
  const late = options.lateStart && new LateEngines(options.lateStart, clock, random);
  const hosts = Array.from({ length: hostCount }, (_, index) => `h-${index}`);
  const boards = hosts.map((host) => createHost(host, clock, random, options, engines, late));
  late?.schedule(hosts, boards);
  if (options.isCacheKnown === true) for (const board of boards) setCacheSizes(board, options);
  if (options.isSpeedLearned === true) for (const board of boards) new EndpointSpeedController(board);
  const calls = new Map<string, IPlayedCall>();
  const outcomes: IOutcome[] = [];
  const sendRequest = (id: string, request: IRequestEntry, board: Blackboard): void => {
    board.requests.set(id, { ...request, phase: 'running' });
    board.requests.update(id, { phase: 'queued' });
  };
  /** Sends the request of a refused caller again, and tells whether the caller does so. */
  const repeatRequest = (request: Readonly<IRequestEntry>, call: IPlayedCall): boolean => {
    const leftMs = request.deadlineAt - clock.now();
    const { maxRepeats = Infinity, repeats = 'never' } = call.kind;
    const { ran, retryAfterMs } = request.refusal ?? {};
    if (
      repeats === 'never' ||
      ran !== 'no' ||
      retryAfterMs === undefined ||
      leftMs < MIN_LEFT_MS ||
      call.requests > maxRepeats
    )
      return false;
    const waitMs = repeats === 'at-once' ? AT_ONCE_MS : Math.min(retryAfterMs, leftMs / 3);
    const id = `${request.id.split('+')[0] ?? ''}+${(call.requests += 1)}`;
    const next = { ...request, ...INITIAL_REQUEST_FIELDS, id, version: SMALL };
    clock.schedule(waitMs, () => {
      const board = boards[Math.floor(random() * hostCount)] ?? new Blackboard();
      calls.set(id, call);
      sendRequest(id, { ...next, receivedAt: clock.now() }, board);
    });
    return true;
  };
  for (const board of boards)
    observeOutcomes(board, clock, (request, outcome) => {
      const call = calls.get(request.id);
      calls.delete(request.id);
      observeEnd?.(request, outcome);
      if (!call || (outcome.state === 'refused' && repeatRequest(request, call))) return;
      const firstTokenMs =
        outcome.firstTokenMs === undefined
          ? undefined
          : outcome.firstTokenMs + request.receivedAt - call.sentAt;
      const isLate = outcome.state === 'on-time' && (firstTokenMs ?? 0) > call.kind.targetLatencyMs;
      outcomes.push({ call, firstTokenMs, state: isLate ? 'late' : outcome.state });
    });
  let count = 0;
  for (const kind of kinds) {
    let at = 0;
    for (;;) {
      at += (-Math.log(1 - random()) / (kind.requestsPerS * (kind.changeRate?.(at) ?? 1))) * 1000;
      if (at > durationMs) break;
      const id = `r-${(count += 1)}`;
      const board = boards[Math.floor(random() * hostCount)] ?? new Blackboard();
      const request = createRequest(id, kind, at, random);
      if (engineTraits) request.plan = { steps: [SMALL], isExploration: false, eligibleRollouts: [] };
      calls.set(id, { kind, sentAt: at, requests: 1 });
      clock.schedule(at, () => {
        sendRequest(id, request, board);
      });
    }
  }
  const longestMs = Math.max(...kinds.map(({ deadlineMs }) => deadlineMs));
  await clock.advance(durationMs + longestMs + 1000);
  const result = describeOutcomes(count, outcomes, [...engines.values()]);
  return {
    ...result,
    ...(late ? { crashed: late.crashed.size } : {}),
    ...(isGrouped ? { groups: describeGroups(outcomes) } : {}),
  };
}

function createHost(
  host: string,
  clock: ManualClock,
  random: RandomSource,
  { engineTraits, kinds, policies }: IPlayedLoadOptions,
  engines: ReadonlyMap<string, PlayedEngine>,
  late: LateEngines | undefined,
): Blackboard {
  const board = new Blackboard();
  late?.prepareHost(host, board);
  const findHolders = createFindHolders(hashToFraction);
  const context: IPlayedContext = { board, clock, random, hashToFraction, findHolders };
  const common = { board, clock };
  for (const id of engines.keys()) {
    const slots = engineTraits?.slots ?? SLOTS;
    const patch = { versions: engineTraits ? [SMALL] : [SMALL, LARGE], slots, inFlightLimit: slots };
    board.endpoints.set(id, createTestEndpoint(id, patch));
  }
  // Hosts take the shortest target of the routes that share the engines from the routing table.
  if (engineTraits) board.routing.set('in-force', createRoutingTable(kinds));
  let lastId = 0;
  new WorkEstimateController(board);
  new BacklogController({ ...common, findHolders });
  const index = new EndpointIndex({ board, host, zone: 'a', hashTexts, subsetSize: Infinity });
  if (policies.isDemandCounted === true)
    new AccountDemandController({
      ...common,
      estimateWork: createEstimateRequestWork({ ...common, index }),
    });
  new InFlightLimitController({ ...common, adaptLimit: limitBySlots });
  const estimates = { ...common, index, zone: 'a' };
  new RouteController({
    ...common,
    index,
    zone: 'a',
    createId: () => `${host}-${(lastId += 1)}`,
    chooseEndpoint: policies.createChooseEndpoint(context),
    decideQueued: policies.createDecideQueued(context),
    ...(policies.isAnswerEstimated === true ? { measurePressure: createMeasurePressure(estimates) } : {}),
    isChosenVersionAllowed: () => true,
  });
  new AttemptController({
    ...common,
    runAttempt: async (call, onPart) =>
      late?.findCrash(call.endpoint.id) ??
      engines.get(call.endpoint.id)?.runAttempt(call, onPart) ??
      Promise.reject(new Error('no engine')),
    deliverChunk: () => undefined,
    sampleIntervalMs: 400,
  });
  const takeRetryBudget = (): boolean => true;
  new EarlyEscalationController({
    ...common,
    decideEarlyEscalation: policies.createDecideEarlyEscalation(context),
    ...(policies.isAnswerEstimated === true ? { estimateAnswer: createEstimateAnswer(estimates) } : {}),
    takeRetryBudget,
  });
  new OutcomeController({ ...common, decideRetry: createDecideRetry(random), takeRetryBudget });
  new DeadlineController(common);
  new CleanUpController(board);
  return board;
}

/** Starts engines late, and lets them crash if they get too much while they are cold. */
class LateEngines {
  public readonly crashed = new Set<string>();
  private readonly _arrivals = new Map<string, Millis[]>();

  constructor(
    private readonly _options: ILateStart,
    private readonly _clock: ManualClock,
    private readonly _random: RandomSource,
  ) {}

  public prepareHost(host: string, board: Blackboard): void {
    const common = { board, clock: this._clock, random: this._random, host };
    const decideColdPaces = createDecideColdPaces(createComputeSharedInterval(hashTexts, splitColdRate));
    if (this._options.isBounded) new ColdEndpointController({ ...common, decideColdPaces });
  }

  /** Takes the first engines off the boards, and puts them on again when they start. */
  public schedule(hosts: readonly string[], boards: readonly Blackboard[]): void {
    const { atMs, engines } = this._options;
    for (const board of boards) {
      board.limits.set('in-force', COLD_LIMITS);
      board.routing.set('in-force', COLD_ROUTING);
      for (const host of hosts) board.presentHosts.set(host, { host, announcedAt: 0 });
      for (let index = 0; index < engines; index += 1) {
        const entry = board.endpoints.get(`e-${index}`);
        if (!entry) continue;
        board.endpoints.delete(entry.id);
        const fields = { healthChangedAt: atMs, incarnation: 1, warmAt: atMs + COLD_MS };
        this._clock.schedule(atMs, () => {
          board.endpoints.set(entry.id, { ...entry, ...fields });
        });
      }
    }
  }

  /** Counts a request, and fails it if the engine has crashed. */
  public findCrash(id: string): Result<IAnswer, IAttemptError> | undefined {
    const { atMs, engines } = this._options;
    const now = this._clock.now();
    if (Number(id.slice(2)) >= engines) return undefined;
    const recent = [...(this._arrivals.get(id) ?? []), now].filter((at) => now - at < 1000);
    this._arrivals.set(id, recent);
    if (now < atMs + COLD_MS && recent.length > MAX_COLD_REQUESTS) this.crashed.add(id);
    if (!this.crashed.has(id)) return undefined;
    return Result.err({ kind: 'crashed', message: 'The engine has crashed.', ran: 'unknown' });
  }
}

/** Tells a host the memory of the engines and the other hosts, as the configuration and the announcements do. */
function setCacheSizes(board: Blackboard, { cacheTokens = 0, hosts = 4 }: IPlayedLoadOptions): void {
  const spec = { name: 'drafts', models: [], maxConnections: 0, cacheTokens };
  const limits = { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 };
  const services = new Map([[spec.name, spec]]);
  board.routing.set('in-force', {
    version: 1,
    routesByHost: new Map(),
    services,
    accountsByKey: undefined,
    limits,
  });
  for (let index = 0; index < hosts; index += 1)
    board.presentHosts.set(`h-${index}`, { host: `h-${index}`, announcedAt: 0 });
}

function createRoutingTable(kinds: readonly IPlayedKind[]): IRoutingTable {
  const routes = kinds.map(({ deadlineMs, name, priority = 'normal', targetLatencyMs }): IRoute => {
    const targets = [{ service: TEST_SERVICE, weight: 1 }];
    const timing = { timeoutMs: deadlineMs, targetLatencyMs, maxPauseMs: undefined };
    const rank = { high: 0, normal: 1, low: 2 }[priority];
    const flags = { isOpen: false, isResumable: true, maxAttempts: 3, models: [] };
    return {
      name,
      host: 'played',
      prefix: `/${name}/`,
      kind: 'stream',
      targets,
      priority: rank,
      ...timing,
      ...flags,
    };
  });
  const limits = { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 };
  const routesByHost = new Map([['played', routes]]);
  return { version: 1, routesByHost, services: new Map(), accountsByKey: undefined, limits };
}

function createRequest(
  id: string,
  kind: IPlayedKind,
  receivedAt: Millis,
  random: RandomSource,
): IRequestEntry {
  const { answerTokens, ownTokens, sharedTokens, subjects } = kind;
  const subject = random() < HOT_SUBJECT_SHARE ? 0 : Math.floor(random() * subjects);
  const shared = `${kind.name}-${subject}`;
  return createTestRequest(id, {
    kind: kind.name,
    ...(kind.account === undefined ? {} : { account: kind.account }),
    fullTimeMs: kind.deadlineMs,
    priority: kind.priority ?? 'normal',
    receivedAt,
    deadlineAt: receivedAt + kind.deadlineMs,
    targetLatencyMs: kind.targetLatencyMs,
    maxAttempts: 3,
    plan: { steps: [SMALL, LARGE], isExploration: false, eligibleRollouts: [] },
    target: {
      kind: 'model',
      model: '*',
      isStreaming: true,
      promptTokens: sharedTokens + ownTokens,
      maxTokens: answerTokens,
      prefixHashes: [shared, `${shared}/${id}`],
      prefixTokens: [sharedTokens, sharedTokens + ownTokens],
      body: undefined,
    },
  });
}

interface IOutcome extends IPlayedEnd {
  call: IPlayedCall;
}

/** Reports the outcome of each request, and removes it as a front end does. */
function observeOutcomes(
  board: Blackboard,
  clock: IClock,
  recordEnd: (request: Readonly<IRequestEntry>, outcome: IPlayedEnd) => void,
): void {
  const firstTokens = new Map<string, Millis>();
  board.requests.onChange(({ after, before, key }) => {
    if (!after) return;
    if (after.winningAttempt !== undefined && before?.winningAttempt === undefined)
      firstTokens.set(key, clock.now() - after.receivedAt);
    if (after.phase !== 'answered' && after.phase !== 'refused') return;
    const firstTokenMs = firstTokens.get(key);
    const isOnTime = firstTokenMs !== undefined && firstTokenMs <= (after.targetLatencyMs ?? Infinity);
    const answered = isOnTime ? 'on-time' : 'late';
    const ended = after.refusal?.ran === 'no' ? 'refused' : 'failed';
    recordEnd(after, { firstTokenMs, state: after.phase === 'answered' ? answered : ended });
    board.requests.delete(key);
  });
}

function describeGroups(outcomes: readonly IOutcome[]): Record<string, IPlayedGroup> {
  const groups = new Map<string, IOutcome[]>();
  for (const outcome of outcomes) {
    const { account, name } = outcome.call.kind;
    const key = account === undefined ? name : `${account} ${name}`;
    const group = groups.get(key) ?? [];
    groups.set(key, group);
    group.push(outcome);
  }
  return Object.fromEntries(
    [...groups].sort().map(([key, group]) => {
      const measureShare = (states: readonly PlayedState[]): number =>
        Math.round((100 * group.filter(({ state }) => states.includes(state)).length) / group.length);
      const requests = group.reduce((sum, { call }) => sum + call.requests, 0);
      const described: IPlayedGroup = {
        asked: group.length,
        servedShare: measureShare(['on-time', 'late']),
        onTimeShare: measureShare(['on-time']),
        requestsPer100: Math.round((100 * requests) / group.length),
      };
      return [key, described];
    }),
  );
}

function describeOutcomes(
  asked: number,
  outcomes: readonly IOutcome[],
  engines: readonly PlayedEngine[],
): IPlayedResult {
  const countState = (state: PlayedState): number =>
    outcomes.filter((outcome) => outcome.state === state).length;
  const times = outcomes
    .filter(({ state }) => state === 'on-time' || state === 'late')
    .map(({ firstTokenMs = 0 }) => firstTokenMs)
    .sort((first, second) => first - second);
  const pick = (share: number): Millis =>
    Math.round((times[Math.floor(share * times.length)] ?? 0) / 10) * 10;
  const sum = (read: (engine: PlayedEngine) => number): number =>
    engines.reduce((total, engine) => total + read(engine), 0);
  const forNothing = sum(({ tokensForNothing }) => tokensForNothing);
  const made = forNothing + sum(({ tokensDelivered }) => tokensDelivered);
  return {
    asked,
    onTime: countState('on-time'),
    late: countState('late'),
    refused: countState('refused'),
    failed: countState('failed'),
    firstTokenMs: [pick(0.5), pick(0.97)],
    thousandTokensRead: Math.round(sum(({ tokensRead }) => tokensRead) / 1000),
    tokensForNothing: Math.round((100 * forNothing) / Math.max(1, made)) / 100,
  };
}

function hashToFraction(text: string): number {
  return parseInt(hashTexts(text).slice(0, 8), 16) / 16 ** 8;
}

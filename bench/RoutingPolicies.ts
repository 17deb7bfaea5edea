import yargs from 'yargs';
import { createSeededRandom, hashTexts } from '../src/adapters/Random.js';
import { Blackboard } from '../src/common/blackboard/Blackboard.js';
import type { IEndpointEntry, IRequestEntry } from '../src/common/blackboard/Types.js';
import { createDecideRetry } from '../src/common/policy/Retries.js';
import { AttemptController } from '../src/common/request/AttemptController.js';
import { CleanUpController } from '../src/common/request/CleanUpController.js';
import { DeadlineController } from '../src/common/request/DeadlineController.js';
import { OutcomeController } from '../src/common/request/OutcomeController.js';
import type { Millis, RandomSource } from '../src/common/Types.js';
import { createRoutingPolicies, type IRoutingPolicies } from '../src/daemons/Policies.js';
import { RoutingWiring } from '../src/daemons/RoutingWiring.js';
import {
  createTestEndpoint,
  createTestRequest,
  createTestService,
  TEST_TARGET,
} from '../src/testing/EntryFixtures.js';
import { ManualClock } from '../src/testing/ManualClock.js';
import { PREFILL_MS, TimedEngine, TOKEN_MS } from './TimedEngine.js';

type PolicyName = 'adaptive' | 'round-robin' | 'least-reported' | 'least-in-flight';
type ScenarioName = 'slowed' | 'stragglers' | 'crest' | 'hot-path';

const POLICIES: readonly PolicyName[] = ['adaptive', 'round-robin', 'least-reported', 'least-in-flight'];
const SCENARIOS: readonly ScenarioName[] = ['slowed', 'stragglers', 'crest', 'hot-path'];

const ENGINE_COUNT = 13;
const ENGINE_SLOTS = 16;
const ZONE_COUNT = 4;
const VERSION = 'small-1';
const ACCOUNT_COUNT = 10;
const ACCOUNT_WEIGHTS = Object.fromEntries(
  Array.from({ length: ACCOUNT_COUNT }, (_, index) => [`account-${index}`, 1]),
);
const DURATION_MS = 60_000;
/** Time after the last arrival for the requests in progress to end. */
const DRAIN_MS = 60_000;
/** Mean length of the answers of ordinary requests. */
const MEAN_TOKENS = 40;
const STRAGGLER_LENGTH_FACTOR = 50;
const STRAGGLER_SHARE = 0.01;
/** Age of an engine's load report when the hosts receive it. */
const REPORT_LAG_MS = 3000;
const REPORT_INTERVAL_MS = 500;
const SLOWDOWN_FACTOR = 10;
const SLOWDOWN_MS = 5000;
const SLOWDOWN_INTERVAL_MS = 15_000;
const ORDINARY_REQUESTS_PER_SECOND = 200;
/** Target rate of one host: 1,000 requests/s, each with 40 chunks of one token. */
const HOT_PATH_REQUESTS_PER_SECOND = 1000;
const HOT_PATH_SLOTS = 128;
const CHUNK_TOKENS = 4;
const CREST_BASE_REQUESTS_PER_SECOND = 120;
const CREST_FACTOR = 5;
const CREST_RAMP_MS = 2000;
const CREST_HOLD_MS = 20_000;
const CREST_START_MS = 10_000;
const CREST_DEADLINE_MS = 5000;

interface ITrial {
  policy: PolicyName;
  scenario: ScenarioName;
  /** Whether the trial includes the disturbance of its scenario: slowdowns, long requests or the crest. */
  isDisturbed: boolean;
  seed: number;
  hosts: number;
}

interface ITrialFigures {
  offered: number;
  completed: number;
  /** Requests refused within 100 ms. */
  refusedAtOnce: number;
  refusedLater: number;
  /** Attempts after the first of each started request, as a share of all requests. */
  extraShare: number;
  shortP50Ms: Millis;
  shortP99Ms: Millis;
  firstTokenP99Ms: Millis;
  longCompletedShare: number;
  /** Processor time of the trial per second of load. Includes the simulated clock and engines. */
  coreShare: number;
}

interface IOutcome {
  isLong: boolean;
  sentAt: Millis;
  firstTokenAt: Millis | undefined;
  endedAt: Millis;
  isCompleted: boolean;
  attempts: number;
}

function buildPolicies(policy: PolicyName, random: RandomSource): IRoutingPolicies {
  return createRoutingPolicies(random, policy === 'adaptive' ? 'default' : policy);
}

class TrialRun {
  private readonly _clock = new ManualClock();
  private readonly _random: RandomSource;
  private readonly _tokensByRequest = new Map<string, number>();
  private readonly _outcomes: IOutcome[] = [];
  private readonly _engines: TimedEngine[] = [];
  private readonly _boards: Blackboard[] = [];
  private _lastId = 0;

  constructor(private readonly _trial: ITrial) {
    this._random = createSeededRandom(_trial.seed);
    for (let index = 0; index < ENGINE_COUNT; index += 1) this._engines.push(this._createEngine());
    for (let index = 0; index < _trial.hosts; index += 1) this._boards.push(this._createHost(index));
  }

  public async run(): Promise<ITrialFigures> {
    const startedAt = process.cpuUsage();
    this._scheduleArrival();
    this._scheduleReports();
    if (this._trial.scenario === 'slowed' && this._trial.isDisturbed) this._scheduleSlowdowns();
    await this._clock.advance(DURATION_MS + DRAIN_MS);
    const { system, user } = process.cpuUsage(startedAt);
    return { ...this._buildFigures(), coreShare: (system + user) / 1000 / DURATION_MS };
  }

  private _createEngine(): TimedEngine {
    const readTokenCount = (request: string): number => this._tokensByRequest.get(request) ?? 1;
    const isHotPath = this._trial.scenario === 'hot-path';
    return new TimedEngine({
      clock: this._clock,
      slots: isHotPath ? HOT_PATH_SLOTS : ENGINE_SLOTS,
      chunkTokens: isHotPath ? 1 : CHUNK_TOKENS,
      readTokenCount,
    });
  }

  private _createHost(index: number): Blackboard {
    const board = new Blackboard();
    const clock = this._clock;
    // Without a service in force, routing would send every request back to the choice of a version.
    board.services.set('drafts', createTestService(ACCOUNT_WEIGHTS));
    for (let engine = 0; engine < ENGINE_COUNT; engine += 1)
      board.endpoints.set(`e-${engine}`, createEndpoint(engine));
    const random = createSeededRandom(this._trial.seed * 1000 + index + 1);
    const createId = (): string => `a-${(this._lastId += 1)}`;
    const location = { host: `host-${index}`, zone: `zone-${index % ZONE_COUNT}` };
    const policies = buildPolicies(this._trial.policy, random);
    const routing = new RoutingWiring({ board, clock, random, createId, hashTexts, ...location, policies });
    new AttemptController({
      board,
      clock,
      runAttempt: (call, onPart) => {
        const engine = this._engines[Number(call.endpoint.id.slice(2))];
        if (!engine) throw new RangeError(`There is no engine for the endpoint ${call.endpoint.id}.`);
        return engine.run(call, onPart);
      },
      deliverChunk: () => undefined,
    });
    const { takeRetryBudget } = routing;
    const decideRetry = createDecideRetry(random);
    new OutcomeController({ board, clock, decideRetry, takeRetryBudget });
    new DeadlineController({ board, clock });
    new CleanUpController(board);
    board.requests.onChange(({ before, after }) => {
      if (after && before?.phase !== after.phase) this._handlePhase(board, after);
    });
    return board;
  }

  private _handlePhase(board: Blackboard, request: IRequestEntry): void {
    if (request.phase !== 'answered' && request.phase !== 'refused') return;
    if (request.phase === 'answered') board.requests.update(request.id, { phase: 'billed' });
    const winner = board.attempts.get(request.winningAttempt ?? '');
    this._outcomes.push({
      isLong: (this._tokensByRequest.get(request.id) ?? 0) > 2 * MEAN_TOKENS,
      sentAt: request.receivedAt,
      firstTokenAt: winner?.firstTokenAt,
      endedAt: this._clock.now(),
      isCompleted: request.phase === 'answered',
      attempts: request.attemptCount,
    });
    board.requests.delete(request.id);
  }

  private _scheduleArrival(): void {
    const now = this._clock.now();
    if (now >= DURATION_MS) return;
    const delay = (-Math.log(1 - this._random()) * 1000) / computeRequestsPerSecond(this._trial, now);
    this._clock.schedule(delay, () => {
      if (this._clock.now() < DURATION_MS) this._sendRequest();
      this._scheduleArrival();
    });
  }

  private _sendRequest(): void {
    const { hosts, isDisturbed, scenario } = this._trial;
    const id = `r-${(this._lastId += 1)}`;
    const isStraggler = this._random() < STRAGGLER_SHARE && scenario === 'stragglers' && isDisturbed;
    const ordinaryTokens = Math.round(MEAN_TOKENS * (0.5 + this._random()));
    const tokens = isStraggler ? MEAN_TOKENS * STRAGGLER_LENGTH_FACTOR : ordinaryTokens;
    this._tokensByRequest.set(id, tokens);
    const board = this._boards[Math.floor(this._random() * hosts)];
    const account = `account-${Math.floor(this._random() ** 2 * ACCOUNT_COUNT)}`;
    const isStreaming = this._random() < 0.5;
    const now = this._clock.now();
    const deadlineMs = scenario === 'crest' ? CREST_DEADLINE_MS : DRAIN_MS;
    board?.requests.set(id, createRequest({ id, account, tokens, isStreaming, now, deadlineMs }));
  }

  private _scheduleReports(): void {
    this._clock.schedule(REPORT_INTERVAL_MS, () => {
      const reports = this._engines.map((engine) => engine.buildReport([VERSION]));
      this._clock.schedule(REPORT_LAG_MS, () => {
        const receivedAt = this._clock.now();
        for (const board of this._boards) {
          reports.forEach((report, index) =>
            board.endpoints.update(`e-${index}`, { report: { ...report, receivedAt } }),
          );
        }
      });
      if (this._clock.now() < DURATION_MS) this._scheduleReports();
    });
  }

  private _scheduleSlowdowns(): void {
    const random = createSeededRandom(this._trial.seed + 77);
    for (let start = 0; start + SLOWDOWN_INTERVAL_MS <= DURATION_MS; start += SLOWDOWN_INTERVAL_MS) {
      const at = start + random() * (SLOWDOWN_INTERVAL_MS - SLOWDOWN_MS);
      const first = Math.floor(random() * ENGINE_COUNT);
      const second = (first + 1 + Math.floor(random() * (ENGINE_COUNT - 1))) % ENGINE_COUNT;
      for (const engine of [this._engines[first], this._engines[second]]) {
        if (!engine) continue;
        this._clock.schedule(at, () => (engine.slowdownFactor = SLOWDOWN_FACTOR));
        this._clock.schedule(at + SLOWDOWN_MS, () => (engine.slowdownFactor = 1));
      }
    }
  }

  private _buildFigures(): Omit<ITrialFigures, 'coreShare'> {
    const completed = this._outcomes.filter(({ isCompleted }) => isCompleted);
    const short = completed.filter(({ isLong }) => !isLong);
    const long = this._outcomes.filter(({ isLong }) => isLong);
    const refused = this._outcomes.filter(({ isCompleted }) => !isCompleted);
    const started = this._outcomes.filter(({ attempts }) => attempts > 0);
    const extra = started.reduce((sum, { attempts }) => sum + attempts - 1, 0);
    const atOnce = refused.filter(({ endedAt, sentAt }) => endedAt - sentAt < 100).length;
    return {
      offered: this._outcomes.length,
      completed: completed.length,
      refusedAtOnce: atOnce,
      refusedLater: refused.length - atOnce,
      extraShare: extra / this._outcomes.length,
      shortP50Ms: computeQuantile(
        short.map(({ endedAt, sentAt }) => endedAt - sentAt),
        0.5,
      ),
      shortP99Ms: computeQuantile(
        short.map(({ endedAt, sentAt }) => endedAt - sentAt),
        0.99,
      ),
      firstTokenP99Ms: computeQuantile(
        short.map(({ firstTokenAt, endedAt, sentAt }) => (firstTokenAt ?? endedAt) - sentAt),
        0.99,
      ),
      longCompletedShare:
        long.length === 0 ? 1 : long.filter((item) => item.isCompleted).length / long.length,
    };
  }
}

function computeRequestsPerSecond({ isDisturbed, scenario }: ITrial, now: Millis): number {
  if (scenario === 'hot-path') return HOT_PATH_REQUESTS_PER_SECOND;
  if (scenario !== 'crest') return ORDINARY_REQUESTS_PER_SECOND;
  if (!isDisturbed) return CREST_BASE_REQUESTS_PER_SECOND;
  const rampUp = (now - CREST_START_MS) / CREST_RAMP_MS;
  const rampDown = (CREST_START_MS + CREST_RAMP_MS + CREST_HOLD_MS - now) / CREST_RAMP_MS + 1;
  const crestShare = Math.max(0, Math.min(1, rampUp, rampDown));
  return CREST_BASE_REQUESTS_PER_SECOND * (1 + (CREST_FACTOR - 1) * crestShare);
}

/** Estimates with a fluid model how many requests the engines can finish at most before their deadlines. */
function computeCrestCapacity(trial: ITrial): number {
  const stepMs = 10;
  const serviceMs = PREFILL_MS + MEAN_TOKENS * TOKEN_MS * 1.5;
  const capacityPerStep = (ENGINE_COUNT * ENGINE_SLOTS * stepMs) / serviceMs;
  const waiting: { at: Millis; count: number }[] = [];
  let served = 0;
  for (let now = 0; now < DURATION_MS + CREST_DEADLINE_MS; now += stepMs) {
    if (now < DURATION_MS)
      waiting.push({ at: now, count: (computeRequestsPerSecond(trial, now) * stepMs) / 1000 });
    while (waiting[0] && now - waiting[0].at > CREST_DEADLINE_MS - serviceMs) waiting.shift();
    let remainingCapacity = capacityPerStep;
    for (let first = waiting[0]; first && remainingCapacity > 0; first = waiting[0]) {
      const count = Math.min(remainingCapacity, first.count);
      served += count;
      remainingCapacity -= count;
      first.count -= count;
      if (first.count <= 1e-9) waiting.shift();
    }
  }
  return served;
}

function computeQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((first, second) => first - second);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0);
}

function createEndpoint(index: number): IEndpointEntry {
  return createTestEndpoint(`e-${index}`, { zone: `zone-${index % ZONE_COUNT}`, versions: [VERSION] });
}

interface IRequestOptions {
  id: string;
  account: string;
  tokens: number;
  isStreaming: boolean;
  now: Millis;
  deadlineMs: Millis;
}

function createRequest({
  account,
  deadlineMs,
  id,
  isStreaming,
  now,
  tokens,
}: IRequestOptions): IRequestEntry {
  const target = { ...TEST_TARGET, model: VERSION, isStreaming, maxTokens: Math.ceil(tokens * 1.5) };
  return createTestRequest(id, {
    account,
    target,
    receivedAt: now,
    deadlineAt: now + deadlineMs,
    version: VERSION,
  });
}

async function measureScenario(
  scenario: ScenarioName,
  seed: number,
  hosts: number,
  policies: readonly PolicyName[],
): Promise<object> {
  const results: Record<string, object> = {};
  for (const policy of policies) {
    const trial: ITrial = { policy, scenario, seed, hosts, isDisturbed: true };
    const disturbed = await new TrialRun(trial).run();
    const calm = await new TrialRun({ ...trial, isDisturbed: false }).run();
    results[policy] = {
      p99Ratio: Number((disturbed.shortP99Ms / calm.shortP99Ms).toFixed(2)),
      firstTokenP99Ratio: Number((disturbed.firstTokenP99Ms / calm.firstTokenP99Ms).toFixed(2)),
      ...(scenario === 'crest'
        ? { ofCapacity: Number((disturbed.completed / computeCrestCapacity(trial)).toFixed(3)) }
        : {}),
      disturbed,
      calm,
    };
  }
  return results;
}

const options = await yargs(process.argv.slice(2))
  .option('scenario', { choices: SCENARIOS, array: true, default: SCENARIOS })
  .option('seed', { type: 'number', array: true, default: [20261204] })
  .option('policy', { choices: POLICIES, array: true, default: POLICIES })
  .option('hosts', { type: 'number', default: 7 })
  .strict()
  .parse();

const report: object[] = [];
for (const scenario of options.scenario) {
  for (const seed of options.seed) {
    const policies = await measureScenario(scenario, seed, options.hosts, options.policy);
    report.push({ scenario, seed, hosts: options.hosts, policies });
  }
}
process.stdout.write(`${JSON.stringify(report, undefined, 1)}\n`);

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
import { Routing } from '../src/daemons/RoutingWiring.js';
import {
  createTestEndpoint,
  createTestRequest,
  createTestService,
  TEST_TARGET,
} from '../src/testing/Entries.js';
import { ManualClock } from '../src/testing/ManualClock.js';
import { PREFILL_MS, TimedEngine, TOKEN_MS } from './TimedEngine.js';

type PolicyName = 'adaptive' | 'round-robin' | 'least-reported' | 'least-in-flight';
type ScenarioName = 'slowed' | 'stragglers' | 'crest' | 'hot-path';

const POLICIES: readonly PolicyName[] = ['adaptive', 'round-robin', 'least-reported', 'least-in-flight'];
const SCENARIOS: readonly ScenarioName[] = ['slowed', 'stragglers', 'crest', 'hot-path'];

const ENGINES = 13;
const SLOTS = 16;
const ZONES = 4;
const VERSION = 'small-1';
const ACCOUNTS = 10;
const ACCOUNT_WEIGHTS = Object.fromEntries(
  Array.from({ length: ACCOUNTS }, (_, index) => [`account-${index}`, 1]),
);
const DURATION_MS = 60_000;
const DRAIN_MS = 60_000;
const MEAN_TOKENS = 40;
const STRAGGLER_FACTOR = 50;
const STRAGGLER_SHARE = 0.01;
const REPORT_LAG_MS = 3000;
const REPORT_INTERVAL_MS = 500;
const SLOW_FACTOR = 10;
const SLOW_MS = 5000;
const SLOW_EVERY_MS = 15_000;
const ORDINARY_RATE = 200;
/** One host at its target rate: 1,000 requests/s with 40 chunks of one token each. */
const HOT_PATH_RATE = 1000;
const HOT_PATH_SLOTS = 128;
const CHUNK_TOKENS = 4;
const CREST_BASE_RATE = 120;
const CREST_FACTOR = 5;
const CREST_RAMP_MS = 2000;
const CREST_HOLD_MS = 20_000;
const CREST_START_MS = 10_000;
const CREST_DEADLINE_MS = 5000;

interface ITrial {
  policy: PolicyName;
  scenario: ScenarioName;
  /** Whether the disturbance of the scenario takes place. */
  isDisturbed: boolean;
  seed: number;
  hosts: number;
}

interface ITrialFigures {
  offered: number;
  completed: number;
  refusedAtOnce: number;
  refusedLater: number;
  /** Attempts beyond one for each started request, as a share of requests. */
  extraShare: number;
  shortP50Ms: Millis;
  shortP99Ms: Millis;
  firstTokenP99Ms: Millis;
  longCompletedShare: number;
  /** Processor time of the whole run, clock and engines included, per second of load. */
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
  private readonly _tokens = new Map<string, number>();
  private readonly _outcomes: IOutcome[] = [];
  private readonly _engines: TimedEngine[] = [];
  private readonly _boards: Blackboard[] = [];
  private _lastId = 0;

  constructor(private readonly _trial: ITrial) {
    this._random = createSeededRandom(_trial.seed);
    for (let index = 0; index < ENGINES; index += 1) this._engines.push(this._createEngine());
    for (let index = 0; index < _trial.hosts; index += 1) this._boards.push(this._createHost(index));
  }

  public async run(): Promise<ITrialFigures> {
    const startedAt = process.cpuUsage();
    this._scheduleArrival();
    this._scheduleReports();
    if (this._trial.scenario === 'slowed' && this._trial.isDisturbed) this._scheduleSlowness();
    await this._clock.advance(DURATION_MS + DRAIN_MS);
    const { system, user } = process.cpuUsage(startedAt);
    return { ...this._buildFigures(), coreShare: (system + user) / 1000 / DURATION_MS };
  }

  private _createEngine(): TimedEngine {
    const readTokens = (request: string): number => this._tokens.get(request) ?? 1;
    const isHotPath = this._trial.scenario === 'hot-path';
    return new TimedEngine({
      clock: this._clock,
      slots: isHotPath ? HOT_PATH_SLOTS : SLOTS,
      chunkTokens: isHotPath ? 1 : CHUNK_TOKENS,
      readTokens,
    });
  }

  private _createHost(index: number): Blackboard {
    const board = new Blackboard();
    const clock = this._clock;
    // Without a service in force, every request would be sent back for another version.
    board.services.set('drafts', createTestService(ACCOUNT_WEIGHTS));
    for (let engine = 0; engine < ENGINES; engine += 1)
      board.endpoints.set(`e-${engine}`, createEndpoint(engine));
    const random = createSeededRandom(this._trial.seed * 1000 + index + 1);
    const createId = (): string => `a-${(this._lastId += 1)}`;
    const place = { host: `host-${index}`, zone: `zone-${index % ZONES}` };
    const policies = buildPolicies(this._trial.policy, random);
    const routing = new Routing({ board, clock, random, createId, hashTexts, ...place, policies });
    new AttemptController({
      board,
      clock,
      runAttempt: (call, onPart) => {
        const engine = this._engines[Number(call.endpoint.id.slice(2))];
        if (!engine) throw new RangeError(`No engine ${call.endpoint.id}`);
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
    const winner = board.attempts.get(request.winner ?? '');
    this._outcomes.push({
      isLong: (this._tokens.get(request.id) ?? 0) > 2 * MEAN_TOKENS,
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
    const delay = (-Math.log(1 - this._random()) * 1000) / computeRate(this._trial, now);
    this._clock.schedule(delay, () => {
      if (this._clock.now() < DURATION_MS) this._sendRequest();
      this._scheduleArrival();
    });
  }

  private _sendRequest(): void {
    const { hosts, isDisturbed, scenario } = this._trial;
    const id = `r-${(this._lastId += 1)}`;
    const isStraggler = this._random() < STRAGGLER_SHARE && scenario === 'stragglers' && isDisturbed;
    const short = Math.round(MEAN_TOKENS * (0.5 + this._random()));
    const tokens = isStraggler ? MEAN_TOKENS * STRAGGLER_FACTOR : short;
    this._tokens.set(id, tokens);
    const board = this._boards[Math.floor(this._random() * hosts)];
    const account = `account-${Math.floor(this._random() ** 2 * ACCOUNTS)}`;
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

  private _scheduleSlowness(): void {
    const random = createSeededRandom(this._trial.seed + 77);
    for (let start = 0; start + SLOW_EVERY_MS <= DURATION_MS; start += SLOW_EVERY_MS) {
      const at = start + random() * (SLOW_EVERY_MS - SLOW_MS);
      const first = Math.floor(random() * ENGINES);
      const second = (first + 1 + Math.floor(random() * (ENGINES - 1))) % ENGINES;
      for (const engine of [this._engines[first], this._engines[second]]) {
        if (!engine) continue;
        this._clock.schedule(at, () => (engine.slowness = SLOW_FACTOR));
        this._clock.schedule(at + SLOW_MS, () => (engine.slowness = 1));
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

function computeRate({ isDisturbed, scenario }: ITrial, now: Millis): number {
  if (scenario === 'hot-path') return HOT_PATH_RATE;
  if (scenario !== 'crest') return ORDINARY_RATE;
  if (!isDisturbed) return CREST_BASE_RATE;
  const rise = (now - CREST_START_MS) / CREST_RAMP_MS;
  const fall = (CREST_START_MS + CREST_RAMP_MS + CREST_HOLD_MS - now) / CREST_RAMP_MS + 1;
  const height = Math.max(0, Math.min(1, rise, fall));
  return CREST_BASE_RATE * (1 + (CREST_FACTOR - 1) * height);
}

/** Fluid model of the most requests that the engines can finish before their deadlines. */
function computeCrestCapacity(trial: ITrial): number {
  const stepMs = 10;
  const serviceMs = PREFILL_MS + MEAN_TOKENS * TOKEN_MS * 1.5;
  const perStep = (ENGINES * SLOTS * stepMs) / serviceMs;
  const waiting: { at: Millis; count: number }[] = [];
  let served = 0;
  for (let now = 0; now < DURATION_MS + CREST_DEADLINE_MS; now += stepMs) {
    if (now < DURATION_MS) waiting.push({ at: now, count: (computeRate(trial, now) * stepMs) / 1000 });
    while (waiting[0] && now - waiting[0].at > CREST_DEADLINE_MS - serviceMs) waiting.shift();
    let room = perStep;
    for (let first = waiting[0]; first && room > 0; first = waiting[0]) {
      const count = Math.min(room, first.count);
      served += count;
      room -= count;
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
  return createTestEndpoint(`e-${index}`, { zone: `zone-${index % ZONES}`, versions: [VERSION] });
}

interface IRequestDraft {
  id: string;
  account: string;
  tokens: number;
  isStreaming: boolean;
  now: Millis;
  deadlineMs: Millis;
}

function createRequest({ account, deadlineMs, id, isStreaming, now, tokens }: IRequestDraft): IRequestEntry {
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
  names: readonly PolicyName[],
): Promise<object> {
  const results: Record<string, object> = {};
  for (const policy of names) {
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

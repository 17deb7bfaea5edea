import { formatRequestName } from '../../src/load/LoadCall.js';
import { runLoad } from '../../src/load/LoadRunner.js';
import { DEFAULT_PLAN } from '../../src/load/Schedule.js';
import type { ICallOutcome, ILoadSummary, ILoadTarget, IPlannedRequest } from '../../src/load/Types.js';
import { waitFor } from '../../src/standins/HttpTools.js';
import { readExecutionRecords } from '../ExecutionRecords.js';
import { planFaults, runFaults } from '../Faults.js';
import { startFleet } from '../Fleet.js';
import type { IFleet } from '../fleet/Types.js';
import { hashPlannedRequest, readJournal } from '../JournalReader.js';
import { buildTarget } from '../Loads.js';
import type { IPlotRow, IScenarioOptions, IScenarioResult } from '../Types.js';

const VERSION = 'small-1';
const REQUESTS_PER_SECOND = 25;
/** Gives 200 requests per seed, and so the 10,000 requests that the design asks for with 50 seeds. */
const DURATION_MS = 8000;
/**
 * Time after the last fault for held bills and unfinished journal commits to reach the store. If the host that
 * served a request was killed and has restarted, a peer appends its copy of the bill 30 s after receiving it.
 */
const SETTLE_MS = 45_000;
const MAX_TRIES = 10;
const REPEAT_DELAY_MS = 400;

interface ISeedRun {
  seed: number;
  summary: ILoadSummary;
  /** Requests whose whole answer reached the caller. */
  delivered: number;
  bills: number;
  deliveredWithoutBill: number;
  billedWithoutDelivery: number;
  /** Largest number of executions of one non-idempotent request. */
  mostNonIdempotentRuns: number;
  /** Requests that ran although every try was refused as not run. */
  falseNotRun: number;
  /** Names of the requests that failed a check, to find them in the logs. */
  suspects: readonly string[];
}

/**
 * Injects random faults of hosts, store and endpoints under load. Compares the answers that callers received
 * with the execution records of the endpoints and with the journal.
 */
export async function runOnceAndBilled(options: IScenarioOptions): Promise<IScenarioResult> {
  const runs: ISeedRun[] = [];
  for (let seed = options.seed; seed < options.seed + options.seeds; seed += 1) {
    runs.push(await runSeed(options, seed));
  }
  const sum = (read: (run: ISeedRun) => number): number => runs.reduce((total, run) => total + read(run), 0);
  const zeroTarget = { unit: '', target: 0, bound: 'at-most' } as const;
  return {
    measures: [
      {
        name: 'answers delivered without a bill',
        value: sum((run) => run.deliveredWithoutBill),
        ...zeroTarget,
      },
      {
        name: 'bills without an answer delivered',
        value: sum((run) => run.billedWithoutDelivery),
        ...zeroTarget,
      },
      {
        name: 'difference of bills and answers delivered',
        value: sum((run) => Math.abs(run.bills - run.delivered)),
        ...zeroTarget,
      },
      {
        name: 'most runs of a non-idempotent request',
        value: Math.max(...runs.map((run) => run.mostNonIdempotentRuns)),
        unit: 'runs',
        target: 1,
        bound: 'at-most',
      },
      { name: 'requests with a false "not run"', value: sum((run) => run.falseNotRun), ...zeroTarget },
      {
        name: 'answers delivered',
        value: sum((run) => run.delivered),
        unit: '',
        target: undefined,
        bound: 'at-least',
      },
      {
        name: 'requests',
        value: sum((run) => run.summary.requests),
        unit: '',
        target: undefined,
        bound: 'at-least',
      },
    ],
    runs: Object.fromEntries(runs.map((run) => [`seed ${run.seed}`, run])),
    plots: [
      {
        name: 'once-and-billed-seeds',
        title: 'Answers delivered and bills by seed',
        xTitle: 'seed',
        yTitle: 'count',
        scale: 'linear',
        rows: runs.flatMap((run): IPlotRow[] => [
          { series: 'answers delivered', x: run.seed, y: run.delivered },
          { series: 'bills', x: run.seed, y: run.bills },
        ]),
      },
    ],
  };
}

async function runSeed(options: IScenarioOptions, seed: number): Promise<ISeedRun> {
  const engine = { versions: [VERSION], stepMs: 5, prefillMs: 20, checksFencing: seed % 2 === 0 };
  const fleet = await startFleet({
    document: {
      versions: [{ name: VERSION, model: 'small', price: 1, quality: 0.95 }],
      accounts: 10,
      plainService: 'ledger',
    },
    engines: Array.from({ length: 4 }, () => engine),
    plainEndpoints: 2,
    hosts: options.hosts,
    zones: 3,
    policy: options.policy,
    hasTimeline: false,
  });
  try {
    return await runWithFaults(fleet, seed, DURATION_MS * options.scale);
  } finally {
    await fleet.close();
  }
}

async function runWithFaults(fleet: IFleet, seed: number, durationMs: number): Promise<ISeedRun> {
  const outcomes = new Map<string, ICallOutcome[]>();
  const target = buildTarget(
    fleet.hosts.map(({ address }) => address),
    VERSION,
    {
      deadlineMs: 10_000,
      timeoutMs: 15_000,
    },
  );
  const load = runLoad({
    plan: {
      ...DEFAULT_PLAN,
      seed,
      tokens: 24,
      steps: [{ requestsPerSecond: REQUESTS_PER_SECOND, durationMs }],
      kindWeights: { stream: 1, whole: 1, plain: 2 },
      keyedShare: 1,
      accounts: 10,
      sessions: 20,
    },
    target,
    chooseRepeatDelay,
    onOutcome: (outcome) => {
      const name = formatRequestName(outcome.request);
      outcomes.set(name, [...(outcomes.get(name) ?? []), outcome]);
    },
  });
  const [summary] = await Promise.all([load, runFaults(fleet, planFaults(seed, durationMs))]);
  await waitFor(SETTLE_MS);
  return { seed, summary, ...(await checkOutcomes(fleet, target, outcomes)) };
}

/** Repeats a request with its key after a broken connection, a temporary refusal or an unknown outcome. */
function chooseRepeatDelay({ isComplete, status, tries }: ICallOutcome): number | undefined {
  const isFinal = isComplete || tries >= MAX_TRIES || status === 400 || status === 403 || status === 410;
  return isFinal ? undefined : REPEAT_DELAY_MS * tries;
}

async function checkOutcomes(
  fleet: IFleet,
  target: ILoadTarget,
  outcomes: ReadonlyMap<string, readonly ICallOutcome[]>,
): Promise<Omit<ISeedRun, 'seed' | 'summary'>> {
  const { engineRuns, plainRuns } = await readExecutionRecords(fleet);
  const journal = await readJournal(fleet.store.address);
  const isBilled = (request: IPlannedRequest): boolean =>
    journal.records.get(hashPlannedRequest(target, request))?.billedRequest !== undefined;
  const requests = [...outcomes].map(([name, tries]) => ({
    name,
    tries,
    isDelivered: tries.some(({ isComplete }) => isComplete),
    isBilled: tries[0] !== undefined && isBilled(tries[0].request),
    runs: (engineRuns.get(name) ?? 0) + (plainRuns.get(name) ?? 0),
  }));
  const deliveredWithoutBill = requests.filter((entry) => entry.isDelivered && !entry.isBilled);
  const billedWithoutDelivery = requests.filter((entry) => !entry.isDelivered && entry.isBilled);
  // The records do not show which try ran. So only requests whose every try was refused as "not run" are
  // checked.
  const falseNotRun = requests.filter(
    ({ runs, tries }) => runs > 0 && tries.every(({ ran }) => ran === 'no'),
  );
  const repeatedNames = [...plainRuns].filter(([, count]) => count > 1).map(([name]) => name);
  return {
    delivered: requests.filter((entry) => entry.isDelivered).length,
    bills: journal.bills,
    deliveredWithoutBill: deliveredWithoutBill.length,
    billedWithoutDelivery: billedWithoutDelivery.length,
    mostNonIdempotentRuns: Math.max(0, ...plainRuns.values()),
    falseNotRun: falseNotRun.length,
    suspects: [...deliveredWithoutBill, ...billedWithoutDelivery, ...falseNotRun]
      .map(({ name }) => name)
      .concat(repeatedNames),
  };
}

import { formatRequestName } from '../../src/load/LoadCall.js';
import { runLoad } from '../../src/load/LoadRunner.js';
import { DEFAULT_PLAN } from '../../src/load/Schedule.js';
import type { ICallOutcome, ILoadSummary, ILoadTarget, IPlannedRequest } from '../../src/load/Types.js';
import { waitFor } from '../../src/standins/HttpTools.js';
import { readBooks } from '../Books.js';
import { planFaults, runFaults } from '../Faults.js';
import { startFleet } from '../Fleet.js';
import type { IFleet } from '../fleet/Types.js';
import { hashPlannedRequest, readJournal } from '../JournalReader.js';
import { buildTarget } from '../Loads.js';
import type { IPlotRow, IScenarioOptions, IScenarioResult } from '../Types.js';

const VERSION = 'small-1';
const REQUESTS_PER_SECOND = 25;
/** 200 requests a seed make the design's 10,000 requests with 50 seeds. */
const DURATION_MS = 8000;
/**
 * Time for held bills and open commits to reach the store after the last fault. A peer appends its copies
 * 30 s after it took them when their host was killed and has started again.
 */
const SETTLE_MS = 45_000;
const MAX_TRIES = 10;
const REPEAT_DELAY_MS = 400;

interface ISeedRun {
  seed: number;
  summary: ILoadSummary;
  delivered: number;
  bills: number;
  deliveredWithoutBill: number;
  billedWithoutDelivery: number;
  mostNonIdempotentRuns: number;
  falseNotRun: number;
  /** Names of the requests behind the faults found, for a trace. */
  suspects: readonly string[];
}

/** Random failures of hosts, store and endpoints, checked against the endpoints' books and the journal. */
export async function runOnceAndBilled(options: IScenarioOptions): Promise<IScenarioResult> {
  const runs: ISeedRun[] = [];
  for (let seed = options.seed; seed < options.seed + options.seeds; seed += 1) {
    runs.push(await runSeed(options, seed));
  }
  const sum = (read: (run: ISeedRun) => number): number => runs.reduce((total, run) => total + read(run), 0);
  const none = { unit: '', target: 0, bound: 'at-most' } as const;
  return {
    measures: [
      { name: 'answers delivered without a bill', value: sum((run) => run.deliveredWithoutBill), ...none },
      { name: 'bills without an answer delivered', value: sum((run) => run.billedWithoutDelivery), ...none },
      {
        name: 'difference of bills and answers delivered',
        value: sum((run) => Math.abs(run.bills - run.delivered)),
        ...none,
      },
      {
        name: 'most runs of a non-idempotent request',
        value: Math.max(...runs.map((run) => run.mostNonIdempotentRuns)),
        unit: 'runs',
        target: 1,
        bound: 'at-most',
      },
      { name: 'requests with a false "not run"', value: sum((run) => run.falseNotRun), ...none },
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
    plains: 2,
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
      mix: { stream: 1, whole: 1, plain: 2 },
      keyedShare: 1,
      accounts: 10,
      sessions: 20,
    },
    target,
    decideRepeat,
    onOutcome: (outcome) => {
      const name = formatRequestName(outcome.request);
      outcomes.set(name, [...(outcomes.get(name) ?? []), outcome]);
    },
  });
  const [summary] = await Promise.all([load, runFaults(fleet, planFaults(seed, durationMs))]);
  await waitFor(SETTLE_MS);
  return { seed, summary, ...(await checkOutcomes(fleet, target, outcomes)) };
}

/** Callers repeat with the same key after broken connections, refusals for now and unknown outcomes. */
function decideRepeat({ isComplete, status, tries }: ICallOutcome): number | undefined {
  const isFinal = isComplete || tries >= MAX_TRIES || status === 400 || status === 403 || status === 410;
  return isFinal ? undefined : REPEAT_DELAY_MS * tries;
}

async function checkOutcomes(
  fleet: IFleet,
  target: ILoadTarget,
  outcomes: ReadonlyMap<string, readonly ICallOutcome[]>,
): Promise<Omit<ISeedRun, 'seed' | 'summary'>> {
  const { engineRuns, plainRuns } = await readBooks(fleet);
  const journal = await readJournal(fleet.store.address);
  const isBilled = (request: IPlannedRequest): boolean =>
    journal.records.get(hashPlannedRequest(target, request))?.billedRequest !== undefined;
  const named = [...outcomes].map(([name, tries]) => ({
    name,
    tries,
    isDelivered: tries.some(({ isComplete }) => isComplete),
    isBilled: tries[0] !== undefined && isBilled(tries[0].request),
    runs: (engineRuns.get(name) ?? 0) + (plainRuns.get(name) ?? 0),
  }));
  const unbilled = named.filter((entry) => entry.isDelivered && !entry.isBilled);
  const undelivered = named.filter((entry) => !entry.isDelivered && entry.isBilled);
  // A later try may run, so only requests whose every try was refused as "not run" are checked.
  const falseNotRun = named.filter(({ runs, tries }) => runs > 0 && tries.every(({ ran }) => ran === 'no'));
  const repeated = [...plainRuns].filter(([, count]) => count > 1).map(([name]) => name);
  return {
    delivered: named.filter((entry) => entry.isDelivered).length,
    bills: journal.bills,
    deliveredWithoutBill: unbilled.length,
    billedWithoutDelivery: undelivered.length,
    mostNonIdempotentRuns: Math.max(0, ...plainRuns.values()),
    falseNotRun: falseNotRun.length,
    suspects: [...unbilled, ...undelivered, ...falseNotRun].map(({ name }) => name).concat(repeated),
  };
}

import { runLoad } from '../src/load/LoadRunner.js';
import { DEFAULT_PLAN } from '../src/load/Schedule.js';
import type { ICallOutcome, ILoadPlan, ILoadSummary, ILoadTarget } from '../src/load/Types.js';
import { formatAccountKey } from './Documents.js';
import type { IProcess } from './Processes.js';

/** Summary of a load and the outcome of each of its requests. */
export interface ILoadResult {
  summary: ILoadSummary;
  outcomes: readonly ICallOutcome[];
}

/** Length of the prompt of a chat completion. */
const PROMPT_CHARACTERS = 400;

/** Builds the target of a load. The load uses the addresses in turn, as a round-robin load balancer does. */
export function buildTarget(
  addresses: readonly string[],
  model: string,
  overrides: Partial<ILoadTarget> = {},
  accounts = 10,
): ILoadTarget {
  return {
    chooseAddress: ({ index }, tries) => addresses[(index + tries) % addresses.length] ?? '',
    keys: Array.from({ length: accounts }, (_, account) => formatAccountKey(account)),
    model,
    plainPath: '/services/ledger/refunds',
    prompt: 'x'.repeat(PROMPT_CHARACTERS),
    ...overrides,
  };
}

/** Runs a load and collects the outcomes of its requests. */
export async function runAndCollectOutcomes(
  plan: Partial<ILoadPlan>,
  target: ILoadTarget,
): Promise<ILoadResult> {
  const outcomes: ICallOutcome[] = [];
  const summary = await runLoad({
    plan: { ...DEFAULT_PLAN, ...plan },
    target,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  return { summary, outcomes };
}

/** Runs `work` and measures the processor time in ms that the process uses in the meantime. */
export async function measureCpuTime<T>(process: IProcess, work: () => Promise<T>): Promise<[T, number]> {
  const before = process.readUsage().cpuMs;
  const result = await work();
  return [result, process.readUsage().cpuMs - before];
}

/** Returns the times to first token of the requests whose whole answer arrived. */
export function listFirstTokenTimes(outcomes: readonly ICallOutcome[]): number[] {
  return outcomes.flatMap(({ firstTokenMs, isComplete }) =>
    isComplete && firstTokenMs !== undefined ? [firstTokenMs] : [],
  );
}

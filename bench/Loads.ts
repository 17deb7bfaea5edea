import { runLoad } from '../src/load/LoadRunner.js';
import { DEFAULT_PLAN } from '../src/load/Schedule.js';
import type { ICallOutcome, ILoadPlan, ILoadSummary, ILoadTarget } from '../src/load/Types.js';
import { formatAccountKey } from './Documents.js';
import type { IProcess } from './Processes.js';

/** A load together with the outcome of each request. */
export interface ILoadResult {
  summary: ILoadSummary;
  outcomes: readonly ICallOutcome[];
}

/** Characters of prompt of an ordinary request. */
const PROMPT_CHARACTERS = 400;

/** Builds the target of a load over one or more addresses, used in turn as a balancer does. */
export function buildTarget(
  addresses: readonly string[],
  model: string,
  more: Partial<ILoadTarget> = {},
  accounts = 10,
): ILoadTarget {
  return {
    chooseAddress: ({ index }, tries) => addresses[(index + tries) % addresses.length] ?? '',
    keys: Array.from({ length: accounts }, (_, account) => formatAccountKey(account)),
    model,
    plainPath: '/services/ledger/refunds',
    prompt: 'x'.repeat(PROMPT_CHARACTERS),
    ...more,
  };
}

/** Runs a load and keeps the outcomes. */
export async function runAndCollect(plan: Partial<ILoadPlan>, target: ILoadTarget): Promise<ILoadResult> {
  const outcomes: ICallOutcome[] = [];
  const summary = await runLoad({
    plan: { ...DEFAULT_PLAN, ...plan },
    target,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  return { summary, outcomes };
}

/** Runs work and measures the processor time that a process spends on it. */
export async function measureCpu<T>(process: IProcess, work: () => Promise<T>): Promise<[T, number]> {
  const before = process.readUsage().cpuMs;
  const result = await work();
  return [result, process.readUsage().cpuMs - before];
}

/** Reads the first-token times of complete answers. */
export function listFirstTokens(outcomes: readonly ICallOutcome[]): number[] {
  return outcomes.flatMap(({ firstTokenMs, isComplete }) =>
    isComplete && firstTokenMs !== undefined ? [firstTokenMs] : [],
  );
}

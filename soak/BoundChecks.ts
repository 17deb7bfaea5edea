import type { Millis } from '../src/common/Types.js';
import type { ICheck } from './CheckController.js';
import { isRouterUndisturbed, isRunnerUndisturbed, SETTLING_MS } from './Disturbances.js';
import type { SoakBoard } from './SoakBoard.js';
import type { IRateLimitEntry, IRunEntry } from './Types.js';

/** Crash by a part of prompts from which on it must be known, and calls with it that may still reach runners. */
const KNOWN_FROM_CRASH = 5;
const MAX_LATE_CALLS = 3;

/** Window in which the calls to a limited runner are counted, and the factor and number above its limit. */
const RATE_WINDOW_MS: Millis = 4000;
const RATE_FACTOR = 1.5;
const RATE_SLACK = 5;

/** Time after which a router that a runner has told its limit must keep to it. */
const TOLD_DELAY_MS: Millis = 500;

/** Checks of bounds that hold for all routers together. */
export const BOUND_CHECKS: readonly ICheck[] = [
  { promise: 'crashing-prompts', checkAll: checkCrashingParts },
  { promise: 'rate-limits', checkAll: checkRateLimits },
];

function checkCrashingParts(board: SoakBoard): string[] {
  return [...board.crashingParts.list()].flatMap(({ crashedAt, part }) => {
    const knownAt = crashedAt[KNOWN_FROM_CRASH - 1];
    if (knownAt === undefined) return [];
    const late = [...board.runs.list()].filter(
      ({ call, promptParts, startedAt }) =>
        promptParts.includes(`${part}:`) &&
        startedAt > knownAt + SETTLING_MS &&
        isRouterUndisturbed(board, board.calls.get(call)?.router ?? '', startedAt),
    );
    return late.length > MAX_LATE_CALLS
      ? [`${late.length} calls with ${part} reached runners after ${crashedAt.length} crashes`]
      : [];
  });
}

function checkRateLimits(board: SoakBoard): string[] {
  return [...board.rateLimits.list()].flatMap((limit) => {
    const counted = listCountedRuns(board, limit);
    const allowed = RATE_FACTOR * limit.callsPerS * (RATE_WINDOW_MS / 1000) + RATE_SLACK;
    const counts = counted.map(
      ({ startedAt: from }) =>
        counted.filter(({ startedAt }) => startedAt >= from && startedAt < from + RATE_WINDOW_MS).length,
    );
    const most = Math.max(0, ...counts);
    return most > allowed
      ? [`${limit.runner} got ${most} calls in ${RATE_WINDOW_MS} ms, ${allowed} allowed`]
      : [];
  });
}

/** Lists the runs at a limited runner that were sent by routers which it had told its limit. */
function listCountedRuns(board: SoakBoard, { runner, startedAt: limitedAt }: IRateLimitEntry): IRunEntry[] {
  const toldAt = new Map<string, Millis>();
  return [...board.runs.list()].filter((run) => {
    if (run.runner !== runner || run.startedAt < limitedAt) return false;
    const call = board.calls.get(run.call);
    if (!call) return false;
    const process = `${call.router} ${call.incarnation}`;
    const told = toldAt.get(process);
    if (run.status === 200 && told === undefined) toldAt.set(process, run.endedAt ?? run.startedAt);
    return (
      told !== undefined &&
      run.startedAt > told + TOLD_DELAY_MS &&
      run.startedAt > limitedAt + SETTLING_MS &&
      isRouterUndisturbed(board, call.router, run.startedAt) &&
      // A runner that has started again begins without its limit.
      isRunnerUndisturbed(board, runner, run.startedAt, run.startedAt)
    );
  });
}

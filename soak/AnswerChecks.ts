import { formatAnswer, parsePieces, parseStamp } from './Answers.js';
import type { ICheck } from './CheckController.js';
import { SETTLING_MS, findDisturbance, isRouterUndisturbed, isRunnerUndisturbed } from './Disturbances.js';
import type { SoakBoard } from './SoakBoard.js';
import type { ICallEntry, IRunEntry } from './Types.js';

/** Statuses that assure the caller that its call was not executed. */
const NOT_EXECUTED_STATUSES = [408, 421, 429, 503];

/** Longest time for which a run may continue after another run has resumed its stream. */
const MAX_OVERLAP_MS = 400;

/** Checks of the answers that callers receive and of the calls that runners receive. */
export const ANSWER_CHECKS: readonly ICheck[] = [
  { promise: 'whole-answers', checkCall: checkWholeAnswer },
  { promise: 'stream-order', checkCall: checkStreamOrder },
  { promise: 'true-refusals', checkCall: checkRefusal, checkRun: checkRunAfterRefusal },
  { promise: 'unchanged-calls', checkRun: checkUnchangedCall },
  { promise: 'single-run', checkRun: checkSingleRun },
  { promise: 'one-run-at-a-time', checkAll: checkConcurrentRuns },
  { promise: 'attempt-limits', checkAll: checkAttemptLimits },
];

function checkWholeAnswer(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  const { answer = '', id, isComplete = false, kind, stamp, status = 0 } = call;
  const isSuccess = status >= 200 && status < 300;
  if (stamp === undefined) return isSuccess ? `${id} got ${status} without a runner's stamp` : undefined;
  const run = board.runs.get(parseStamp(stamp));
  if (run?.call !== id) return `${id} got the answer of ${run?.call ?? 'no call'}`;
  if (run.status !== undefined && run.status !== status)
    return `${id} got ${status}, its runner sent ${run.status}`;
  if (kind === 'streaming' || !isComplete) return undefined;
  return answer === formatAnswer(run) ? undefined : `${id} got other bytes than run ${run.number} sent`;
}

function checkStreamOrder(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  const { answer = '', id, isComplete, kind, status } = call;
  if (kind !== 'streaming' || status !== 200) return undefined;
  const { pieces, rest } = parsePieces(answer);
  let previousRun: Readonly<IRunEntry> | undefined;
  for (const [index, piece] of pieces.entries()) {
    const run = board.runs.get(piece.run);
    if (piece.id !== index + 1) return `${id} got piece ${piece.id} in place ${index + 1}`;
    if (piece.call !== id || run?.call !== id) return `${id} got a piece of ${piece.call}`;
    const isNewRun = previousRun !== undefined && run.number !== previousRun.number;
    if (isNewRun && run.resumeAfter !== index)
      return `${id} joins run ${run.number}, which does not resume after piece ${index}`;
    if (isNewRun && run.model !== previousRun?.model) return `${id} changes its model after piece ${index}`;
    previousRun = run;
  }
  if (isComplete && rest !== '') return `${id} ends as complete within a piece`;
  return isComplete && pieces.at(-1)?.isLast !== true
    ? `${id} ends as complete before its last piece`
    : undefined;
}

function checkRefusal(
  board: SoakBoard,
  { id, kind, stamp, status = 0 }: Readonly<ICallEntry>,
): string | undefined {
  if (kind !== 'unsafe' || stamp !== undefined || !NOT_EXECUTED_STATUSES.includes(status)) return undefined;
  const run = board.listRuns(id).find(({ wasExecuted }) => wasExecuted);
  return run && `${id} was refused with ${status} and had run at ${run.runner}`;
}

function checkRunAfterRefusal(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  if (!run.wasExecuted || call?.kind !== 'unsafe' || call.endedAt === undefined) return undefined;
  const isRefused = NOT_EXECUTED_STATUSES.includes(call.status ?? 0);
  return isRefused ? `${call.id} was refused with ${call.status ?? 0} and ran later` : undefined;
}

function checkUnchangedCall(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  if (!call) return `run ${run.number} is for ${run.call}, which no caller sent`;
  if (run.forgedHeaders.length > 0)
    return `${call.id} reached its runner with the caller's ${run.forgedHeaders.join()}`;
  if (run.account !== call.account) return `${call.id} ran for account ${run.account ?? 'none'}`;
  const isUnchanged = run.method === call.method && run.path === call.path && run.body === call.body;
  return isUnchanged ? undefined : `${call.id} reached its runner changed: ${run.method} ${run.path}`;
}

function checkSingleRun(
  board: SoakBoard,
  { call: id, wasExecuted, number }: Readonly<IRunEntry>,
): string | undefined {
  if (!wasExecuted || board.calls.get(id)?.kind !== 'unsafe') return undefined;
  const other = board.listRuns(id).find((run) => run.wasExecuted && run.number !== number);
  return other && `${id} ran as run ${other.number} and again as run ${number}`;
}

function checkConcurrentRuns(board: SoakBoard): string[] {
  const details: string[] = [];
  for (const { id, kind, router } of board.calls.list()) {
    if (kind !== 'streaming') continue;
    const runs = board.listRuns(id).filter(({ wasExecuted }) => wasExecuted);
    for (const [index, next] of runs.entries()) {
      const previous = runs[index - 1];
      if (!previous || (previous.endedAt ?? Infinity) <= next.startedAt + MAX_OVERLAP_MS) continue;
      const overlapEnd = next.startedAt + MAX_OVERLAP_MS;
      if (!isRouterUndisturbed(board, router, next.startedAt, overlapEnd)) continue;
      if (!isRunnerUndisturbed(board, previous.runner, next.startedAt, overlapEnd)) continue;
      details.push(
        `${id}: run ${previous.number} went on ${MAX_OVERLAP_MS} ms after run ${next.number} began`,
      );
    }
  }
  return details;
}

/**
 * Number of calls that may exceed the attempt limit of their route, whether or not a fault disturbed them.
 */
const MAX_EXCEEDING_CALLS = 3;

function checkAttemptLimits(board: SoakBoard): string[] {
  const exceedingCalls = [...board.calls.list()].filter(({ id, maxAttempts }) => {
    const countedRuns = board
      .listRuns(id)
      .filter((run) => run.wasExecuted && !hasDisturbedRunner(board, run));
    return countedRuns.length > maxAttempts;
  });
  if (exceedingCalls.length <= MAX_EXCEEDING_CALLS) return [];
  return [
    `${exceedingCalls.length} calls ran more often than their route allows: ${listIds(exceedingCalls)}`,
  ];
}

/**
 * Tells whether the runner of a run crashed, was drained or had a connection fault shortly before or during
 * the run, or within `SETTLING_MS` after it.
 */
function hasDisturbedRunner(board: SoakBoard, { endedAt, runner, startedAt }: Readonly<IRunEntry>): boolean {
  const query = { scopes: [runner], from: startedAt, to: (endedAt ?? startedAt) + SETTLING_MS };
  return findDisturbance(board, query, ({ kind }) => kind.endsWith('-runner')) !== undefined;
}

function listIds(calls: readonly Readonly<ICallEntry>[]): string {
  return calls
    .slice(0, 5)
    .map(({ id }) => id)
    .join(', ');
}

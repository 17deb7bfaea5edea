import { formatWhole, parsePieces, parseStamp } from './Answers.js';
import type { ICheck } from './CheckController.js';
import { CONTACT_MS, findDisturbance, isInTouch, isReachable } from './Disturbances.js';
import type { SoakBoard } from './SoakBoard.js';
import type { ICallEntry, IRunEntry } from './Types.js';

/** Statuses that promise that a call has not run. */
const PROMISES = [408, 421, 429, 503];

/** Time for which a run may go on while another one continues its stream. */
const OVERLAP_MS = 400;

/** Checks of what callers get and of what runners are asked to do. */
export const ANSWER_CHECKS: readonly ICheck[] = [
  { promise: 'whole-answers', checkCall: checkWhole },
  { promise: 'stream-order', checkCall: checkOrder },
  { promise: 'true-refusals', checkCall: checkRefusal, checkRun: checkRunAfterRefusal },
  { promise: 'unchanged-calls', checkRun: checkUnchanged },
  { promise: 'single-run', checkRun: checkSingleRun },
  { promise: 'one-run-at-a-time', checkAll: checkOverlaps },
  { promise: 'attempt-limits', checkAll: checkAttempts },
];

function checkWhole(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  const { answer = '', id, isWhole = false, kind, stamp, status = 0 } = call;
  const isSuccess = status >= 200 && status < 300;
  if (stamp === undefined) return isSuccess ? `${id} got ${status} without a runner's stamp` : undefined;
  const run = board.runs.get(parseStamp(stamp));
  if (run?.call !== id) return `${id} got the answer of ${run?.call ?? 'no call'}`;
  if (run.status !== undefined && run.status !== status)
    return `${id} got ${status}, its runner sent ${run.status}`;
  if (kind === 'streaming' || !isWhole) return undefined;
  return answer === formatWhole(run) ? undefined : `${id} got other bytes than run ${run.number} sent`;
}

function checkOrder(board: SoakBoard, call: Readonly<ICallEntry>): string | undefined {
  const { answer = '', id, isWhole, kind, status } = call;
  if (kind !== 'streaming' || status !== 200) return undefined;
  const { pieces, rest } = parsePieces(answer);
  let before: Readonly<IRunEntry> | undefined;
  for (const [index, piece] of pieces.entries()) {
    const run = board.runs.get(piece.run);
    if (piece.id !== index + 1) return `${id} got piece ${piece.id} in place ${index + 1}`;
    if (piece.call !== id || run?.call !== id) return `${id} got a piece of ${piece.call}`;
    const isOther = before !== undefined && run.number !== before.number;
    if (isOther && run.resumeAfter !== index) return `${id} joins run ${run.number} after piece ${index}`;
    if (isOther && run.model !== before?.model) return `${id} changes its model after piece ${index}`;
    before = run;
  }
  if (isWhole && rest !== '') return `${id} ends as complete within a piece`;
  return isWhole && pieces.at(-1)?.isLast !== true
    ? `${id} ends as complete before its last piece`
    : undefined;
}

function checkRefusal(
  board: SoakBoard,
  { id, kind, stamp, status = 0 }: Readonly<ICallEntry>,
): string | undefined {
  if (kind !== 'unsafe' || stamp !== undefined || !PROMISES.includes(status)) return undefined;
  const run = board.listRuns(id).find(({ hasRun }) => hasRun);
  return run && `${id} was refused with ${status} and had run at ${run.runner}`;
}

function checkRunAfterRefusal(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  if (!run.hasRun || call?.kind !== 'unsafe' || call.endedAt === undefined) return undefined;
  const isPromised = PROMISES.includes(call.status ?? 0);
  return isPromised ? `${call.id} was refused with ${call.status ?? 0} and ran later` : undefined;
}

function checkUnchanged(board: SoakBoard, run: Readonly<IRunEntry>): string | undefined {
  const call = board.calls.get(run.call);
  if (!call) return `run ${run.number} is for ${run.call}, which no caller sent`;
  if (run.forged.length > 0) return `${call.id} reached its runner with the caller's ${run.forged.join()}`;
  if (run.account !== call.account) return `${call.id} ran for account ${run.account ?? 'none'}`;
  const isSame = run.method === call.method && run.path === call.path && run.body === call.body;
  return isSame ? undefined : `${call.id} reached its runner changed: ${run.method} ${run.path}`;
}

function checkSingleRun(
  board: SoakBoard,
  { call: id, hasRun, number }: Readonly<IRunEntry>,
): string | undefined {
  if (!hasRun || board.calls.get(id)?.kind !== 'unsafe') return undefined;
  const other = board.listRuns(id).find((run) => run.hasRun && run.number !== number);
  return other && `${id} ran as run ${other.number} and again as run ${number}`;
}

function checkOverlaps(board: SoakBoard): string[] {
  const found: string[] = [];
  for (const { id, kind, router } of board.calls.list()) {
    if (kind !== 'streaming') continue;
    const runs = board.listRuns(id).filter(({ hasRun }) => hasRun);
    for (const [index, next] of runs.entries()) {
      const before = runs[index - 1];
      if (!before || (before.endedAt ?? Infinity) <= next.startedAt + OVERLAP_MS) continue;
      const until = next.startedAt + OVERLAP_MS;
      if (!isInTouch(board, router, next.startedAt, until)) continue;
      if (!isReachable(board, before.runner, next.startedAt, until)) continue;
      found.push(`${id}: run ${before.number} went on ${OVERLAP_MS} ms after run ${next.number} began`);
    }
  }
  return found;
}

/** Calls that may exceed their route's limit, in touch or not. */
const ALLOWED_EXCESSES = 3;

function checkAttempts(board: SoakBoard): string[] {
  const excesses = [...board.calls.list()].filter(({ id, maxAttempts }) => {
    const runs = board.listRuns(id).filter((run) => run.hasRun && !hasEndedWithRunner(board, run));
    return runs.length > maxAttempts;
  });
  if (excesses.length <= ALLOWED_EXCESSES) return [];
  return [`${excesses.length} calls ran more often than their route allows: ${listIds(excesses)}`];
}

/** Runs at runners that ended or were cut off meanwhile do not count. */
function hasEndedWithRunner(board: SoakBoard, { endedAt, runner, startedAt }: Readonly<IRunEntry>): boolean {
  const stretch = { scopes: [runner], from: startedAt, to: (endedAt ?? startedAt) + CONTACT_MS };
  return findDisturbance(board, stretch, ({ kind }) => kind.endsWith('-runner')) !== undefined;
}

function listIds(calls: readonly Readonly<ICallEntry>[]): string {
  return calls
    .slice(0, 5)
    .map(({ id }) => id)
    .join(', ');
}

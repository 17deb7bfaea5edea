import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRefusal, IRequestEntry } from '../blackboard/Types.js';
import type { Millis, RanStatus } from '../Types.js';

/** Time after which a caller may come back that a stopping host has turned away. Its next connection is to another host. */
const DRAINING_RETRY_AFTER_MS: Millis = 300;

/** Refuses a request, unless it has already ended. */
export function refuseRequest(board: Blackboard, id: string, refusal: IRefusal): void {
  const request = board.requests.get(id);
  if (!request || hasEnded(request)) return;
  board.requests.update(id, { phase: 'refused', refusal });
}

/**
 * Refuses all requests that have not ended, because the process is about to exit: a caller that is told whether its
 * request may have run can act on it, one whose connection is cut cannot. Answers that are complete are delivered.
 * @example
 * clock.schedule(stopMs - marginMs, () => refuseUnfinished(board));
 */
export function refuseUnfinished(board: Blackboard): void {
  for (const { id, phase, ran } of [...board.requests.list()]) {
    if (phase === 'answered') continue;
    const outcome = phase === 'running' && ran === 'no' ? 'unknown' : ran;
    const message = 'The host stops before the answer is complete.';
    const refusal: IRefusal =
      outcome === 'no'
        ? { code: 'draining', message, ran: outcome, retryAfterMs: DRAINING_RETRY_AFTER_MS }
        : { code: 'outcome_unknown', message, ran: outcome };
    refuseRequest(board, id, refusal);
  }
}

/** Tells whether a request has ended: its answer is billed, or it was refused. */
export function hasEnded(request: IRequestEntry): boolean {
  return request.phase === 'billed' || request.phase === 'refused';
}

/**
 * Combines whether two attempts ran: `yes` if either did, else `unknown` if either may have, else `no`.
 */
export function combineRan(first: RanStatus, second: RanStatus): RanStatus {
  if (first === 'yes' || second === 'yes') return 'yes';
  if (first === 'unknown' || second === 'unknown') return 'unknown';
  return 'no';
}

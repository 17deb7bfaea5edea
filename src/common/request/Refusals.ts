import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRefusal, IRequestEntry } from '../blackboard/Types.js';
import type { RanStatus } from '../Types.js';

/** Refuses a request, unless it has already ended. */
export function refuseRequest(board: Blackboard, id: string, refusal: IRefusal): void {
  const request = board.requests.get(id);
  if (!request || hasEnded(request)) return;
  board.requests.update(id, { phase: 'refused', refusal });
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

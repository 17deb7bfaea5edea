import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRefusal, IRequestEntry } from '../blackboard/Types.js';
import type { Ran } from '../Types.js';

/** Ends a request with a refusal, unless it has ended already. */
export function refuseRequest(board: Blackboard, id: string, refusal: IRefusal): void {
  const request = board.requests.get(id);
  if (!request || hasEnded(request)) return;
  board.requests.update(id, { phase: 'refused', refusal });
}

/** Tells whether a request has its final answer or refusal. */
export function hasEnded(request: IRequestEntry): boolean {
  return request.phase === 'billed' || request.phase === 'refused';
}

/** Combines what several attempts say: one that ran decides, then one that may have run. */
export function combineRan(first: Ran, second: Ran): Ran {
  if (first === 'yes' || second === 'yes') return 'yes';
  if (first === 'unknown' || second === 'unknown') return 'unknown';
  return 'no';
}

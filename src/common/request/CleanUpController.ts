import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable } from '../Lifecycle.js';

/**
 * Removes an attempt from the `attempts` panel once it has ended and its request is no longer in `requests`.
 */
export class CleanUpController extends Disposable {
  constructor(board: Blackboard) {
    super();
    this._register(
      board.attempts.onChange(({ key, after }) => {
        const hasEnded =
          after?.phase === 'finished' || after?.phase === 'failed' || after?.phase === 'cancelled';
        if (after && hasEnded && after.endedAt !== undefined && !board.requests.has(after.request)) {
          board.attempts.delete(key);
        }
      }),
    );
    this._register(
      board.requests.onChange(({ before, after }) => {
        if (after) return;
        for (const id of before?.attemptIds ?? []) {
          if (board.attempts.get(id)?.endedAt !== undefined) board.attempts.delete(id);
        }
      }),
    );
  }
}

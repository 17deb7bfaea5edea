import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable } from '../Lifecycle.js';

/** Removes the ended attempts of requests that have left the `requests` panel. */
export class CleanUpController extends Disposable {
  constructor(board: Blackboard) {
    super();
    // By request, because a scan of all attempts at each end grows with the square of the load.
    const attemptsOf = new Map<string, string[]>();
    this._register(
      board.attempts.onChange(({ key, before, after }) => {
        if (after && !before) {
          const known = attemptsOf.get(after.request);
          if (known) known.push(key);
          else attemptsOf.set(after.request, [key]);
        }
        if (before && !after && !board.requests.has(before.request)) attemptsOf.delete(before.request);
        const hasEnded =
          after?.phase === 'finished' || after?.phase === 'failed' || after?.phase === 'cancelled';
        if (after && hasEnded && after.endedAt !== undefined && !board.requests.has(after.request)) {
          board.attempts.delete(key);
        }
      }),
    );
    this._register(
      board.requests.onChange(({ key, after }) => {
        if (after) return;
        for (const id of attemptsOf.get(key) ?? []) {
          if (board.attempts.get(id)?.endedAt !== undefined) board.attempts.delete(id);
        }
        attemptsOf.delete(key);
      }),
    );
  }
}

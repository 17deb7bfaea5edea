import { toDisposable } from '../common/Lifecycle.js';
import type { IClock } from '../common/Types.js';

/** Longest delay of a Node.js timer. A longer one would fire at once. */
const MAX_TIMER_MS = 2_147_483_647;

/** Clock of this process. `now` is monotonic and does not follow changes of the wall clock. */
export const systemClock: IClock = {
  now: () => performance.now(),
  schedule: (delay, callback) => {
    const timer = setTimeout(callback, Math.min(Math.max(0, delay), MAX_TIMER_MS));
    return toDisposable(() => {
      clearTimeout(timer);
    });
  },
};

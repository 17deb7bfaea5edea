import { toDisposable } from '../common/Lifecycle.js';
import type { IClock } from '../common/Types.js';

/** Clock of the running process; `now` is monotonic. */
export const systemClock: IClock = {
  now: () => performance.now(),
  schedule: (delay, callback) => {
    const timer = setTimeout(callback, Math.max(0, delay));
    return toDisposable(() => {
      clearTimeout(timer);
    });
  },
};

import { toDisposable } from '../common/Lifecycle.js';
import type { IClock } from '../common/Types.js';

/** Clock of this process. `now` is monotonic and does not follow changes of the wall clock. */
export const systemClock: IClock = {
  now: () => performance.now(),
  schedule: (delay, callback) => {
    const timer = setTimeout(callback, Math.max(0, delay));
    return toDisposable(() => {
      clearTimeout(timer);
    });
  },
};

import test from 'ava';
import { ManualClock } from '../../testing/ManualClock.js';
import { runDrain } from './Drain.js';

// Guards against a lease that is never released because an earlier step hangs or fails.
test('a step that hangs or fails does not prevent later steps', async (t) => {
  const clock = new ManualClock();
  const drained = runDrain(clock, [
    { name: 'hangs', run: () => new Promise(() => undefined), timeoutMs: 100 },
    { name: 'fails', run: () => Promise.reject(new Error('no')), timeoutMs: 100 },
    { name: 'finishes', run: () => Promise.resolve(), timeoutMs: 100 },
  ]);
  await clock.advance(1000);
  t.snapshot(await drained);
});

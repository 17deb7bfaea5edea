import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendEvents, startStream } from '../standins/platform/ScriptedRunner.js';

/** Time that the hosts of the rig have for their stop, and the time before its end at which a process exits. */
const STOP_MS = 2000;
const EXIT_MARGIN_MS = 300;

// Guards against LOST: calls that still run at the end of a stop are cut without an answer, among them some that may
// not be repeated.
test('calls that still run at the end of a stop are answered before the process exits', async (t) => {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      if (!call.path.startsWith('/stream')) return;
      startStream(call, response);
      sendEvents(response, 1, 2);
    };
  }
  const startedAt = Date.now();
  const stopped = rig.host.stop();
  await new Promise((resolve) => setTimeout(resolve, 500));
  const calls = [rig.send('/post/1'), rig.send('/look/1'), rig.send('/stream/1', { model: '*' })];
  const results = await Promise.all(calls);
  const elapsedMs = Date.now() - startedAt;
  await stopped;
  await rig.close();
  t.snapshot(results.map(({ isComplete, status }) => ({ isComplete, status })));
  t.true(elapsedMs < STOP_MS - EXIT_MARGIN_MS, `answered after ${elapsedMs} ms`);
});

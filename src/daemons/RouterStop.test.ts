import { once } from 'node:events';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { finished } from 'node:stream/promises';
import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendEvents, sendFullAnswer, startStream } from '../standins/platform/ScriptedRunner.js';

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

/** Larger than what the buffers of a connection hold. */
const LARGE_TEXT = 'x'.repeat(8_000_000);

// Guards against a whole answer that is cut because the connection of a response that has ended counts as idle.
test.serial('an answer whose bytes are still being sent when the stop begins arrives whole', async (t) => {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      sendFullAnswer(call, response, 200, LARGE_TEXT);
    };
  }
  const [host, port] = rig.frontAddress.split(':');
  const headers = { host: 'a.example', 'deadline-ms': '4000', authorization: 'Token key-north' };
  const call = sendRequest({ host, port, path: '/look/1', method: 'POST', headers }).end();
  const [response] = (await once(call, 'response')) as [IncomingMessage];
  const stopped = rig.host.stop();
  // The caller reads nothing until the host has closed its idle connections.
  await rig.waitUntil(async () => (await rig.send('/-/ready')).status === 0);
  await new Promise((resolve) => setTimeout(resolve, 150));
  let length = 0;
  response.on('data', (chunk: Buffer) => (length += chunk.length));
  await finished(response).catch(() => undefined);
  await stopped;
  await rig.close();
  t.deepEqual([response.complete, length], [true, LARGE_TEXT.length]);
});

import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendFullAnswer } from '../standins/platform/ScriptedRunner.js';

/** Time that the relay has for its stop. In the first 2.5 s of it the balancer notices that it is not ready. */
const STOP_MS = 8000;
const MAX_UNUSED_STOP_MS = 5000;

/** Starts two hosts, of which the first one reaches the endpoints only by way of the other. */
async function startHosts(): Promise<{ rig: RouterRig; relay: RouterRig }> {
  const rig = await RouterRig.startReady({ hasPeers: true });
  const relay = await rig.startPeer('host-2', { shutdownTimeoutMs: STOP_MS });
  rig.link.stop('refused', 'reset');
  await rig.waitUntil(async () => (await rig.send('/look/1')).status === 200);
  return { rig, relay };
}

/** Work of a call, longer than a host without calls of its own takes to stop. */
const WORK_MS = 3200;

// Guards against a planned stop that cuts the calls of other hosts, among them some that may not be repeated.
test('a host that stops lets the calls end that other hosts have sent by way of it', async (t) => {
  const { relay, rig } = await startHosts();
  let taken = 0;
  for (const runner of rig.runners) {
    runner.answer = async (call, response) => {
      taken += 1;
      await wait(WORK_MS);
      sendFullAnswer(call, response, 200, 'done');
    };
  }
  const calls = ['/post/1', '/post/2'].map((path) => rig.send(path));
  await rig.waitUntil(() => taken === calls.length);
  await relay.host.stop();
  const results = await Promise.all(calls);
  await relay.close();
  await rig.close();
  t.deepEqual(
    results.map(({ status }) => status),
    [200, 200],
  );
});

// Guards against a stop that waits for connections which other hosts keep without using them.
test('a host that stops does not wait for unused connections of other hosts', async (t) => {
  const { relay, rig } = await startHosts();
  const startedAt = performance.now();
  await relay.host.stop();
  const elapsedMs = performance.now() - startedAt;
  await relay.close();
  await rig.close();
  t.true(elapsedMs < MAX_UNUSED_STOP_MS, `${Math.round(elapsedMs)} ms`);
});

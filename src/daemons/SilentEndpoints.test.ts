import type { ServerResponse } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import {
  sendEvents,
  sendFullAnswer,
  startStream,
  type IRunnerCall,
} from '../standins/platform/ScriptedRunner.js';

/** Silence of sound endpoints, from the moment at which they take the calls. */
const SILENCE_MS = 1300;

/** Calls after the silence, enough for all endpoints that are in use. */
const LATER_PATHS = [1, 2, 3, 4, 5, 6, 7, 8].map((number) => `/look/later-${number}`);

/** Time within which a call that hangs has to be served by another endpoint; its route allows 4 s. */
const MAX_HELD_MS = 1300;

function sendDone(call: IRunnerCall, response: ServerResponse): void {
  sendFullAnswer(call, response, 200, 'done');
}

// Guards against sound endpoints that are silent for a second and lose their calls to others, and their place.
test('calls stay with endpoints that are silent for a second', async (t) => {
  const rig = await RouterRig.startReady();
  let silence: Promise<void> | undefined;
  for (const runner of rig.runners) {
    runner.answer = async (call, response) => {
      silence ??= wait(SILENCE_MS);
      runner.pause = silence;
      if (runner.id.startsWith('m-')) {
        startStream(call, response);
        sendEvents(response, 1, 2);
        await silence;
        sendEvents(response, 3, 3);
        response.end();
      } else {
        await silence;
        sendDone(call, response);
      }
    };
  }
  const paths = ['/stream/1', '/look/1', '/look/2', '/look/3', '/look/4'];
  const results = await Promise.all(paths.map((path) => rig.send(path)));
  const runCounts = rig.runners.flatMap(({ calls }) => calls.map(({ path }) => path)).sort();
  for (const runner of rig.runners) runner.answer = sendDone;
  await Promise.all(LATER_PATHS.map((path) => rig.send(path)));
  const usedLater = rig.runners.filter(({ calls }) => calls.some(({ path }) => LATER_PATHS.includes(path)));
  await rig.close();
  t.deepEqual(
    results.map(({ status }) => status),
    paths.map(() => 200),
  );
  t.deepEqual(runCounts, [...paths].sort());
  t.deepEqual(
    usedLater.map(({ id }) => id),
    ['p-1', 'p-2'],
  );
});

// Guards against waiting for an endpoint that answers others as long as for one that may be silent as a whole.
test('a call goes elsewhere before its deadline if its endpoint answers others meanwhile', async (t) => {
  const rig = await RouterRig.startReady();
  let hungRunner: string | undefined;
  for (const runner of rig.runners.filter(({ id }) => id.startsWith('p-'))) {
    runner.answer = (call, response) => {
      if (call.path === '/look/hung') hungRunner ??= runner.id;
      if (call.path === '/look/hung' && hungRunner === runner.id) return;
      sendDone(call, response);
    };
  }
  const startedAt = performance.now();
  const hung = rig.send('/look/hung').then(({ status }) => ({ status, endedAt: performance.now() }));
  while (performance.now() < startedAt + MAX_HELD_MS) {
    await Promise.all(LATER_PATHS.map((path) => rig.send(path)));
    await wait(20);
  }
  const { endedAt, status } = await hung;
  const elapsedMs = endedAt - startedAt;
  await rig.close();
  t.is(status, 200);
  t.true(elapsedMs < MAX_HELD_MS, `${Math.round(elapsedMs)} ms`);
});

import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendFullAnswer } from '../standins/platform/ScriptedRunner.js';

/** Time within which endpoints have to get work again after the deadline of calls whose answers are lost. */
const MAX_FREED_MS = 2000;

// Guards against endpoints that get no more work, since calls that were answered long ago still hold their places.
test('endpoints get work again after the answers to calls that run once are lost', async (t) => {
  const rig = await RouterRig.startReady();
  let lostCount = 0;
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      if (call.path.startsWith('/short')) lostCount += 1;
      else sendFullAnswer(call, response, 200, 'done');
    };
  }
  const lost = await Promise.all(
    Array.from({ length: 24 }, (_, index) => rig.send(`/short/${index}`).then(({ status }) => status)),
  );
  await wait(MAX_FREED_MS);
  const looks = await Promise.all(
    ['/look/1', '/look/2'].map((path) => rig.send(path, { 'deadline-ms': '1000' })),
  );
  await rig.close();
  t.false(lost.includes(200));
  t.deepEqual({ lostCount, looks: looks.map(({ status }) => status) }, { lostCount: 16, looks: [200, 200] });
});

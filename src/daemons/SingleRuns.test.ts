import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { formatEvents, startStream } from '../standins/platform/ScriptedRunner.js';

/** More answers than a host needs to know how often a model is confident. */
const KNOWN_ANSWERS = 30;

/** Starts a rig whose small model has the given confidence, in percent, and whose large model is always confident. */
async function startRig(confidence: () => number): Promise<RouterRig> {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners)
    runner.answer = (call, response) => {
      const percent = call.headers.model === 'small' ? confidence() : 90;
      startStream(call, response, percent);
      response.end(formatEvents([1, 2]).join(''));
    };
  return rig;
}

/** Sends a stream that may not be resumed, and lists the models that ran it. */
async function runOnce(rig: RouterRig, name: string): Promise<string> {
  const { status } = await rig.send(`/once/${name}`, { model: '*', 'token-usage': '100,20' });
  const calls = rig.runners.flatMap((runner) => runner.calls).filter(({ path }) => path.endsWith(`/${name}`));
  return `${status}: ${calls.map(({ headers }) => headers.model).join()}`;
}

// Guards against TWICE: the answer of the small model is dropped and the request runs again on the large one.
test('a stream that may not be resumed runs once, on the model that is expected to be confident', async (t) => {
  const state = { confidence: 10 };
  const rig = await startRig(() => state.confidence);
  const runs = { unknown: await runOnce(rig, 'unknown'), unsure: '', sure: '' };
  const sendOthers = async (label: string): Promise<void> => {
    for (let index = 0; index < KNOWN_ANSWERS; index += 1)
      await rig.send(`/stream/${label}-${index}`, { model: '*', 'token-usage': '100,20' });
  };
  await sendOthers('unsure');
  runs.unsure = await runOnce(rig, 'unsure');
  state.confidence = 90;
  for (let round = 0; round < 14; round += 1) await sendOthers(`sure-${round}`);
  runs.sure = await runOnce(rig, 'sure');
  await rig.close();
  t.snapshot(runs);
});

// Guards against TWICE where the smallest model runs after all and turns out to be unsure.
test('a stream that may not be resumed is not run again if its model turns out to be unsure', async (t) => {
  const state = { confidence: 90 };
  const rig = await startRig(() => state.confidence);
  for (let index = 0; index < KNOWN_ANSWERS; index += 1)
    await rig.send(`/stream/${index}`, { model: '*', 'token-usage': '100,20' });
  state.confidence = 10;
  const run = await runOnce(rig, 'late');
  await rig.close();
  t.is(run, '200: small');
});

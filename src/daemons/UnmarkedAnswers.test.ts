import test from 'ava';
import { sendUnmarkedAnswer } from '../standins/platform/PlainAnswers.js';
import { RouterRig } from '../standins/platform/RouterRig.js';

const TEXT = 'an answer whose end only its connection marks';

const LOGGED_FIELDS = ['path', 'doubt', 'result', 'status', 'endpointMark', 'endMark', 'bytes', 'isSent'];

/** Starts a rig whose endpoints for plain calls mark no ends. */
async function startUnmarkedRig(): Promise<RouterRig> {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      sendUnmarkedAnswer(call, response, TEXT);
    };
  }
  return rig;
}

// Guards against MIXED without a trace: the log does not tell whether the endpoint's answer or the caller's copy was cut.
test('the log tells how a plain answer came, how its end was marked and how its copy was written', async (t) => {
  const rig = await startUnmarkedRig();
  for (const path of ['/look/1', '/look/2', '/look/3']) await rig.send(path);
  const isWritten = () =>
    rig.events.some(({ fields: { request }, kind }) => kind === 'call.answered' && request === 'call-3');
  await rig.waitUntil(isWritten);
  await rig.close();
  const lines = rig.events
    .filter(({ fields, kind }) => fields.request === 'call-3' && /^(answer|attempt|call)\./.test(kind))
    .map(({ fields, kind }) => {
      const shown = LOGGED_FIELDS.filter((name) => fields[name] !== undefined);
      return [kind, ...shown.map((name) => `${name}=${fields[name]}`)].join(' ');
    });
  t.snapshot(lines);
});

import test from 'ava';
import { startCuttingProxy } from '../standins/CuttingProxy.js';
import { sendCall } from '../standins/platform/CallSender.js';
import { sendUnmarkedAnswer } from '../standins/platform/PlainAnswers.js';
import { RouterRig } from '../standins/platform/RouterRig.js';

const TEXT = 'an answer whose end only its connection marks';

const CALL_HEADERS = { host: 'a.example', 'deadline-ms': '4000', authorization: 'Token key-north' };
const LOGGED_FIELDS = ['path', 'doubt', 'result', 'status', 'endpointMark', 'endMark', 'bytes', 'isSent'];

/** Starts a rig whose endpoints for plain calls mark no ends, and lets its host see that. */
async function startUnmarkedRig(text = TEXT): Promise<RouterRig> {
  const rig = await RouterRig.startReady();
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      sendUnmarkedAnswer(call, response, text);
    };
  }
  for (let index = 1; index <= 3; index += 1) await rig.send(`/look/learn-${index}`);
  return rig;
}

// Guards against MIXED without a trace: the log does not tell whether the endpoint's answer or the caller's copy was cut.
test('the log tells how a plain answer came, how its end was marked and how its copy was written', async (t) => {
  const rig = await startUnmarkedRig();
  await rig.send('/look/1');
  const isWritten = () =>
    rig.events.some(({ fields: { request }, kind }) => kind === 'call.answered' && request === 'call-4');
  await rig.waitUntil(isWritten);
  await rig.close();
  const lines = rig.events
    .filter(({ fields, kind }) => fields.request === 'call-4' && /^(answer|attempt|call)\./.test(kind))
    .map(({ fields, kind }) => {
      const shown = LOGGED_FIELDS.filter((name) => fields[name] !== undefined);
      return [kind, ...shown.map((name) => `${name}=${fields[name]}`)].join(' ');
    });
  t.snapshot(lines);
});

// Guards against MIXED: what ends the connection to the caller in order makes a part of the host's whole copy look whole.
test('a copy of an unmarked plain answer that is cut behind the host does not look complete', async (t) => {
  const outcomes: Record<string, unknown> = {};
  for (const size of [200, 8000, 16_000]) {
    const rig = await startUnmarkedRig('x'.repeat(size));
    const proxy = await startCuttingProxy({ target: rig.frontAddress, bodyBytes: size / 2 });
    for (const method of ['GET', 'POST']) {
      const headers = { ...CALL_HEADERS, 'attempt-id': `${method}-${size}` };
      const path = method === 'GET' ? '/look/cut' : '/post/cut';
      const { body, isComplete, status } = await sendCall({ address: proxy.address, path, headers, method })
        .result;
      outcomes[`${method} ${size}`] = { status, bytes: body.length, isComplete };
    }
    await proxy.close();
    await rig.close();
  }
  t.snapshot(outcomes);
});

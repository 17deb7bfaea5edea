import test from 'ava';
import { sendBrokenAnswer, sendStream, UNMARKED_END } from '../standins/platform/BrokenAnswer.js';
import { formatEvents, startStream } from '../standins/platform/ScriptedRunner.js';
import { requestStream, runStream, startStreamRig, WARM_UP_NAME } from '../standins/platform/StreamRig.js';

// Guards against ORDER: an end without a mark and an empty continuation may have the same cause.
test('an end without a mark at an endpoint that marks others is not confirmed by an empty answer', async (t) => {
  const rig = await startStreamRig((run, call, response) => {
    if (run === 0) sendBrokenAnswer(call, response, { ...UNMARKED_END, cut: 'fin' });
    else sendStream(call, response, 'chunks', 0);
  });
  for (let index = 0; index < 20; index += 1) await requestStream(rig, `${WARM_UP_NAME}-${index}`);
  const outcome = await requestStream(rig, 'unmarked');
  await rig.close();
  t.is(outcome, 'broken 1,2,3');
});

const FIRST_RUNS: Readonly<Record<string, [text: string, isCut: boolean]>> = {
  'leaves out the second event': [formatEvents([1, 3, 4, 6]).join(''), false],
  'breaks off after an event without an id': [`${formatEvents([1, 2, 3]).join('')}data: piece 4\n\n`, true],
};

for (const [name, [text, isCut]] of Object.entries(FIRST_RUNS))
  // Guards against ORDER: an event is missing, or comes twice.
  test(`a stream is whole although its first run ${name}`, async (t) => {
    const [outcome] = await runStream((run, call, response) => {
      if (run > 0) {
        sendStream(call, response, 'chunks');
        return;
      }
      startStream(call, response);
      response.write(text);
      setTimeout(() => (isCut ? response.destroy() : response.end()), 20);
    });
    t.is(outcome, 'complete 1,2,3,4,5,6');
  });

import test from 'ava';
import { DEMO_ACCOUNT_KEY } from '../cli/quickstart/Documents.js';
import { createChunkAnswer, createTokenAnswer, EntryHostRig, PEER_KEY } from '../testing/EntryHostRig.js';

// Guards against keys, prompts or answers in log lines and timeline events, including those written after
// errors.
test('no key, prompt or answer reaches the logs or the timeline', async (t) => {
  const rig = await EntryHostRig.start();
  const messages = [{ role: 'user', content: 'secret-prompt' }];
  rig.answerChat = createTokenAnswer(['secret-answer']);
  for (const stream of [true, false]) {
    t.true((await rig.sendRaw(rig.formatChat({ stream, messages }))).includes('secret-answer'));
  }
  rig.answerChat = createChunkAnswer([{ choices: 'secret-answer' }]);
  await rig.sendRaw(rig.formatChat({ messages }));
  await rig.sendRaw(rig.formatRequest('POST /v1/chat/completions', '{"secret-prompt'));
  await rig.sendRaw(rig.formatChat({ messages }, { authorization: 'Bearer secret-stranger' }));
  await rig.waitUntilIdle();
  const written = [...rig.logs, JSON.stringify(rig.events)].join('\n');
  t.true(rig.events.length > 0);
  const secrets = [DEMO_ACCOUNT_KEY, PEER_KEY, 'secret-prompt', 'secret-answer', 'secret-stranger'];
  t.deepEqual(
    secrets.filter((secret) => written.includes(secret)),
    [],
  );
  await rig.close();
});

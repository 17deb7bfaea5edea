import test from 'ava';
import {
  createChunkAnswer,
  createTokenAnswer,
  EdgeRig,
  maskReply,
  type AnswerCall,
} from '../testing/EdgeRig.js';

const DELTA = { index: 0, delta: { content: 'a' }, finish_reason: null };
const END = { choices: [], usage: { prompt_tokens: 1, completion_tokens: 1, total_tokens: 2 } };

const BAD_ANSWERS: Record<string, AnswerCall> = {
  garbage: createChunkAnswer([{ choices: 'x' }]),
  halfStream: createChunkAnswer([{ choices: [DELTA] }], ''),
  noUsage: createChunkAnswer([{ choices: [DELTA] }]),
  foreignId: createChunkAnswer([{ id: 'somebody-else', choices: [DELTA] }, END]),
  negativeUsage: createChunkAnswer([{ ...END, usage: { prompt_tokens: -9, completion_tokens: 1 } }]),
  hugePosition: createChunkAnswer([
    { choices: [{ index: 0, delta: { tool_calls: [{ index: 4e9, function: { name: 'f' } }] } }] },
    END,
  ]),
  badToolCalls: createChunkAnswer([{ choices: [{ index: 0, delta: { tool_calls: 5 } }] }, END]),
  hugeChunk: createChunkAnswer([{ choices: [DELTA], padding: 'x'.repeat(2_000_000) }, END]),
  redirect: (_body, response) => response.writeHead(302, { location: 'http://127.0.0.1:1/' }).end(),
  endlessError: (_body, response) => {
    response.writeHead(500);
    const timer = setInterval(() => response.write('x'.repeat(500_000)), 5);
    response.on('close', () => {
      clearInterval(timer);
    });
  },
  wrongLength: (_body, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'content-length': '9999' });
    response.write('data: {}\n\n', () => response.destroy());
  },
};

// Guards against a faulty endpoint that crashes the host, bills wrongly, or leaves its request without an
// answer.
test('bad answers of an endpoint give an error with ran, and the host goes on', async (t) => {
  const replies: Record<string, string[]> = {};
  for (const [name, answer] of Object.entries(BAD_ANSWERS)) {
    const rig = await EdgeRig.start();
    rig.answerChat = answer;
    const texts = [await rig.sendRaw(rig.formatChat({}))];
    t.deepEqual(await rig.waitUntilIdle(), { requests: 0, attempts: 0, inFlight: [0, 0], isReady: true });
    replies[name] = texts.map(
      (text) => /"code":"[a-z_]+","param":null,"ran":"[a-z]+"/.exec(text)?.[0] ?? text,
    );
    await rig.close();
  }
  t.snapshot(replies);
});

// Guards against content that is lost because an engine sends usage with every chunk, and against unknown
// fields that do not reach the caller.
test('a stream keeps unknown fields and content beside usage', async (t) => {
  const rig = await EdgeRig.start();
  const usage = { prompt_tokens: 1, completion_tokens: 1, total_tokens: 2 };
  rig.answerChat = createChunkAnswer([
    { choices: [{ ...DELTA, logprobs: { x: 1 } }], usage, system_fingerprint: 'fp' },
    { choices: [DELTA], usage },
    END,
  ]);
  const streamed = maskReply(await rig.sendRaw(rig.formatChat({ stream: true })));
  rig.answerChat = createTokenAnswer(['a', 'b']);
  const ordinary = maskReply(await rig.sendRaw(rig.formatChat({ stream: true })));
  t.snapshot({ streamed, ordinary });
  await rig.close();
});

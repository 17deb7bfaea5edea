import test from 'ava';
import { sendThenCut } from '../standins/RawServer.js';
import {
  createChunkAnswer,
  createTokenAnswer,
  EntryHostRig,
  maskReply,
  type AnswerCall,
} from '../testing/EntryHostRig.js';

const TOKEN_CHOICE = { index: 0, delta: { content: 'a' }, finish_reason: null };
const USAGE_CHUNK = { choices: [], usage: { prompt_tokens: 1, completion_tokens: 1, total_tokens: 2 } };

const FAULTY_RESPONSES: Record<string, AnswerCall> = {
  garbage: createChunkAnswer([{ choices: 'x' }]),
  halfStream: createChunkAnswer([{ choices: [TOKEN_CHOICE] }], ''),
  noUsage: createChunkAnswer([{ choices: [TOKEN_CHOICE] }]),
  foreignId: createChunkAnswer([{ id: 'somebody-else', choices: [TOKEN_CHOICE] }, USAGE_CHUNK]),
  negativeUsage: createChunkAnswer([{ ...USAGE_CHUNK, usage: { prompt_tokens: -9, completion_tokens: 1 } }]),
  hugePosition: createChunkAnswer([
    { choices: [{ index: 0, delta: { tool_calls: [{ index: 4e9, function: { name: 'f' } }] } }] },
    USAGE_CHUNK,
  ]),
  badToolCalls: createChunkAnswer([{ choices: [{ index: 0, delta: { tool_calls: 5 } }] }, USAGE_CHUNK]),
  hugeChunk: createChunkAnswer([{ choices: [TOKEN_CHOICE], padding: 'x'.repeat(2_000_000) }, USAGE_CHUNK]),
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

// Guards against faulty responses of an endpoint that crash the host, cause a wrong bill, or leave the
// request without an answer.
test('a faulty response of an endpoint gives an error with `ran`, and the host keeps serving', async (t) => {
  const replies: Record<string, string[]> = {};
  for (const [name, answer] of Object.entries(FAULTY_RESPONSES)) {
    const rig = await EntryHostRig.start();
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

// Guards against the loss of content when an engine sends usage with every chunk, and against the loss of
// fields that are unknown to the host.
test('a stream keeps unknown fields, and the content of chunks that also have usage', async (t) => {
  const rig = await EntryHostRig.start();
  const usage = { prompt_tokens: 1, completion_tokens: 1, total_tokens: 2 };
  rig.answerChat = createChunkAnswer([
    { choices: [{ ...TOKEN_CHOICE, logprobs: { x: 1 } }], usage, system_fingerprint: 'fp' },
    { choices: [TOKEN_CHOICE], usage },
    USAGE_CHUNK,
  ]);
  const streamed = maskReply(await rig.sendRaw(rig.formatChat({ stream: true })));
  rig.answerChat = createTokenAnswer(['a', 'b']);
  const ordinary = maskReply(await rig.sendRaw(rig.formatChat({ stream: true })));
  t.snapshot({ streamed, ordinary });
  await rig.close();
});

// Guards against a request that ran and counts as not run because the rest of its error body was lost.
test('an error response that is cut in its body does not count as one of a request that has not run', async (t) => {
  const outcomes: Record<string, boolean> = {};
  for (const status of [429, 503]) {
    const rig = await EntryHostRig.start();
    rig.answerChat = (_body, { socket }) => {
      const head = `HTTP/1.1 ${status} Error\r\ncontent-type: application/json\r\n\r\n`;
      if (socket) void sendThenCut(socket, `${head}{"error":{"message":"failed"},"ra`, 'reset');
    };
    const reply = await rig.sendRaw(rig.formatChat({}));
    outcomes[status] = /"ran":"(yes|unknown)"/.test(reply);
    await rig.close();
  }
  t.deepEqual(outcomes, { 429: true, 503: true });
});

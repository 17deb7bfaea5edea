import { connect } from 'node:net';
import test from 'ava';
import { createTokenAnswer, EdgeRig, maskReply } from '../testing/EdgeRig.js';

const CHAT = 'POST /v1/chat/completions';
const REFUND = 'POST /services/ledger/refunds';

// Guards against bad input that gets no answer, an answer without `ran`, or that stops the host.
test('bad input gets a clear error with ran, and nothing stays behind', async (t) => {
  const rig = await EdgeRig.start();
  const formatChat = rig.formatChat.bind(rig);
  const formatRequest = rig.formatRequest.bind(rig);
  const cases: Record<string, string | string[]> = {
    malformedJson: formatRequest(CHAT, '{"model":'),
    wrongTypes: formatRequest(CHAT, '{"model":1,"messages":"x"}'),
    noMessages: formatChat({ messages: [] }),
    unknownModel: formatChat({ model: 'constructor' }),
    missingKey: formatRequest(CHAT, '{}', { authorization: '' }),
    unknownKey: formatRequest(CHAT, '{}', { authorization: 'Bearer stranger' }),
    badHeader: formatChat({}, { 'x-mulberryweir-deadline-ms': 'soon' }),
    oversizeBody: formatChat({ padding: 'x'.repeat(40_000) }),
    oversizeHeaders: formatChat({}, { 'x-padding': 'x'.repeat(20_000) }),
    notHttp: 'hello\r\n\r\n',
    unknownMethod: formatRequest('BREW /v1/chat/completions'),
    wrongMethod: formatRequest('GET /v1/chat/completions'),
    unknownPath: formatRequest('POST /v1/embeddings', '{}'),
    unknownService: formatRequest('POST /services/constructor/x', '{}', { 'idempotency-key': 'k' }),
    noIdempotencyKey: formatRequest(REFUND, '{}'),
    slowBody: formatRequest(CHAT, '', { 'content-length': '10' }),
    slowHeaders: 'POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\n',
    badChunk: `${formatRequest(CHAT, '', { 'content-length': '0' }).replace('content-length: 0', 'transfer-encoding: chunked')}zz\r\n`,
    expectation: formatRequest(CHAT, '', { expect: 'tea' }),
    continued: formatChat({}, { expect: '100-continue' }),
  };
  const replies: Record<string, string> = {};
  for (const [name, text] of Object.entries(cases)) replies[name] = maskReply(await rig.sendRaw(text));
  t.snapshot(replies);
  t.deepEqual(await rig.waitUntilIdle(), { requests: 0, attempts: 0, inFlight: [0, 0], isReady: true });
  await rig.close();
});

// Guards against an error for a broken pipelined request that is sent in place of the reply before it.
test('pipelined requests are answered in order, a broken one last', async (t) => {
  const rig = await EdgeRig.start();
  const keepAlive = { connection: 'keep-alive' };
  const reply = await rig.sendRaw([
    rig.formatChat({}, keepAlive),
    rig.formatRequest(REFUND, '{}', { ...keepAlive, 'idempotency-key': 'k-1' }),
    'not a request\r\n\r\n',
  ]);
  t.snapshot(maskReply(reply));
  t.deepEqual(await rig.waitUntilIdle(), { requests: 0, attempts: 0, inFlight: [0, 0], isReady: true });
  await rig.close();
});

// Guards against requests of callers that left which stay on the panels or at the endpoint, also those
// that wait behind another pipelined request.
test('a caller that leaves halfway frees its requests', async (t) => {
  const rig = await EdgeRig.start();
  rig.answerChat = (_body, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write('data: {"choices":[{"index":0,"delta":{"content":"a"}}]}\n\n');
  };
  for (const stream of [true, false]) {
    const socket = connect(rig.port, '127.0.0.1');
    socket.write(rig.formatChat({ stream }, { connection: 'keep-alive' }));
    socket.write(rig.formatChat({ stream }));
    await rig.waitUntil(() => Promise.resolve([...rig.board.requests.list()].length === 2));
    socket.destroy();
    t.deepEqual(await rig.waitUntilIdle(), { requests: 0, attempts: 0, inFlight: [0, 0], isReady: true });
  }
  await rig.close();
});

// Guards against another request that gets the stored answer because it reuses an idempotency key.
test('an idempotency key that is sent again with another body is refused, not run', async (t) => {
  const rig = await EdgeRig.start();
  rig.answerChat = createTokenAnswer(['a']);
  const send = (body: string): Promise<string> =>
    rig.sendRaw(rig.formatRequest(REFUND, body, { 'idempotency-key': 'refund-1' }));
  const replies = [await send('{"amount":1}'), await send('{"amount":2}'), await send('{"amount":1}')];
  t.snapshot(replies.map(maskReply));
  t.is(rig.plainCalls, 1);
  await rig.close();
});

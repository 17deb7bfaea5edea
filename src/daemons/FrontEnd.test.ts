import { connect } from 'node:net';
import test from 'ava';
import { createTokenAnswer, EntryHostRig, maskReply } from '../testing/EntryHostRig.js';

const CHAT_REQUEST_LINE = 'POST /v1/chat/completions';
const REFUND_REQUEST_LINE = 'POST /services/ledger/refunds';

// Guards against invalid input that gets no answer or an answer without `ran`, or that crashes the host.
test('invalid input is answered with an error that contains ran, and leaves no state on the panels', async (t) => {
  const rig = await EntryHostRig.start();
  const formatChat = rig.formatChat.bind(rig);
  const formatRequest = rig.formatRequest.bind(rig);
  const cases: Record<string, string | string[]> = {
    malformedJson: formatRequest(CHAT_REQUEST_LINE, '{"model":'),
    wrongTypes: formatRequest(CHAT_REQUEST_LINE, '{"model":1,"messages":"x"}'),
    noMessages: formatChat({ messages: [] }),
    unknownModel: formatChat({ model: 'constructor' }),
    missingKey: formatRequest(CHAT_REQUEST_LINE, '{}', { authorization: '' }),
    unknownKey: formatRequest(CHAT_REQUEST_LINE, '{}', { authorization: 'Bearer stranger' }),
    badHeader: formatChat({}, { 'x-mulberryweir-deadline-ms': 'soon' }),
    oversizeBody: formatChat({ padding: 'x'.repeat(40_000) }),
    oversizeHeaders: formatChat({}, { 'x-padding': 'x'.repeat(20_000) }),
    notHttp: 'hello\r\n\r\n',
    unknownMethod: formatRequest('BREW /v1/chat/completions'),
    wrongMethod: formatRequest('GET /v1/chat/completions'),
    unknownPath: formatRequest('POST /v1/embeddings', '{}'),
    unknownService: formatRequest('POST /services/constructor/x', '{}', { 'idempotency-key': 'k' }),
    noIdempotencyKey: formatRequest(REFUND_REQUEST_LINE, '{}'),
    slowBody: formatRequest(CHAT_REQUEST_LINE, '', { 'content-length': '10' }),
    slowHeaders: 'POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\n',
    badChunk: `${formatRequest(CHAT_REQUEST_LINE, '', { 'content-length': '0' }).replace('content-length: 0', 'transfer-encoding: chunked')}zz\r\n`,
    expectation: formatRequest(CHAT_REQUEST_LINE, '', { expect: 'tea' }),
    continued: formatChat({}, { expect: '100-continue' }),
    twoHosts: formatChat({}).replace(/\r\nhost: [^\r]*/i, '$&$&'),
    badHost: formatChat({}, { host: 'a b' }),
  };
  const replies: Record<string, string> = {};
  for (const [name, text] of Object.entries(cases)) replies[name] = maskReply(await rig.sendRaw(text));
  t.snapshot(replies);
  t.deepEqual(await rig.waitUntilIdle(), { requests: 0, attempts: 0, inFlight: [0, 0], isReady: true });
  await rig.close();
});

// Guards against an error for an invalid pipelined request that is sent in place of the reply to an earlier
// request.
test('pipelined requests are answered in order, followed by the error for an invalid one', async (t) => {
  const rig = await EntryHostRig.start();
  const keepAlive = { connection: 'keep-alive' };
  const reply = await rig.sendRaw([
    rig.formatChat({}, keepAlive),
    rig.formatRequest(REFUND_REQUEST_LINE, '{}', { ...keepAlive, 'idempotency-key': 'k-1' }),
    'not a request\r\n\r\n',
  ]);
  t.snapshot(maskReply(reply));
  t.deepEqual(await rig.waitUntilIdle(), { requests: 0, attempts: 0, inFlight: [0, 0], isReady: true });
  await rig.close();
});

// Guards against requests that stay on the panels or keep running at the endpoint after their caller has
// closed the connection, including pipelined requests that wait behind another one.
test('requests are removed when their caller closes the connection before the answer', async (t) => {
  const rig = await EntryHostRig.start();
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

// Guards against a request that gets the stored answer of a different request because it has the same
// idempotency key.
test('a request that reuses an idempotency key with another body is refused and not run', async (t) => {
  const rig = await EntryHostRig.start();
  rig.answerChat = createTokenAnswer(['a']);
  const send = (body: string): Promise<string> =>
    rig.sendRaw(rig.formatRequest(REFUND_REQUEST_LINE, body, { 'idempotency-key': 'refund-1' }));
  const replies = [await send('{"amount":1}'), await send('{"amount":2}'), await send('{"amount":1}')];
  t.snapshot(replies.map(maskReply));
  t.is(rig.plainCalls, 1);
  await rig.close();
});

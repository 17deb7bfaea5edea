import test from 'ava';
import { startEndlessServer } from '../standins/EndlessServer.js';
import { createTestEndpoint } from '../testing/EntryFixtures.js';
import { createAttemptCall } from '../testing/AttemptCalls.js';
import { BufferBudget } from './BufferBudget.js';
import { runEngineAttempt } from './EngineClient.js';
import { createSendOrder } from './EngineOrders.js';
import { fetchHostList } from './HostListClient.js';
import { createHttpAgent } from './HttpAgent.js';
import { createHttpStore } from './HttpStore.js';
import { createPeerClient } from './PeerRpc.js';
import { runPlainAttempt } from './PlainClient.js';
import { createRatingClient } from './RatingClient.js';
import { systemClock } from './SystemClock.js';
import { createFetchVersionLoadLimit } from './WeightStoreClient.js';

/** Longer than a reply is read, also on a busy machine. */
const TIMEOUT_MS = 5000;
/** The largest limit of a client and what the system buffers for two connections. */
const MAX_SENT_BYTES = 40_000_000;

type SendCall = (address: string) => Promise<unknown>;

const sendPlain: SendCall = (address) => runPlainAttempt({}, createAttemptCall(address, 'plain', TIMEOUT_MS));

const sendToModel: SendCall = (address) =>
  runEngineAttempt({ clock: systemClock }, createAttemptCall(address, 'engine', TIMEOUT_MS), () => undefined);

const sendToPeer: SendCall = async (address) => {
  const lamport = { read: () => 0, observe: () => undefined };
  const findAddress = (): string => address.replace('http://', '');
  const client = createPeerClient({ host: 'host-1', lamport, findAddress, timeoutMs: TIMEOUT_MS });
  const reply = await client.send('host-2', 'host.check', {});
  await client.close();
  return reply;
};

const createStore = (address: string) => createHttpStore({ address, timeoutMs: TIMEOUT_MS });

const createRating = (address: string) =>
  createRatingClient({ address, source: 'host-1', clock: systemClock, timeoutMs: TIMEOUT_MS });

const HEAD = 'HTTP/1.1 200 OK\r\n';

/** What is sent without end for each kind of call: the start of the response, and what comes again and again. */
const CASES: Record<string, [sendCall: SendCall, head: string, bytes: string]> = {
  'plain body to the close': [sendPlain, `${HEAD}\r\n`, 'x'],
  'plain body in chunks': [sendPlain, `${HEAD}transfer-encoding: chunked\r\n\r\n`, '8\r\n12345678\r\n'],
  'plain body of huge length': [sendPlain, `${HEAD}content-length: 99999999999\r\n\r\n`, 'x'],
  'plain body of a failure': [sendPlain, 'HTTP/1.1 500 Bad\r\n\r\n', 'x'],
  'plain body beside others': [
    (address) =>
      runPlainAttempt(
        { budget: new BufferBudget(1_048_576) },
        createAttemptCall(address, 'plain', TIMEOUT_MS),
      ),
    `${HEAD}\r\n`,
    'x',
  ],
  'status text': [sendPlain, 'HTTP/1.1 200 ', 'x'],
  'empty lines': [sendPlain, '', '\r\n'],
  'chunk extension': [sendPlain, `${HEAD}transfer-encoding: chunked\r\n\r\n5;`, 'x'],
  'header value': [sendPlain, `${HEAD}a: `, 'x'],
  headers: [sendPlain, HEAD, 'a: b\r\n'],
  trailers: [sendPlain, `${HEAD}transfer-encoding: chunked\r\n\r\n0\r\n`, 'a: b\r\n'],
  'no HTTP': [sendPlain, '', 'x'],
  'stream without event end': [sendToModel, `${HEAD}\r\ndata: `, 'x'],
  'stream of comments': [sendToModel, `${HEAD}\r\n`, ': x\n\n'],
  'status text of a stream': [sendToModel, 'HTTP/1.1 200 ', 'x'],
  'reply to a read of the store': [(address) => createStore(address).get('a'), `${HEAD}\r\n`, ' '],
  'reply to a write of the store': [
    (address) => createStore(address).put('a', 'b', { expectedVersion: 0 }),
    `${HEAD}\r\n`,
    ' ',
  ],
  'list of hosts': [(address) => fetchHostList(address, TIMEOUT_MS), `${HEAD}\r\n`, ' '],
  'reply of a peer': [sendToPeer, `${HEAD}\r\n`, ' '],
  'page of ratings': [(address) => createRating(address).fetchRatings(0), `${HEAD}\r\n`, ' '],
  'failure of the rating service': [
    (address) => createRating(address).fetchRatings(0),
    'HTTP/1.1 500 Bad\r\n\r\n',
    ' ',
  ],
  'limit of the weight store': [
    (address) => createFetchVersionLoadLimit(address, TIMEOUT_MS)(),
    `${HEAD}\r\n`,
    ' ',
  ],
  'reply to an order': [
    (address) =>
      createSendOrder({ timeoutMs: TIMEOUT_MS })(createTestEndpoint('e-1', { address }), {
        fencingToken: 1,
        versions: [],
      }),
    `${HEAD}\r\n`,
    ' ',
  ],
};

for (const [name, [sendCall, head, bytes]] of Object.entries(CASES)) {
  // Guards against a reply without end that fills the memory, or is read until the deadline of its call.
  test.serial(`bytes without end are not read to the deadline: ${name}`, async (t) => {
    const server = await startEndlessServer(head, bytes);
    const startedAt = performance.now();
    const outcome = await sendCall(server.address);
    const durationMs = performance.now() - startedAt;
    for (let tries = 0; server.countOpen() > 0 && tries < 200; tries += 1) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    const [sentBytes, openCount] = [server.countSent(), server.countOpen()];
    await server.close();
    t.true(sentBytes < MAX_SENT_BYTES, `${sentBytes} bytes`);
    t.true(durationMs < TIMEOUT_MS - 500, `${durationMs} ms`);
    t.is(openCount, 0);
    t.snapshot(outcome);
  });
}

// Guards against whole answers that are rejected for the framing of their chunks.
test.serial('an answer in chunks of one byte is read whole', async (t) => {
  const chunks = '0001\r\nx\r\n'.repeat(200_000);
  const server = await startEndlessServer(
    `${HEAD}transfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`,
    '\0',
  );
  const agent = createHttpAgent();
  const reply = await agent.request({ origin: server.address, path: '/', method: 'GET' });
  t.is(await reply.body.text(), 'x'.repeat(200_000));
  await agent.destroy();
  await server.close();
});

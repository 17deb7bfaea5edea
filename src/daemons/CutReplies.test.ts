import test from 'ava';
import { EndpointClient } from '../../platform/EndpointClient.js';
import { StoreClient } from '../../platform/StoreClient.js';
import { createSendOrder } from '../adapters/EngineOrders.js';
import { fetchHostList } from '../adapters/HostListClient.js';
import { createHttpStore } from '../adapters/HttpStore.js';
import { createPeerClient } from '../adapters/PeerRpc.js';
import { createRatingClient } from '../adapters/RatingClient.js';
import { systemClock } from '../adapters/SystemClock.js';
import { createFetchVersionLoadLimit } from '../adapters/WeightStoreClient.js';
import type { IAttemptCall } from '../common/request/Types.js';
import { startRawServer, type ConnectionCut } from '../standins/RawServer.js';
import { createTestEndpoint } from '../testing/EntryFixtures.js';
import { buildTestRequest } from '../testing/VersionFixtures.js';

const [KEY, VALUE] = ['a', 'eA=='];
const LIMIT_MS = 1000;

/** Ways in which the text of a whole reply is sent, each with what happens to the connection afterwards. */
const FORMS: Record<string, (text: string) => [bytes: string, cut: ConnectionCut]> = {
  whole: (text) => [formatReply(200, text), 'fin'],
  'cut in order': (text) => [`HTTP/1.1 200 OK\r\n\r\n${readHalf(text)}`, 'fin'],
  'cut by a reset': (text) => [`HTTP/1.1 200 OK\r\n\r\n${readHalf(text)}`, 'reset'],
  'length too short': (text) => [formatReply(200, readHalf(text)), 'fin'],
  'last chunk too early': (text) => {
    const half = readHalf(text);
    const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
    return [`${head}${half.length.toString(16)}\r\n${half}\r\n0\r\n\r\n`, 'fin'];
  },
  'length of 0': () => [formatReply(200, ''), 'fin'],
  'closed after its head': () => ['HTTP/1.1 200 OK\r\n\r\n', 'fin'],
  'status 500': (text) => [formatReply(500, text), 'fin'],
};

function formatReply(status: number, text: string): string {
  return `HTTP/1.1 ${status} Any\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

function readHalf(text: string): string {
  return text.slice(0, Math.floor(text.length / 2));
}

/** A whole reply, and a reader of it, which tells whether it believes the reply. */
type Reader = [reply: unknown, read: (address: string) => Promise<boolean>];

const createRatings = (address: string) =>
  createRatingClient({ address, source: 'host-1', clock: systemClock });
const lamport = { read: () => 0, observe: () => undefined };

async function isReadFromStore(
  address: string,
  read: (client: StoreClient) => Promise<{ isOk: boolean }>,
): Promise<boolean> {
  const client = new StoreClient({ address: formatIpPort(address) });
  const { isOk } = await read(client);
  client.close();
  return isOk;
}

async function isReadFromPeer(address: string): Promise<boolean> {
  const client = createPeerClient({ host: 'host-2', lamport, findAddress: () => formatIpPort(address) });
  const { isOk } = await client.send('host-1', 'news.ask', {});
  await client.close();
  return isOk;
}

/** Tells whether the report lists the run. */
async function isRunReported(address: string): Promise<boolean> {
  const client = new EndpointClient({ clock: systemClock, decideSilence: () => 'wait' as never });
  const request = buildTestRequest({ target: { kind: 'plain', call: { attemptId: 'r-1' } } as never });
  const endpoint = createTestEndpoint('p-1', { address: formatIpPort(address) });
  const check = await client.checkRun({ endpoint, request } as unknown as IAttemptCall, 0);
  client.close();
  return check === 'running';
}

function formatIpPort(address: string): string {
  return address.replace('http://', '');
}

const ITEM = { key: KEY, value: VALUE, revision: 3 };
const READERS: Record<string, Reader> = {
  'HttpStore get': [
    { value: VALUE, version: 3 },
    async (address) => (await createHttpStore({ address }).get(KEY)).isOk,
  ],
  'HttpStore watch': [
    { value: VALUE, version: 3 },
    async (address) => (await createHttpStore({ address }).watch(KEY, 2, LIMIT_MS)).isOk,
  ],
  'HttpStore put': [
    { version: 3 },
    async (address) => (await createHttpStore({ address }).put(KEY, VALUE, { expectedVersion: 2 })).isOk,
  ],
  'HttpStore delete': [{}, async (address) => (await createHttpStore({ address }).delete(KEY, 2)).isOk],
  HostListClient: [{ machines: [] }, async (address) => (await fetchHostList(address)).isOk],
  'RatingClient page': [
    { next: 2, ratings: [] },
    async (address) => (await createRatings(address).fetchRatings(1)).isOk,
  ],
  WeightStoreClient: [
    { loadsPerMinute: 100 },
    async (address) => (await createFetchVersionLoadLimit(address)()) !== undefined,
  ],
  EngineOrders: [
    { versions: ['small-1'] },
    async (address) => (await createSendOrder()(createTestEndpoint('e-1', { address }), {} as never)).isOk,
  ],
  PeerRpc: [{ jsonrpc: '2.0', id: 1, result: { kind: 'list' } }, isReadFromPeer],
  'StoreClient list': [
    { items: [ITEM], truncated: false, currentRev: 3 },
    (address) => isReadFromStore(address, (client) => client.list('')),
  ],
  'StoreClient read': [ITEM, (address) => isReadFromStore(address, (client) => client.read(KEY))],
  'StoreClient watch': [
    { events: [ITEM], currentRev: 3 },
    (address) => isReadFromStore(address, (client) => client.watch('', { era: 0, revision: 2 }, LIMIT_MS)),
  ],
  'StoreClient write': [
    { revision: 3 },
    (address) => isReadFromStore(address, (client) => client.write({ conditions: [], values: [] })),
  ],
  'EndpointClient report': [{ numWaiting: 0, runs: [['r-1', 5, 1, 5]] }, isRunReported],
};

async function isBelieved(bytes: string, cut: ConnectionCut, read: Reader[1]): Promise<boolean> {
  const server = await startRawServer(bytes, cut);
  const result = await read(server.address);
  await server.close();
  return result;
}

// Guards against a reply that is cut, empty or an error and is taken for a list, a page or a change.
test('a reader believes a reply only if it is whole', async (t) => {
  const believed: Record<string, string[]> = {};
  for (const [name, [reply, read]] of Object.entries(READERS)) {
    believed[name] = [];
    for (const [form, format] of Object.entries(FORMS))
      if (await isBelieved(...format(JSON.stringify(reply)), read)) believed[name].push(form);
  }
  t.snapshot(believed);
});

// Guards against a question to another host that never ends, and against a list of the store that lacks its rest.
test('a reply that is valid JSON but does not answer the call is an error', async (t) => {
  const cases: [name: string, reply: unknown, read: Reader[1]][] = [
    ...[{}, [], { jsonrpc: '2.0', id: 2, result: {} }].map(
      (reply) => ['PeerRpc', reply, isReadFromPeer] as [string, unknown, Reader[1]],
    ),
    ['StoreClient list', { items: [], truncated: true, currentRev: 3 }, READERS['StoreClient list']![1]],
  ];
  const results: unknown[] = [];
  for (const [name, reply, read] of cases) {
    const unended = new Promise((resolve) => setTimeout(resolve, 2 * LIMIT_MS, 'never ends'));
    const result = isBelieved(formatReply(200, JSON.stringify(reply)), 'fin', read);
    results.push([name, JSON.stringify(reply), await Promise.race([result, unended])]);
  }
  t.deepEqual(
    results,
    cases.map(([name, reply]) => [name, JSON.stringify(reply), false]),
  );
});

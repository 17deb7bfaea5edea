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
import { createTestEndpoint } from './EntryFixtures.js';
import { buildTestRequest } from './VersionFixtures.js';

const [KEY, VALUE] = ['a', 'eA=='];

/** Longest wait of a watch for a change. */
const WATCH_MS = 1000;

/** A whole reply, and a reader of it, which tells whether it believes the reply. */
export type ReplyReader = [reply: unknown, read: ReadReply];

/** Calls the server at an address and tells whether the reply was believed. */
export type ReadReply = (address: string) => Promise<boolean>;

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

/** Tells whether the reply of a peer was believed. */
export async function isReadFromPeer(address: string): Promise<boolean> {
  const client = createPeerClient({ host: 'host-2', lamport, findAddress: () => formatIpPort(address) });
  const { isOk } = await client.send('host-1', 'news.ask', {});
  await client.close();
  return isOk;
}

/** Tells whether a list of the store was believed. */
export function isListRead(address: string): Promise<boolean> {
  return isReadFromStore(address, (client) => client.list(''));
}

/** Tells whether the report lists the run. */
async function isRunReported(address: string): Promise<boolean> {
  const client = new EndpointClient({ clock: systemClock, decideSilence: () => 'wait' as never });
  const request = buildTestRequest({ target: { kind: 'plain', call: { attemptId: 'r-1' } } as never });
  const endpoint = createTestEndpoint('p-1', { address: formatIpPort(address) });
  const check = await client.checkRun({ attempt: {}, endpoint, request } as unknown as IAttemptCall, 0);
  client.close();
  return check === 'running';
}

function formatIpPort(address: string): string {
  return address.replace('http://', '');
}

const ITEM = { key: KEY, value: VALUE, revision: 3 };

/** The clients of this project that read a whole reply, by the call. */
export const REPLY_READERS: Readonly<Record<string, ReplyReader>> = {
  'HttpStore get': [
    { value: VALUE, version: 3 },
    async (address) => (await createHttpStore({ address }).get(KEY)).isOk,
  ],
  'HttpStore watch': [
    { value: VALUE, version: 3 },
    async (address) => (await createHttpStore({ address }).watch(KEY, 2, WATCH_MS)).isOk,
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
  'StoreClient list': [{ items: [ITEM], truncated: false, currentRev: 3 }, isListRead],
  'StoreClient read': [ITEM, (address) => isReadFromStore(address, (client) => client.read(KEY))],
  'StoreClient watch': [
    { events: [ITEM], currentRev: 3 },
    (address) => isReadFromStore(address, (client) => client.watch('', { era: 0, revision: 2 }, WATCH_MS)),
  ],
  'StoreClient write': [
    { revision: 3 },
    (address) => isReadFromStore(address, (client) => client.write({ conditions: [], values: [] })),
  ],
  'EndpointClient report': [{ numWaiting: 0, runs: [['r-1', 5, 1, 5]] }, isRunReported],
};

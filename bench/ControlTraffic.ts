import { createConnection, createServer, type AddressInfo, type Socket } from 'node:net';
import { createPeerClient, startPeerServer } from '../src/adapters/PeerRpc.js';
import { createSeededRandom } from '../src/adapters/Random.js';
import type { Millis } from '../src/common/Types.js';
import { buildDocumentText, formatPair, HostGroup } from '../src/testing/HostGroup.js';

/** Results for one group size. Bytes and calls are per host and second and count both directions. */
interface IGroupFigures {
  hosts: number;
  /** In the 30 s after a common start of all hosts, when each message carries as many updates as fit. */
  startBytes: number;
  /** After the warm-up, while nothing changes. */
  idleBytes: number;
  idleCalls: number;
  /** Bytes that one edit of the configuration causes per host, in addition to the idle traffic. */
  editBytes: number;
  /** Calls to the store per second by all hosts together, while nothing changes. */
  storeCalls: number;
  /** Mean size of a gossip exchange while nothing changes. */
  exchangeBytes: number;
  /** Processor time per host as a share of one core, while nothing changes. */
  processorShare: number;
  /** From the acceptance of an edit until it is in force on every host: median and maximum of all edits. */
  configMedianMs: number;
  configMaxMs: number;
  /** From the time when one host learns that an endpoint leaves until every host knows it. */
  leavingMaxMs: number;
  /** From the end of a host until every other host considers it gone. */
  goneMaxMs: number;
  /** From the end of a network partition between two halves until no host considers a live host gone. */
  healMaxMs: number | undefined;
}

const ZONE_COUNT = 7;
const EDITS = 10;
const IDLE_MS = 30_000;
const START_MS = 30_000;
/** Covers the minute for which hosts keep the updates that they received at the common start. */
const WARM_UP_MS = 110_000;
const STEP_MS = 20;
const WAIT_LIMIT_MS = 300_000;
const NETWORK_PARTITION_MS = 30_000;
/** With more hosts, the simulation of a healing network partition takes longer than five minutes. */
const MAX_HOSTS_FOR_HEALING = 150;
const LEAVING_ENDPOINT = 'engine-77';

/** Measures the bytes that HTTP adds to the bodies of one call between hosts on a persistent connection. */
async function measureHttpBytes(): Promise<number> {
  const lamport = { read: () => 123_456, observe: () => undefined };
  const common = { host: 'host-100', key: 'a-shared-key-of-hosts', lamport };
  const handleCheck = (): Promise<unknown> => Promise.resolve({ isReached: true });
  const server = await startPeerServer({
    ...common,
    ip: '127.0.0.1',
    port: 0,
    handlers: { 'host.check': handleCheck },
  });
  let bytes = 0;
  const sockets: Socket[] = [];
  const proxy = createServer((clientSocket) => {
    const serverSocket = createConnection(server.port, '127.0.0.1');
    sockets.push(clientSocket, serverSocket);
    clientSocket.on('data', (data) => (bytes += data.length)).pipe(serverSocket);
    serverSocket.on('data', (data) => (bytes += data.length)).pipe(clientSocket);
  });
  await new Promise<void>((resolve) => proxy.listen(0, '127.0.0.1', resolve));
  const { port } = proxy.address() as AddressInfo;
  let bodies = 0;
  const client = createPeerClient({
    ...common,
    findAddress: () => `127.0.0.1:${port}`,
    onTraffic: (size) => (bodies += size),
  });
  await client.send('host-200', 'host.check', { target: 'host-1' });
  const calls = 10;
  bytes = 0;
  bodies = 0;
  for (let call = 0; call < calls; call += 1) await client.send('host-200', 'host.check', { target: 'a' });
  await client.close();
  for (const socket of sockets) socket.destroy();
  proxy.close();
  await server.close();
  return Math.round((bytes - bodies) / calls);
}

async function measureGroup(count: number, httpBytes: number): Promise<IGroupFigures> {
  let exchanges = 0;
  let exchangeBytes = 0;
  const group = new HostGroup({
    random: createSeededRandom(count),
    onCall: (method, bytes) => {
      if (method !== 'gossip.exchange') return;
      exchanges += 1;
      exchangeBytes += bytes;
    },
  });
  await group.applyDocument(buildDocumentText(0));
  for (let host = 0; host < count; host += 1) {
    group.startHost(`host-${host}`, `zone-${host % ZONE_COUNT}`);
  }
  const start = await measurePeriod(group, httpBytes, () => group.clock.advance(START_MS));
  await group.clock.advance(WARM_UP_MS);
  exchanges = 0;
  exchangeBytes = 0;
  const idle = await measurePeriod(group, httpBytes, () => group.clock.advance(IDLE_MS));
  const idleExchangeBytes = Math.round(exchangeBytes / exchanges);
  const configTimes: Millis[] = [];
  const editing = await measurePeriod(group, httpBytes, async () => {
    for (let edit = 1; edit <= EDITS; edit += 1) configTimes.push(await measureEdit(group, edit));
  });
  const leavingMaxMs = await measureLeavingSpread(group);
  const goneMaxMs = await measureFailureDetection(group);
  const healMaxMs = count <= MAX_HOSTS_FOR_HEALING ? await measureHealing(group) : undefined;
  group.dispose();
  configTimes.sort((first, second) => first - second);
  return {
    hosts: count,
    startBytes: start.bytes,
    idleBytes: idle.bytes,
    idleCalls: idle.calls,
    editBytes: Math.round(((editing.bytes - idle.bytes) * editing.seconds) / EDITS),
    storeCalls: idle.storeCalls,
    exchangeBytes: idleExchangeBytes,
    processorShare: idle.processorShare,
    configMedianMs: configTimes[Math.floor(EDITS / 2)] ?? 0,
    configMaxMs: configTimes.at(-1) ?? 0,
    leavingMaxMs,
    goneMaxMs,
    healMaxMs,
  };
}

async function measurePeriod(
  group: HostGroup,
  httpBytes: number,
  run: () => Promise<void>,
): Promise<{ bytes: number; calls: number; storeCalls: number; processorShare: number; seconds: number }> {
  const before = sumTraffic(group);
  const startedAt = group.clock.now();
  const cpuBefore = process.cpuUsage();
  await run();
  const cpuUsed = process.cpuUsage(cpuBefore);
  const after = sumTraffic(group);
  const seconds = (group.clock.now() - startedAt) / 1000;
  const hostSeconds = seconds * group.hosts.size;
  const calls = after.calls - before.calls;
  return {
    seconds,
    bytes: Math.round((after.bytes - before.bytes + calls * httpBytes) / hostSeconds),
    calls: Number((calls / hostSeconds).toFixed(2)),
    storeCalls: Number(((after.storeCalls - before.storeCalls) / seconds).toFixed(1)),
    processorShare: Number(((cpuUsed.user + cpuUsed.system) / 1e6 / hostSeconds).toFixed(5)),
  };
}

function sumTraffic(group: HostGroup): { bytes: number; calls: number; storeCalls: number } {
  const hostTraffic = [...group.peers.traffic.values()];
  const { counts } = group.store;
  return {
    bytes: hostTraffic.reduce((sum, { bytes }) => sum + bytes, 0),
    calls: hostTraffic.reduce((sum, { calls }) => sum + calls, 0),
    storeCalls: counts.get + counts.put + counts.delete + counts.watch,
  };
}

/** Makes an edit and returns the time from its acceptance until it is in force on every host. */
async function measureEdit(group: HostGroup, edit: number): Promise<Millis> {
  await group.clock.advance(3000 + 137 * edit);
  const revision = await group.applyDocument(buildDocumentText(edit));
  return waitForAll(group, (id) => getRevision(group, id) >= revision);
}

function getRevision(group: HostGroup, id: string): number {
  return group.hosts.get(id)?.board.configuration.get('in-force')?.revision ?? 0;
}

/** Records at one host that an endpoint leaves and returns the time until every host knows it. */
async function measureLeavingSpread(group: HostGroup): Promise<Millis> {
  const first = group.hosts.get('host-0');
  first?.board.gossipUpdates.set(`endpoint:${LEAVING_ENDPOINT}`, {
    update: { kind: 'endpoint', id: LEAVING_ENDPOINT, condition: 'leaving', incarnation: 1 },
    origin: 'own',
    urgency: 'now',
    sendCount: 0,
    changedAt: group.clock.now(),
  });
  return waitForAll(
    group,
    (id) => group.hosts.get(id)?.board.gossipUpdates.has(`endpoint:${LEAVING_ENDPOINT}`) === true,
  );
}

/** Stops a host and returns the time until every other host considers it gone. */
async function measureFailureDetection(group: HostGroup): Promise<Millis> {
  group.stopHost('host-1');
  return waitForAll(group, (id) => group.hosts.get(id)?.board.hosts.get('host-1')?.state === 'gone');
}

/** Simulates a network partition and returns the time from its end until no host considers another gone. */
async function measureHealing(group: HostGroup): Promise<Millis> {
  const ids = [...group.hosts.keys()];
  const half = Math.floor(ids.length / 2);
  for (const first of ids.slice(0, half)) {
    for (const second of ids.slice(half)) group.disconnectedPairs.add(formatPair(first, second));
  }
  await group.clock.advance(NETWORK_PARTITION_MS);
  group.disconnectedPairs.clear();
  return waitForAll(group, (id) => {
    const { hosts } = group.hosts.get(id)?.board ?? {};
    return ids.every((other) => hosts?.get(other)?.state !== 'gone');
  });
}

async function waitForAll(group: HostGroup, isDone: (id: string) => boolean): Promise<Millis> {
  const startedAt = group.clock.now();
  while (![...group.hosts.keys()].every(isDone) && group.clock.now() - startedAt < WAIT_LIMIT_MS) {
    await group.clock.advance(STEP_MS);
  }
  return group.clock.now() - startedAt;
}

const sizes = process.argv.slice(2).map(Number);
const httpBytes = await measureHttpBytes();
process.stdout.write(`${JSON.stringify({ httpBytes })}\n`);
for (const size of sizes.length > 0 ? sizes : [7, 50, 150, 340]) {
  process.stdout.write(`${JSON.stringify(await measureGroup(size, httpBytes))}\n`);
}

import { createConnection, createServer, type AddressInfo, type Socket } from 'node:net';
import { createPeerClient, startPeerServer } from '../src/adapters/PeerRpc.js';
import { createSeededRandom } from '../src/adapters/Random.js';
import type { Millis } from '../src/common/Types.js';
import { buildDocument, formatPair, HostGroup } from '../src/testing/HostGroup.js';

/** Figures of one group size. Bytes and calls are per host and second, in both directions. */
interface IFigures {
  hosts: number;
  /** In the 30 s after a common start of all hosts, when every message is full. */
  startBytes: number;
  idleBytes: number;
  idleCalls: number;
  /** Bytes of one host for one edit, besides the regular exchanges. */
  editBytes: number;
  storeCalls: number;
  exchangeBytes: number;
  processorShare: number;
  configMedianMs: number;
  configMaxMs: number;
  leavingMaxMs: number;
  goneMaxMs: number;
  /** From the end of a cut between two halves until no host holds a live one for gone. */
  healMaxMs: number | undefined;
}

const ZONE_COUNT = 7;
const EDITS = 10;
const IDLE_MS = 30_000;
const START_MS = 30_000;
/** The updates of a start of all hosts at once are forgotten a minute after they have arrived. */
const WARM_UP_MS = 110_000;
const STEP_MS = 20;
const LIMIT_MS = 300_000;
const CUT_MS = 30_000;
/** With more hosts the healing of a cut takes longer than five minutes to compute. */
const MAX_HEAL_HOSTS = 150;
const ENDPOINT = 'engine-77';

/** Measures the bytes that HTTP adds to the bodies of one call between hosts, on a kept connection. */
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
  const proxy = createServer((near) => {
    const far = createConnection(server.port, '127.0.0.1');
    sockets.push(near, far);
    near.on('data', (data) => (bytes += data.length)).pipe(far);
    far.on('data', (data) => (bytes += data.length)).pipe(near);
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

async function measureGroup(count: number, httpBytes: number): Promise<IFigures> {
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
  await group.applyDocument(buildDocument(0));
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
  const busy = await measurePeriod(group, httpBytes, async () => {
    for (let edit = 1; edit <= EDITS; edit += 1) configTimes.push(await measureEdit(group, edit));
  });
  const leavingMaxMs = await measureLeaving(group);
  const goneMaxMs = await measureGone(group);
  const healMaxMs = count <= MAX_HEAL_HOSTS ? await measureHeal(group) : undefined;
  group.dispose();
  configTimes.sort((first, second) => first - second);
  return {
    hosts: count,
    startBytes: start.bytes,
    idleBytes: idle.bytes,
    idleCalls: idle.calls,
    editBytes: Math.round(((busy.bytes - idle.bytes) * busy.seconds) / EDITS),
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
  const processor = process.cpuUsage();
  await run();
  const used = process.cpuUsage(processor);
  const after = sumTraffic(group);
  const seconds = (group.clock.now() - startedAt) / 1000;
  const hostSeconds = seconds * group.hosts.size;
  const calls = after.calls - before.calls;
  return {
    seconds,
    bytes: Math.round((after.bytes - before.bytes + calls * httpBytes) / hostSeconds),
    calls: Number((calls / hostSeconds).toFixed(2)),
    storeCalls: Number(((after.storeCalls - before.storeCalls) / seconds).toFixed(1)),
    processorShare: Number(((used.user + used.system) / 1e6 / hostSeconds).toFixed(5)),
  };
}

function sumTraffic(group: HostGroup): { bytes: number; calls: number; storeCalls: number } {
  const all = [...group.peers.traffic.values()];
  const { counts } = group.store;
  return {
    bytes: all.reduce((sum, { bytes }) => sum + bytes, 0),
    calls: all.reduce((sum, { calls }) => sum + calls, 0),
    storeCalls: counts.get + counts.put + counts.delete + counts.watch,
  };
}

/** Returns the time from the acceptance of an edit until it is in force on every host. */
async function measureEdit(group: HostGroup, edit: number): Promise<Millis> {
  await group.clock.advance(3000 + 137 * edit);
  const revision = await group.applyDocument(buildDocument(edit));
  return waitForAll(group, (id) => getRevision(group, id) >= revision);
}

function getRevision(group: HostGroup, id: string): number {
  return group.hosts.get(id)?.board.configuration.get('in-force')?.revision ?? 0;
}

/** Returns the time from one host's sight of an endpoint that leaves until every host knows. */
async function measureLeaving(group: HostGroup): Promise<Millis> {
  const first = group.hosts.get('host-0');
  first?.board.updates.set(`endpoint:${ENDPOINT}`, {
    update: { kind: 'endpoint', id: ENDPOINT, condition: 'leaving', incarnation: 1 },
    origin: 'own',
    urgency: 'now',
    sends: 0,
    changedAt: group.clock.now(),
  });
  return waitForAll(group, (id) => group.hosts.get(id)?.board.updates.has(`endpoint:${ENDPOINT}`) === true);
}

/** Returns the time from the end of a host until every other host holds it for gone. */
async function measureGone(group: HostGroup): Promise<Millis> {
  group.stopHost('host-1');
  return waitForAll(group, (id) => group.hosts.get(id)?.board.hosts.get('host-1')?.state === 'gone');
}

/** Cuts the hosts into two halves, heals the cut, and returns the time until all are known as live. */
async function measureHeal(group: HostGroup): Promise<Millis> {
  const ids = [...group.hosts.keys()];
  const half = Math.floor(ids.length / 2);
  for (const near of ids.slice(0, half)) {
    for (const far of ids.slice(half)) group.cutPairs.add(formatPair(near, far));
  }
  await group.clock.advance(CUT_MS);
  group.cutPairs.clear();
  return waitForAll(group, (id) => {
    const { hosts } = group.hosts.get(id)?.board ?? {};
    return ids.every((other) => hosts?.get(other)?.state !== 'gone');
  });
}

async function waitForAll(group: HostGroup, isDone: (id: string) => boolean): Promise<Millis> {
  const startedAt = group.clock.now();
  while (![...group.hosts.keys()].every(isDone) && group.clock.now() - startedAt < LIMIT_MS) {
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

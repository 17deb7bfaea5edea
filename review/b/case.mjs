// Many clients at once send large requests, each within the limit on bodies, over connections that they keep.
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, runCase, wait } from '../standins-3/case.mjs';
import { buildRequest, ClientConnection } from '../standins-3/client.mjs';
import { buildAnswer, buildEntry, startRunner } from '../standins-3/runner.mjs';

const SERVICE = 'counter';
const RUNNER_COUNT = 4;
const SLOTS = 16;
const WORK_MS = 4000;
const DEADLINE_MS = 10_000;
const PATIENCE_MS = 11_000;

/** Half of the limit on bodies. */
const BODY_BYTES = 2_097_152;
const MAX_BODY_BYTES = 4_194_304;

/** `burst` in the site file: 1.7 times the traffic for 3 s. */
const USUAL_CLIENTS = 24;
const BURST_CLIENTS = 40;
const WINDOW_MS = 3000;
const ROUND_COUNT = 2;
const ROUND_GAP_MS = 8000;

/** The rule is broken beyond this number of requests. */
const MAX_CLOSED = 3;

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'booking',
      host: 'routes.example',
      prefix: '/booking/',
      kind: 'unsafe',
      service: SERVICE,
      timeoutMs: DEADLINE_MS,
      targetLatencyMs: 5000,
      priority: 2,
      maxAttempts: 1,
    },
  ],
  services: [{ name: SERVICE, healthPath: '/health', maxConnections: 100 }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: MAX_BODY_BYTES,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'society', apiKeys: ['key-1'] }],
};

/** Ids of the client attempts that a runner has begun to run, and of those whose work it has ended. */
const ranIds = new Set();
const doneIds = new Set();

async function prepare({ record, runners, store }) {
  store.put('op/config', CONFIGURATION);
  for (let index = 0; index < RUNNER_COUNT; index += 1) {
    const runner = await startRunner(`counter-${index}`, async (request, socket) => {
      ranIds.add(request.id);
      record.add('run', `${request.id} with ${request.body.length} bytes at counter-${index}`);
      if (request.body.length > 1000) await wait(WORK_MS);
      doneIds.add(request.id);
      record.add('done', request.id);
      socket.write(buildAnswer(request, 'booked', { 'Response-Stamp': `stamp.${request.id}` }));
    });
    runners.push(runner);
    store.put(`servers/${runner.id}`, buildEntry(runner, SERVICE, { slots: SLOTS }));
  }
}

/** Sends a small request and then a large one on the same connection. Returns the large one's id if it was cut. */
async function makeBookings(name, machine, record) {
  const connection = new ClientConnection(machine.front);
  const small = buildRequest({
    id: `${name}-small`,
    path: '/booking/small',
    deadlineMs: DEADLINE_MS,
    body: '1',
  });
  const first = await connection.send(small);
  record.add('answered', `${name}-small status ${first.status}`);
  const id = `${name}-large`;
  const large = buildRequest({
    id,
    path: '/booking/large',
    deadlineMs: DEADLINE_MS,
    body: 'b'.repeat(BODY_BYTES),
  });
  record.add('sent', `${id} on the same connection to ${machine.node}`);
  const timer = setTimeout(() => connection.close(), PATIENCE_MS);
  const { end, isComplete, status } = await connection.send(large);
  clearTimeout(timer);
  record.add('answered', `${id} status ${status}, connection ${end}`);
  connection.close();
  const isCut = !isComplete && status === 0 && end !== 'left';
  return isCut && ranIds.has(id) ? [id] : [];
}

async function play({ machines: [machine], record }) {
  await wait(4000);
  const clientCount = HAS_TROUBLE ? BURST_CLIENTS : USUAL_CLIENTS;
  const cut = [];
  for (let round = 1; round <= ROUND_COUNT; round += 1) {
    const open = [];
    for (let client = 1; client <= clientCount; client += 1) {
      open.push(makeBookings(`r${round}-c${client}`, machine, record));
      await wait(WINDOW_MS / clientCount);
    }
    cut.push(...(await Promise.all(open)).flat());
    await wait(ROUND_GAP_MS - WINDOW_MS - WORK_MS);
  }
  record.add('seen', `${cut.length} requests were passed on, and their connections closed without an answer`);
  record.add('seen', `${cut.filter((id) => doneIds.has(id)).length} of these were run to their end`);
  return cut.length > MAX_CLOSED
    ? cut.map((id) => `${id} ran, and its kept connection was closed without an answer.`)
    : [];
}

await runCase({
  file: fileURLToPath(new URL('record.txt', import.meta.url)),
  machineCount: 1,
  prepare,
  play,
});

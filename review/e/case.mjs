// Clients send two bookings in a row on a connection, and their machine is stopped while it answers them.
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, runCase, wait } from '../standins-3/case.mjs';
import { buildRequest, ClientConnection } from '../standins-3/client.mjs';
import { buildAnswer, buildEntry, startRunner } from '../standins-3/runner.mjs';

const SERVICE = 'counter';
const RUNNER_COUNT = 4;
const SLOTS = 6;
const DEADLINE_MS = 1500;
const CLIENT_COUNT = 4;
/** Work of the first and of the second booking: the second is a straggler. */
const WORK_MS = [60, 300];
const STOP_AFTER_MS = 40;
/** `graceS`, and a second more. */
const PLANNED_MS = 9000;
const RESTART_DELAY_MS = 300;

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'booking',
      host: 'routes.example',
      prefix: '/booking/',
      kind: 'unsafe',
      service: SERVICE,
      timeoutMs: 800,
      targetLatencyMs: 100,
      priority: 2,
      maxAttempts: 1,
    },
  ],
  services: [{ name: SERVICE, healthPath: '/health', maxConnections: 100 }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'society', apiKeys: ['key-1'] }],
};

/** Ids of the client attempts that a runner has run. */
const ranIds = new Set();

async function prepare({ record, runners, store }) {
  store.put('op/config', CONFIGURATION);
  for (let index = 0; index < RUNNER_COUNT; index += 1) {
    const runner = await startRunner(`counter-${index}`, async (request, socket) => {
      ranIds.add(request.id);
      record.add('run', `${request.id} at counter-${index}`);
      await wait(WORK_MS[Number(request.path.split('/').at(-1))]);
      record.add('done', request.id);
      socket.write(buildAnswer(request, 'booked', { 'Response-Stamp': `stamp.${request.id}` }));
    });
    runners.push(runner);
    store.put(`servers/${runner.id}`, buildEntry(runner, SERVICE, { slots: SLOTS }));
  }
}

async function makeBookings(client, machine, record) {
  const connection = new ClientConnection(machine.front);
  const ids = WORK_MS.map((_, index) => `${machine.node}-c${client}-${index + 1}`);
  const answers = ids.map((id, index) => {
    record.add('sent', `${id} to ${machine.node}`);
    return connection.send(
      buildRequest({ id, path: `/booking/${index}`, deadlineMs: DEADLINE_MS, body: 'b' }),
    );
  });
  const timer = setTimeout(() => connection.close(), DEADLINE_MS);
  const results = await Promise.all(answers);
  clearTimeout(timer);
  connection.close();
  return results.map(({ end, isComplete, status }, index) => {
    record.add('answered', `${ids[index]} status ${status}, ${isComplete ? 'whole' : `connection ${end}`}`);
    return { id: ids[index], isLost: !isComplete && end !== 'left', at: record.now };
  });
}

async function play({ machines, record }) {
  await wait(3000);
  const broken = [];
  for (const machine of machines) {
    const open = [];
    for (let client = 1; client <= CLIENT_COUNT; client += 1)
      open.push(makeBookings(client, machine, record));
    await wait(STOP_AFTER_MS);
    const stoppedAt = record.now;
    let stopped = Promise.resolve();
    if (HAS_TROUBLE) {
      record.add('stop', `${machine.node} gets SIGTERM`);
      stopped = machine.stopProcess('SIGTERM');
    }
    const results = (await Promise.all(open)).flat();
    const lost = results.filter(({ at, id, isLost }) => {
      return HAS_TROUBLE && isLost && ranIds.has(id) && at - stoppedAt <= PLANNED_MS;
    });
    broken.push(
      ...lost.map(({ id }) => `${id} was read and run, and its connection ended without an answer.`),
    );
    await stopped;
    if (!HAS_TROUBLE) continue;
    await wait(RESTART_DELAY_MS);
    machine.start();
    await machine.waitUntilReady();
    record.add('stop', `${machine.node} is ready again`);
  }
  return broken;
}

await runCase({
  file: fileURLToPath(new URL('record.txt', import.meta.url)),
  machineCount: 2,
  prepare,
  play,
});

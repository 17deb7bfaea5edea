// Streams through machines that are stopped and started in turn, and the check that none of them is lost.
import { HAS_TROUBLE, runCase, wait } from './case.mjs';
import { buildRequest, sendAlone } from './client.mjs';
import { buildEntry, startRunner } from './runner.mjs';

const SERVICE = 'drafting';
const MODEL = 'm0';
const RUNNER_COUNT = 4;
const SLOTS = 64;

const DEADLINE_MS = 6000;
const INTERVAL_MS = 120;

/** The machines work for this long before the first is stopped. */
const WARM_UP_MS = 8000;
/** Time between the stops of two machines, and after the last one. */
const STOP_GAP_MS = 12_000;
/** Delay before a process that has ended is started again. */
const RESTART_DELAY_MS = 300;

/** `graceS`, and the time after it until which a stop counts as planned work. */
const GRACE_MS = 8000;
const AFTER_GRACE_MS = 1000;

const READY_CHECK_MS = 1000;
const MAX_MISSES = 2;

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'carenote',
      host: 'routes.example',
      prefix: '/carenote/',
      kind: 'streaming',
      service: SERVICE,
      timeoutMs: DEADLINE_MS,
      targetLatencyMs: 4000,
      gapAimMs: 1200,
      priority: 1,
      maxAttempts: 3,
      stickySessions: true,
    },
  ],
  services: [
    {
      name: SERVICE,
      healthPath: '/health',
      maxConnections: 360,
      engine: { models: [{ name: MODEL, cost: 0.1 }], kvCapacity: 417_959 },
    },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'society', apiKeys: ['key-1'] }],
};

/** What the platform's entry knows of a machine: it is in rotation until it misses two checks in a row. */
class Entry {
  constructor(machines) {
    this._states = machines.map((machine) => ({ machine, misses: 0 }));
    this._turn = 0;
    this._timer = setInterval(() => void this._check(), READY_CHECK_MS);
  }

  choose() {
    const inRotation = this._states.filter(({ misses }) => misses < MAX_MISSES);
    const usable = inRotation.length > 0 ? inRotation : this._states;
    this._turn += 1;
    return usable[this._turn % usable.length].machine;
  }

  close() {
    clearInterval(this._timer);
  }

  async _check() {
    for (const state of this._states) state.misses = (await state.machine.isReady()) ? 0 : state.misses + 1;
  }
}

/**
 * Plays streams that may not be resumed. `sendStream` answers one as a sound runner and resolves to whether it was sent
 * to its end.
 */
export async function runRestartCase({ file, sendStream }) {
  const finished = new Set();
  const prepare = async ({ record, runners, store }) => {
    store.put('op/config', CONFIGURATION);
    for (let index = 0; index < RUNNER_COUNT; index += 1) {
      const runner = await startRunner(`drafting-${index}`, async (request, socket) => {
        record.add('run', `${request.id} at drafting-${index}`);
        const isWhole = await sendStream(request, socket);
        if (isWhole) finished.add(request.id);
        record.add('done', `${request.id} ${isWhole ? 'to its end' : 'cut off by its caller'}`);
      });
      runners.push(runner);
      store.put(`servers/${runner.id}`, buildEntry(runner, SERVICE, { models: [MODEL], slots: SLOTS }));
    }
  };
  const play = ({ machines, record }) => playStreams({ machines, record, finished });
  await runCase({ file, machineCount: 2, prepare, play });
}

async function playStreams({ finished, machines, record }) {
  const entry = new Entry(machines);
  const stops = [];
  const open = [];
  const state = { isPlaying: true };
  const sending = (async () => {
    for (let number = 1; state.isPlaying; number += 1) {
      open.push(requestStream(number, entry.choose(), record));
      await wait(INTERVAL_MS);
    }
  })();
  await wait(WARM_UP_MS);
  for (const machine of machines) {
    if (HAS_TROUBLE) {
      stops.push({ node: machine.node, at: record.now });
      record.add('stop', `${machine.node} gets SIGTERM`);
      await restart(machine, record);
    }
    await wait(STOP_GAP_MS - (HAS_TROUBLE ? record.now - stops.at(-1).at : 0));
  }
  state.isPlaying = false;
  await sending;
  const results = await Promise.all(open);
  entry.close();
  const cut = results.filter(({ isComplete, status }) => !isComplete && (status === 200 || status === 0));
  const lost = cut.filter(({ end, endedAt, id, node, sentAt }) => {
    const isPlanned = stops.some(
      (stop) => stop.node === node && sentAt >= stop.at && endedAt <= stop.at + GRACE_MS + AFTER_GRACE_MS,
    );
    return isPlanned && end !== 'left' && record.lines.some((line) => line.includes(`run       ${id} `));
  });
  record.add('seen', `${results.length} streams, ${cut.length} without their end`);
  record.add('seen', `${lost.length} of these around a stop of their machine`);
  return lost.map(({ id, node, pieces }) => {
    const cause = finished.has(id) ? 'its runner had sent it to its end' : 'its runner was left';
    return `${id} by ${node}: passed on, and its connection ended after ${pieces} events; ${cause}.`;
  });
}

async function restart(machine, record) {
  await machine.stopProcess('SIGTERM');
  record.add('stop', `${machine.node} has ended`);
  await wait(RESTART_DELAY_MS);
  machine.start();
  await machine.waitUntilReady();
  record.add('stop', `${machine.node} is ready again`);
}

async function requestStream(number, { front, node }, record) {
  const id = `stream-${number}`;
  const sentAt = record.now;
  record.add('sent', `${id} to ${node}`);
  const headers = { Model: MODEL, 'Token-Usage': '120,60', 'Prompt-Prefix': `5c1e07a2:100,${number}:20` };
  const text = buildRequest({ id, path: '/carenote/1', deadlineMs: DEADLINE_MS, headers, body: 'prompt' });
  const { body, end, isComplete, status } = await sendAlone(front, text, DEADLINE_MS);
  const pieces = body.split('\nid: ').length - 1;
  record.add('answered', `${id} status ${status}, ${pieces} events, ${isComplete ? 'whole' : `cut: ${end}`}`);
  return { id, node, sentAt, endedAt: record.now, status, isComplete, end, pieces };
}

import { createClient } from './client.mjs';
import { startRouter } from './router.mjs';
import { describeRunner, startRunner, streamEvents } from './runner.mjs';
import { startStore } from './store.mjs';
import { wait } from './net.mjs';

/** Places of a model runner, as in the site file. */
export const SLOTS = 64;
export const CONTACT_MS = 3000;
const QUEUE = 134;
const DEADLINE_MS = 25_000;
const MODELS = [{ name: 'm0', version: 1, adapters: [] }];

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'tag',
      host: 'a.example',
      prefix: '/tag/',
      kind: 'streaming',
      service: 'drafts',
      timeoutMs: DEADLINE_MS,
      targetLatencyMs: 5000,
      gapAimMs: 1200,
      priority: 2,
      maxAttempts: 3,
      stickySessions: true,
      streamResume: false,
    },
  ],
  services: [
    {
      name: 'drafts',
      healthPath: '/health',
      maxConnections: 360,
      engine: { models: [{ name: 'm0', cost: 0.1 }], kvCapacity: 430_660 },
    },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'north', apiKeys: ['key-north'] }],
};

export function describeModelRunner(runner, fields) {
  return describeRunner(runner, 'drafts', { slots: SLOTS, stage: 'both', models: MODELS, ...fields });
}

/**
 * Starts a small deployment of model runners behind one router, with a route whose streams may not be resumed. Each run
 * has `events` events, one each `gapMs`. The functions given back send one stream and list the events of the runners.
 */
export async function startStreamDeployment({ folder, note, onEnd, runnerCount, events, gapMs }) {
  const store = await startStore();
  onEnd(store.close);
  const runners = [];
  const runnerEvents = [];
  for (let number = 1; number <= runnerCount; number += 1) {
    const id = `i-${number}`;
    const onEvent = (event, call, reason = '') => {
      note(`runner ${id}: ${call.id} ${event} ${reason}`);
      runnerEvents.push({ event, id: call.id, runner: id, at: Date.now() });
    };
    const run = streamEvents({ count: events, gapMs });
    const runner = await startRunner({ id, slots: SLOTS, queue: QUEUE, run, onEvent });
    onEnd(runner.close);
    runners.push(runner);
    store.put(`servers/${id}`, describeModelRunner(runner));
  }
  store.put('op/config', CONFIGURATION);
  const router = await startRouter({ folder, store });
  onEnd(router.kill);
  // The machine and the store have been without disruption for longer than contactMs.
  await wait(CONTACT_MS + 1000);
  const sendStream = (id) => {
    const client = createClient(router.address);
    onEnd(client.close);
    const headers = {
      Host: 'a.example',
      'Attempt-Id': id,
      'Deadline-Ms': String(DEADLINE_MS),
      Authorization: 'Token key-north',
      Model: 'm0',
      'Token-Usage': `600,${events * 3}`,
      'Prompt-Prefix': `aa:100,${Buffer.from(id).toString('hex')}:500`,
    };
    note(`client: ${id} sent`);
    return client.send({ path: '/tag/1', headers, body: Buffer.from('text') });
  };
  return { store, runners, runnerEvents, sendStream };
}

import { fileURLToPath } from 'node:url';
import { runCase } from '../standins-2/case.mjs';
import { createClient } from '../standins-2/client.mjs';
import { wait } from '../standins-2/net.mjs';
import { startRouter } from '../standins-2/router.mjs';
import { describeRunner, startRunner, streamEvents } from '../standins-2/runner.mjs';
import { startStore } from '../standins-2/store.mjs';

const SERVICE = 'drafts';
const SLOTS = 64;
const MODELS = [{ name: 'm0', version: 1, adapters: [] }];
const CLIENTS = 24;
/** Each client sends a request about every INTERVAL_MS. */
const INTERVAL_MS = 400;
const CONTACT_MS = 3000;
const DURATION_S = 16;
/** Share of the requests that the bad version fails. */
const BAD_SHARE = 0.5;
/** Time from the restart of one router to that of the next. */
const RESTART_GAP_MS = 500;
/** Time from the roll-back to the order of the next version, and until the runners of the bad one drain. */
const NEXT_ORDER_MS = 500;
const NEW_RUNNERS_DRAIN_MS = 4000;
const EXPOSE_SHARE = 0.15;
const EXPOSE_SLACK = 30;

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'tag',
      host: 'a.example',
      prefix: '/tag/',
      kind: 'streaming',
      service: SERVICE,
      timeoutMs: 10_000,
      targetLatencyMs: 2000,
      gapAimMs: 1200,
      priority: 2,
      maxAttempts: 3,
      stickySessions: true,
      streamResume: true,
    },
  ],
  services: [
    {
      name: SERVICE,
      healthPath: '/health',
      maxConnections: 360,
      engine: { models: [{ name: 'm0', cost: 0.1 }], kvCapacity: 430_660 },
    },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'north', apiKeys: ['key-north'] }],
};

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async ({ folder, hasTrouble, note, onEnd }) => {
    const store = await startStore();
    onEnd(store.close);
    /** Times of the requests that reached the runners of each version. */
    const arrivals = { v1: [], v2: [], v3: [] };
    const sound = streamEvents({ count: 6, gapMs: 60 });
    let badCount = 0;
    const fail = (call, response, { headers }) => {
      response.writeHead(500, { ...headers, 'Content-Length': 0 }).end();
    };
    const runBad = (call, ...rest) => {
      badCount += 1;
      (badCount % (1 / BAD_SHARE) === 0 ? fail : sound)(call, ...rest);
    };
    const startVersion = async (version, ids) => {
      const runners = [];
      for (const id of ids) {
        const onEvent = (event) => {
          if (event === 'arrived') arrivals[version].push(Date.now());
        };
        const run = version === 'v2' ? runBad : sound;
        const runner = await startRunner({ id, slots: SLOTS, queue: 134, run, onEvent });
        onEnd(runner.close);
        const record = describeRunner(runner, SERVICE, {
          slots: SLOTS,
          stage: 'both',
          models: MODELS,
          version,
        });
        store.put(`servers/${id}`, record);
        runners.push({ id, record });
      }
      note(`runners ${ids.join(', ')} of ${version}: started`);
      return runners;
    };
    // Ids are the platform's to choose. In the order of their keys, those of v2 come first here.
    await startVersion('v1', ['i-90', 'i-91', 'i-92', 'i-93']);
    store.put('op/config', CONFIGURATION);
    const routers = [];
    for (const node of ['front-1', 'front-2']) {
      const router = await startRouter({ folder, store, node });
      onEnd(router.kill);
      routers.push(router);
    }
    await wait(CONTACT_MS + 1000);

    const statuses = new Map();
    const stopped = new Set();
    let isOver = false;
    let sent = 0;
    const sendAll = async () => {
      while (!isOver) {
        const isDue = wait(INTERVAL_MS * (0.7 + 0.6 * Math.random()));
        sent += 1;
        const number = sent;
        const open = routers.filter((router) => !stopped.has(router));
        const client = createClient(open[number % open.length].address);
        const headers = {
          Host: 'a.example',
          'Attempt-Id': `tag-${number}`,
          'Deadline-Ms': '10000',
          Authorization: 'Token key-north',
          Model: 'm0',
          'Token-Usage': '600,18',
          'Prompt-Prefix': `aa:100,${number.toString(16)}:500`,
        };
        const { status, error } = await client.send({ path: '/tag/1', headers, body: Buffer.from('text') })
          .result;
        client.close();
        statuses.set(status ?? error, (statuses.get(status ?? error) ?? 0) + 1);
        await isDue;
      }
    };
    const load = Promise.all(Array.from({ length: CLIENTS }, sendAll));
    await wait(1000);

    const order = (target) => {
      store.put(`op/rollout/${SERVICE}`, { service: SERVICE, target, durationS: DURATION_S });
      note(`operator: orders ${target}`);
    };
    order('v2');
    const orderedAt = Date.now();
    const bad = await startVersion('v2', ['i-10', 'i-11', 'i-12']);
    if (hasTrouble)
      for (const router of routers) {
        await wait(RESTART_GAP_MS);
        stopped.add(router);
        await router.kill('SIGTERM');
        await router.restart();
        stopped.delete(router);
        note('router: stopped with SIGTERM and started again');
      }
    const readState = () => store.read(`status/rollout/${SERVICE}`)?.state;
    while (readState() !== 'rolled_back' && Date.now() < orderedAt + DURATION_S * 1000) await wait(50);
    const rolledBackAt = Date.now();
    note(
      `status: ${readState()} after ${rolledBackAt - orderedAt} ms, v2 got ${arrivals.v2.length} requests`,
    );
    if (readState() !== 'rolled_back') throw new Error('The bad version was not rolled back.');
    await wait(NEXT_ORDER_MS);
    order('v3');
    await startVersion('v3', ['i-50', 'i-51', 'i-52']);
    await wait(rolledBackAt + NEW_RUNNERS_DRAIN_MS - Date.now());
    for (const { id, record } of bad) store.put(`servers/${id}`, { ...record, state: 'draining', seq: 2 });
    note('runners of v2: draining');
    await wait(orderedAt + DURATION_S * 1000 - Date.now());
    isOver = true;
    await load;
    const count = (times, from) => times.filter((at) => at >= from).length;
    const total = Object.values(arrivals).reduce((sum, times) => sum + count(times, orderedAt), 0);
    const allowed = EXPOSE_SHARE * total + EXPOSE_SLACK;
    const got = count(arrivals.v2, orderedAt);
    const verdict =
      `v2 got ${got} of ${total} requests between its order and its deadline (allowed ${allowed.toFixed(0)}), ` +
      `${count(arrivals.v2, rolledBackAt)} of them after the status rolled_back; ` +
      `answers: ${[...statuses].map(([status, number]) => `${status}: ${number}`).join(', ')}`;
    return { isBroken: got > allowed, verdict };
  },
);

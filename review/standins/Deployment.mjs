import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Connection, createAttemptId, formatRequest } from './Caller.mjs';
import { Proxy } from './Proxy.mjs';
import { Router } from './Router.mjs';
import { Runner } from './Runner.mjs';
import { Store } from './Store.mjs';

export const HOST = 'callers.example';
export const KEY = 'k0aaaaaaaaaaaaaaaaaa';
export const TENANT = 'tenant-1';
export const MODELS = ['small', 'medium', 'large'];

/** Routes like those of the small sites: streams that may be resumed, unsafe posts and safe lookups. */
export const ROUTES = [
  {
    name: 'r-stream',
    host: HOST,
    prefix: '/stream/',
    kind: 'streaming',
    timeoutMs: 10_000,
    targetLatencyMs: 2000,
    priority: 0,
    sizes: MODELS,
    service: 'models',
    maxAttempts: 3,
    authExempt: false,
    stickySessions: true,
    streamResume: true,
    gapAimMs: 1200,
  },
  {
    name: 'r-post',
    host: HOST,
    prefix: '/post/',
    kind: 'unsafe',
    timeoutMs: 3000,
    targetLatencyMs: 300,
    priority: 2,
    service: 'ledger',
    maxAttempts: 1,
    authExempt: false,
  },
  {
    name: 'r-look',
    host: HOST,
    prefix: '/look/',
    kind: 'safe',
    timeoutMs: 3000,
    targetLatencyMs: 300,
    priority: 2,
    service: 'ledger',
    maxAttempts: 2,
    authExempt: false,
  },
];

export const CONFIGURATION = {
  version: 7,
  routes: ROUTES,
  services: [
    {
      name: 'models',
      healthPath: '/health',
      maxConnections: 360,
      protocol: 'h1',
      tls: false,
      engine: { slots: 64, models: MODELS.map((name, index) => ({ name, cost: 0.02 + 0.1 * index })) },
    },
    { name: 'ledger', healthPath: '/health', maxConnections: 100, protocol: 'h1', tls: false },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: TENANT, apiKeys: [KEY], priority: 1 }],
};

/** A store, runners and routers of one small deployment, with a record of what was sent, answered and run. */
export class Deployment {
  constructor(recordFile) {
    this.startedAt = Date.now();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.recordFile = recordFile;
    if (recordFile) writeFileSync(recordFile, '');
    this.runners = [];
    this.proxies = [];
    this.routers = [];
  }

  record = (kind, fields = {}) => {
    const line = `${((Date.now() - this.startedAt) / 1000).toFixed(3)} ${kind} ${JSON.stringify(fields)}\n`;
    if (this.recordFile) appendFileSync(this.recordFile, line);
    else process.stdout.write(line);
  };

  async startStore(configuration = CONFIGURATION) {
    this.store = await new Store().start();
    this.store.put('op/config', configuration);
    return this.store;
  }

  /** Starts a runner, behind a proxy if `losesAnswer` is given. */
  async startRunner({ losesAnswer, ...options }) {
    const runner = await new Runner({ record: this.record, ...options }).start();
    this.runners.push(runner);
    if (losesAnswer) {
      const proxy = await new Proxy(runner.address, losesAnswer).start();
      this.proxies.push(proxy);
      runner.address = proxy.address;
    }
    this.store.put(`servers/${runner.id}`, runner.announce());
    return runner;
  }

  async startRouter(name, options = {}) {
    const onExit = (_router, code, signal) => this.record('router-ended', { router: name, code, signal });
    const router = new Router({ folder: this.folder, name, store: this.store.address, onExit, ...options });
    this.routers.push(router);
    await router.start();
    this.record('router-ready', { router: name });
    return router;
  }

  /** Sends one request on a new connection or a given one, and reads the response. */
  async send(
    router,
    { body, connection, headers = {}, id = createAttemptId(), method = 'GET', path, timeoutMs },
  ) {
    const used = connection ?? new Connection(router.address);
    const startedAt = Date.now();
    this.record('sent', { id, router: router.name, method, path });
    used.write(
      formatRequest({
        method,
        path,
        body,
        headers: {
          Host: HOST,
          'Attempt-Id': id,
          'Deadline-Ms': timeoutMs,
          Authorization: `Token ${KEY}`,
          ...headers,
        },
      }),
    );
    const result = await used.readResponse({ timeoutMs, method, startedAt });
    const { end, endMs, firstMs, status } = result;
    this.record('answered', {
      id,
      router: router.name,
      status,
      end,
      firstMs,
      endMs,
      bytes: result.body.length,
    });
    if (!connection || end !== 'complete') used.destroy();
    return { id, ...result };
  }

  /** Ends all processes and servers that the deployment has started. */
  async stop() {
    for (const router of this.routers) await router.kill();
    for (const proxy of this.proxies) proxy.stop();
    for (const runner of this.runners) runner.stop();
    this.store?.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

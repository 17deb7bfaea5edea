import type { Agent } from 'node:http';
import { createFactStore } from '../../../platform/FactStore.js';
import { FrontServer } from '../../../platform/FrontServer.js';
import { RunnerClient } from '../../../platform/RunnerClient.js';
import { StoreClient } from '../../../platform/StoreClient.js';
import { systemClock } from '../../adapters/SystemClock.js';
import type { ITimelineEvent } from '../../common/timeline/Types.js';
import { RouterHost } from '../../daemons/RouterHost.js';
import { sendCall, type ICallerView } from './CallSender.js';
import { startRevisionStoreServer, type IRevisionStoreStandIn } from './RevisionStoreServer.js';
import { createTestRoute } from './Routes.js';
import { startRunnerStandIn, type IRunnerStandIn } from './ScriptedRunner.js';

/** Services of the test configuration. */
const MODEL_SERVICE = 'drafts';
const PLAIN_SERVICE = 'ledger';

/** Routes of the test configuration: a resumable stream, a call that may be repeated, one that may not. */
export const TEST_CONFIGURATION = {
  version: 1,
  routes: [
    createTestRoute('stream', 'streaming', {
      service: MODEL_SERVICE,
      sizes: ['small', 'large'],
      streamResume: true,
      gapAimMs: 1200,
      maxAttempts: 3,
    }),
    createTestRoute('look', 'safe', { service: PLAIN_SERVICE, maxAttempts: 2 }),
    createTestRoute('post', 'unsafe', { service: PLAIN_SERVICE }),
    createTestRoute('short', 'unsafe', { service: PLAIN_SERVICE, timeoutMs: 300 }),
  ],
  services: [
    { name: MODEL_SERVICE, engine: { models: [] } },
    { name: PLAIN_SERVICE, healthPath: '/health' },
  ],
  tenants: [{ name: 'north', apiKeys: ['key-north'] }],
};

/** One router host with the platform's adapter, a store and scripted runners, in one process. */
export class RouterRig {
  public readonly events: ITimelineEvent[] = [];
  public readonly runners: IRunnerStandIn[] = [];
  public store!: IRevisionStoreStandIn;
  public host!: RouterHost;
  private _front = '';
  private _ready = '';
  private _client!: StoreClient;
  private _runnerClient!: RunnerClient;
  private _lastCall = 0;

  /** Starts a host, without a configuration where it is `null`, with runners `m-1`, `m-2` for models and `p-1`, `p-2` for plain calls. */
  public static async start(configuration: object | null = TEST_CONFIGURATION): Promise<RouterRig> {
    const rig = new RouterRig();
    rig.store = await startRevisionStoreServer();
    if (configuration !== null) rig.store.put('op/config', configuration);
    for (const id of ['m-1', 'm-2']) await rig._addRunner(id, MODEL_SERVICE, ['small', 'large']);
    for (const id of ['p-1', 'p-2']) await rig._addRunner(id, PLAIN_SERVICE, []);
    await rig._startHost();
    return rig;
  }

  /** Starts a host with the test configuration and waits until it is ready. */
  public static async startReady(): Promise<RouterRig> {
    const rig = await RouterRig.start();
    await rig.waitUntil(async () => (await rig.readReady()) === 200);
    return rig;
  }

  /** `ip:port` for callers. */
  public get front(): string {
    return this._front;
  }

  /** Announces a runner in the store. */
  public publish(runner: IRunnerStandIn, service: string, patch: Record<string, unknown> = {}): void {
    const models = service === MODEL_SERVICE ? ['small', 'large'] : [];
    this.store.put(`servers/${runner.id}`, {
      service,
      address: runner.address,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      models: models.map((name) => ({ name, version: 1 })),
      born: 1,
      ...patch,
    });
  }

  /** Sends a call; resolves when its response has ended in any way. */
  public send(
    path: string,
    headers: Record<string, string> = {},
    options: { method?: string; body?: string; agent?: Agent } = {},
  ): Promise<ICallerView> {
    this._lastCall += 1;
    const call = {
      host: 'a.example',
      'attempt-id': `call-${this._lastCall}`,
      'deadline-ms': '4000',
      authorization: 'Token key-north',
      ...headers,
    };
    const { method = 'POST', body, agent } = options;
    return sendCall({ address: this._front, path, headers: call, method, body, agent }).view;
  }

  /** Asks whether the host is ready, as the platform's balancer does. */
  public async readReady(): Promise<number> {
    return (await fetch(`http://${this._ready}/-/ready`)).status;
  }

  /** Waits until a condition holds. */
  public async waitUntil(isMet: () => boolean | Promise<boolean>): Promise<void> {
    for (let tries = 0; tries < 400; tries += 1) {
      if (await isMet()) return;
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    throw new Error('A condition did not hold in time.');
  }

  public async close(): Promise<void> {
    this.host.dispose();
    this._runnerClient.close();
    this._client.close();
    for (const runner of this.runners) await runner.close();
    await this.store.close();
  }

  private async _addRunner(id: string, service: string, models: readonly string[]): Promise<void> {
    const runner = await startRunnerStandIn(id);
    this.runners.push(runner);
    this.publish(runner, service, { models: models.map((name) => ({ name, version: 1 })) });
  }

  private async _startHost(): Promise<void> {
    this._client = new StoreClient({ address: this.store.address.replace('http://', '') });
    const addresses = { address: '127.0.0.1:0', readyAddress: '127.0.0.1:0' };
    let front: FrontServer | undefined;
    this.host = new RouterHost({
      id: 'host-1',
      zone: 'a',
      store: createFactStore(this._client),
      createRunners: (decideSilence) => {
        this._runnerClient = new RunnerClient({ clock: systemClock, decideSilence });
        return this._runnerClient;
      },
      createFront: (context) => {
        front = new FrontServer({ ...context, ...addresses, clock: systemClock });
        return front;
      },
      sink: { count: () => undefined, time: () => undefined, gauge: () => undefined },
      writeEvent: (event) => this.events.push(event),
      onError: (error) => {
        throw error;
      },
      limits: {
        retryShare: 0.9,
        sessionMs: 5000,
        exposureShare: 0.15,
        stopMs: 2000,
        contactMs: 3000,
        applyMs: 2000,
      },
    });
    await this.host.start();
    this._front = `127.0.0.1:${front?.ports.front ?? 0}`;
    this._ready = `127.0.0.1:${front?.ports.ready ?? 0}`;
  }
}

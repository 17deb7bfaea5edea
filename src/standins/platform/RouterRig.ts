import type { Agent } from 'node:http';
import { createFactStore, decodePassedFact } from '../../../platform/FactStore.js';
import { FrontServer } from '../../../platform/FrontServer.js';
import { EndpointClient } from '../../../platform/EndpointClient.js';
import { StoreClient } from '../../../platform/StoreClient.js';
import { createEndpointConnector } from '../../adapters/EndpointConnector.js';
import { createNewsNetwork } from '../../adapters/NewsNetwork.js';
import { systemClock } from '../../adapters/SystemClock.js';
import { createOpenTunnel } from '../../adapters/Tunnels.js';
import type { IHostLimits } from '../../common/fleet/Types.js';
import type { ITimelineEvent } from '../../common/timeline/Types.js';
import { RouterHost, type IRouterHostOptions } from '../../daemons/RouterHost.js';
import { HostLink } from '../../testing/HostLink.js';
import { findFreePort } from '../HttpTools.js';
import { sendCall, type ICallResult } from './CallSender.js';
import { startRevisionStoreServer, type IRevisionStoreStandIn } from './RevisionStoreServer.js';
import { createTestRoute } from './Routes.js';
import { startRunnerStandIn, type IRunnerStandIn } from './ScriptedRunner.js';

/** Names of the services in the test configuration. */
const MODEL_SERVICE = 'drafts';
const PLAIN_SERVICE = 'ledger';

/** Test configuration: routes for streams that may be resumed and that may not, for calls that may be repeated, and for calls that may not. */
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
    createTestRoute('once', 'streaming', {
      service: MODEL_SERVICE,
      sizes: ['small', 'large'],
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

/** Test rig: runs one router host with the platform's adapter, a fake store and scripted runners in one process. */
export class RouterRig {
  public readonly events: ITimelineEvent[] = [];
  public readonly runners: IRunnerStandIn[] = [];
  public store!: IRevisionStoreStandIn;
  public host!: RouterHost;
  private _frontAddress = '';
  private _readyAddress = '';
  private _storeClient!: StoreClient;
  private _runnerClient!: EndpointClient;
  private _callCount = 0;
  /** Whether another rig owns the store. */
  private _isPeer = false;
  private _shutdownTimeoutMs = 2000;
  /** Whether hosts can reach one another. */
  private _hasPeers = false;
  /** Link of the host to the runners. */
  public readonly link = new HostLink();

  /**
   * Starts a host with the runners `m-1` and `m-2` for models and `p-1` and `p-2` for plain calls. Stores no
   * configuration if it is `null`.
   */
  public static async start(
    configuration: object | null = TEST_CONFIGURATION,
    { hasPeers = false } = {},
  ): Promise<RouterRig> {
    const rig = new RouterRig();
    rig._hasPeers = hasPeers;
    rig.store = await startRevisionStoreServer();
    if (configuration !== null) rig.store.put('op/config', configuration);
    for (const id of ['m-1', 'm-2']) await rig.addRunner(id, MODEL_SERVICE);
    for (const id of ['p-1', 'p-2']) await rig.addRunner(id, PLAIN_SERVICE);
    await rig._startHost('host-1');
    return rig;
  }

  /**
   * Starts a host with the test configuration and waits until it is ready. By default it has 2 s for its stop and reaches
   * no other host.
   */
  public static async startReady({ hasPeers = false, shutdownTimeoutMs = 2000 } = {}): Promise<RouterRig> {
    const rig = await RouterRig.start(TEST_CONFIGURATION, { hasPeers });
    rig._shutdownTimeoutMs = shutdownTimeoutMs;
    rig.host.applyLimits(rig._buildLimits());
    await rig.waitUntil(async () => (await rig.fetchReadyStatus()) === 200);
    return rig;
  }

  /**
   * Starts another host on the same store, which has 2 s for its stop by default. Its `close` leaves the store and the
   * runners running.
   */
  public async startPeer(id: string, { shutdownTimeoutMs = 2000 } = {}): Promise<RouterRig> {
    const peer = new RouterRig();
    peer._shutdownTimeoutMs = shutdownTimeoutMs;
    peer.store = this.store;
    peer._isPeer = true;
    peer._hasPeers = this._hasPeers;
    await peer._startHost(id);
    await peer.waitUntil(async () => (await peer.fetchReadyStatus()) === 200);
    return peer;
  }

  /** Starts a runner and announces it, with the given fields of its record. */
  public async addRunner(
    id: string,
    service: string,
    overrides: Record<string, unknown> = {},
  ): Promise<IRunnerStandIn> {
    const runner = await startRunnerStandIn(id);
    this.runners.push(runner);
    this.publish(runner, service, overrides);
    return runner;
  }

  /** `ip:port` where the host takes calls. */
  public get frontAddress(): string {
    return this._frontAddress;
  }

  /** Writes the record of a runner to the store, as a runner does to announce itself. */
  public publish(runner: IRunnerStandIn, service: string, overrides: Record<string, unknown> = {}): void {
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
      ...overrides,
    });
  }

  /**
   * Sends a call with the API key of the test configuration. Resolves when the response has ended or the connection
   * has failed.
   */
  public send(
    path: string,
    headers: Record<string, string> = {},
    options: { method?: string; body?: string; agent?: Agent } = {},
  ): Promise<ICallResult> {
    this._callCount += 1;
    const callHeaders = {
      host: 'a.example',
      'attempt-id': `call-${this._callCount}`,
      'deadline-ms': '4000',
      authorization: 'Token key-north',
      ...headers,
    };
    const { method = 'POST', body, agent } = options;
    return sendCall({ address: this._frontAddress, path, headers: callHeaders, method, body, agent }).result;
  }

  /** Returns the status of the readiness endpoint, which the platform's load balancer reads too. */
  public async fetchReadyStatus(): Promise<number> {
    return (await fetch(`http://${this._readyAddress}/-/ready`)).status;
  }

  /** Waits until a condition is met; throws after about 4 s. */
  public async waitUntil(isMet: () => boolean | Promise<boolean>): Promise<void> {
    for (let tries = 0; tries < 400; tries += 1) {
      if (await isMet()) return;
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    throw new Error('The condition was not met within 400 checks, 10 ms apart.');
  }

  public async close(): Promise<void> {
    this.host.dispose();
    this._runnerClient.close();
    this._storeClient.close();
    for (const runner of this.runners) await runner.close();
    if (!this._isPeer) await this.store.close();
  }

  private async _startHost(id: string): Promise<void> {
    this._storeClient = new StoreClient({ address: this.store.address.replace('http://', '') });
    const addresses = { address: '127.0.0.1:0', readyAddress: '127.0.0.1:0' };
    let frontServer: FrontServer | undefined;
    this.host = new RouterHost({
      id,
      zone: 'a',
      store: createFactStore(this._storeClient),
      createEndpointClient: (decideSilence, paths, memory) => {
        this._runnerClient = new EndpointClient({
          clock: systemClock,
          decideSilence,
          memory,
          connect: createEndpointConnector({
            clock: systemClock,
            connect: this.link.connect,
            openTunnel: createOpenTunnel({ host: id, ip: '127.0.0.1' }),
            paths,
          }),
        });
        return this._runnerClient;
      },
      createFrontEnd: (context) => {
        frontServer = new FrontServer({ ...context, ...addresses, clock: systemClock });
        return frontServer;
      },
      sink: { count: () => undefined, time: () => undefined, gauge: () => undefined },
      writeEvent: (event) => this.events.push(event),
      onError: (error) => {
        throw error;
      },
      limits: this._buildLimits(),
      ...(this._hasPeers ? { peers: await createPeers(id) } : {}),
    });
    await this.host.start();
    this._frontAddress = `127.0.0.1:${frontServer?.ports.front ?? 0}`;
    this._readyAddress = `127.0.0.1:${frontServer?.ports.ready ?? 0}`;
  }

  private _buildLimits(): IHostLimits {
    return {
      maxRetryShare: 0.9,
      sessionRetentionMs: 5000,
      maxExposureShare: 0.15,
      exposureSlack: 0,
      shutdownTimeoutMs: this._shutdownTimeoutMs,
      storeContactMs: 3000,
      maxApplyDelayMs: 2000,
    };
  }
}

async function createPeers(host: string): Promise<NonNullable<IRouterHostOptions['peers']>> {
  const ip = '127.0.0.1';
  const port = await findFreePort();
  return {
    address: `${ip}:${port}`,
    createNetwork: (context) => createNewsNetwork({ host, ip, port }, context),
    decodeFact: decodePassedFact,
  };
}

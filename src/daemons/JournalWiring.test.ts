import test from 'ava';
import { request as sendRequest } from 'undici';
import { buildEditorOptions } from '../adapters/ConfigStore.js';
import { createHttpStore } from '../adapters/HttpStore.js';
import { createUniqueId } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import { DEMO_DOCUMENT, DEMO_ACCOUNT_KEY } from '../cli/quickstart/Documents.js';
import { applyEdit } from '../common/config/ConfigEditor.js';
import { listBills, type IBillList } from '../common/coordination/BillExport.js';
import { startEngineServer } from '../standins/EngineServer.js';
import {
  startHostListServer,
  type IHostListStandIn,
  type IListedMachine,
} from '../standins/HostListServer.js';
import { startKeyValueServer, type IKeyValueStandIn } from '../standins/KeyValueServer.js';
import { startPlainServer } from '../standins/PlainServer.js';
import { EntryHost } from './EntryHost.js';
import { parseSettings } from './Settings.js';

interface IReply {
  status: number;
  body: string;
}

/**
 * Three entry hosts in different availability zones with a store, a host list, an engine and a plain service.
 */
class TestRegion {
  public readonly hosts = new Map<string, { host: EntryHost; port: number }>();
  public readonly logs: string[] = [];

  private constructor(
    public readonly store: IKeyValueStandIn,
    private readonly _hostList: IHostListStandIn,
    private readonly _standIns: readonly { close: () => Promise<void> }[],
  ) {}

  public static async start(): Promise<TestRegion> {
    const store = await startKeyValueServer();
    const hostList = await startHostListServer();
    const engine = await startEngineServer({ versions: ['large-1'] });
    const ledger = await startPlainServer();
    const common = { zone: 'a', state: 'live' as const };
    hostList.machines.push(
      {
        ...common,
        id: 'engine',
        role: 'engine',
        address: engine.address,
        service: 'deposits',
        versions: ['large-1'],
      },
      { ...common, id: 'ledger', role: 'plain', address: ledger.address, service: 'ledger', versions: [] },
    );
    const edit = { text: DEMO_DOCUMENT, author: 'test', editedAt: '2026-01-01T00:00:00Z', baseNumber: 0 };
    await applyEdit(buildEditorOptions(createHttpStore({ address: store.address })), edit);
    const region = new TestRegion(store, hostList, [store, hostList, engine, ledger]);
    for (const zone of ['a', 'b', 'c']) await region._startHost(`host-${zone}`, zone);
    await region.waitUntil(async () => {
      const states = await Promise.all(
        [...region.hosts.keys()].map((id) => region.send(id, 'GET', '/health')),
      );
      return states.every(({ status }) => status === 200);
    });
    return region;
  }

  public async send(
    id: string,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<IReply> {
    const reply = await sendRequest(`http://127.0.0.1:${this.hosts.get(id)!.port}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${DEMO_ACCOUNT_KEY}`,
        'content-type': 'application/json',
        ...headers,
      },
      body: body === undefined ? null : JSON.stringify(body),
    });
    return { status: reply.statusCode, body: await reply.body.text() };
  }

  public sendRefund(id: string, key: string): Promise<IReply> {
    return this.send(id, 'POST', '/services/ledger/refunds', { amount: 1 }, { 'idempotency-key': key });
  }

  public async sendChat(id: string): Promise<number> {
    const messages = [{ role: 'user', content: 'Read the manifest.' }];
    const body = { model: 'large-1', max_tokens: 4, messages };
    return (await this.send(id, 'POST', '/v1/chat/completions', body)).status;
  }

  /** Stops a host without a drain, as in a crash, and removes it from the host list. */
  public abortHost(id: string): void {
    this.hosts.get(id)!.host.dispose();
    this.hosts.delete(id);
    const index = this._hostList.machines.findIndex((machine) => machine.id === id);
    this._hostList.machines.splice(index, 1);
  }

  public async readBills(): Promise<IBillList> {
    const store = createHttpStore({ address: this.store.address });
    const listed = await listBills({ store, partitions: 8, clock: systemClock, createId: createUniqueId });
    if (listed.isErr) throw new Error(listed.error.message);
    return listed.value;
  }

  public async waitUntil(check: () => Promise<boolean>): Promise<void> {
    const deadline = Date.now() + 20_000;
    while (!(await check())) {
      if (Date.now() > deadline) throw new Error('The condition did not become true within 20 s.');
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }

  public async close(): Promise<void> {
    await Promise.all([...this.hosts.values()].map(({ host }) => host.stop()));
    await Promise.all(this._standIns.map((standIn) => standIn.close()));
  }

  private async _startHost(id: string, zone: string): Promise<void> {
    const settings = parseSettings(
      `[host]\nid = ${id}\nzone = ${zone}\nport = 0\npeer_port = 0\npeer_key = a-shared-key-of-hosts\n
[platform]\nstore = ${this.store.address}\nhost_list = ${this._hostList.address}\nhost_list_interval_ms = 200\n`,
    ).unwrapOrElse((error) => {
      throw new Error(error);
    });
    const log = (level: string, message: string): number => this.logs.push(`${level} ${message}`);
    const host = new EntryHost({ settings, log, writeEvent: () => undefined });
    this.hosts.set(id, { host, port: await host.start() });
    const address = `127.0.0.1:${host.peerPort}`;
    const machine: IListedMachine = {
      id,
      role: 'entry-host',
      address,
      zone,
      service: '',
      versions: [],
      state: 'live',
    };
    this._hostList.machines.push(machine);
  }
}

// Guards against a repeated request that runs again because it reaches another host, and against bills that
// are lost or counted twice when the store is down and the host that served the requests crashes.
test('each request has one bill after a repeat at another host, a store outage and a host crash', async (t) => {
  const region = await TestRegion.start();
  const first = await region.sendRefund('host-a', 'refund-1');
  const repeated = await region.sendRefund('host-b', 'refund-1');
  const before = [
    await region.sendChat('host-a'),
    await region.sendChat('host-b'),
    await region.sendChat('host-c'),
  ];

  region.store.faults.mode = 'down';
  const during = [await region.sendChat('host-a'), await region.sendChat('host-b')];
  const refused = await region.sendRefund('host-c', 'refund-2');
  // Shortages are counted only up to here: with two remaining hosts, no bill can have two copies on peers.
  const shortages = region.logs.filter((line) => line.includes('copies'));
  region.abortHost('host-a');
  region.store.faults.mode = 'up';
  await region.waitUntil(async () => (await region.readBills()).bills.length >= 6);

  const retried = await region.sendRefund('host-c', 'refund-2');
  const { bills, totals } = await region.readBills();
  await region.close();
  t.snapshot({
    isSameAnswer: first.body === repeated.body,
    statuses: { before, during, refunds: [first, repeated, refused, retried].map((reply) => reply.status) },
    refusedRan: (JSON.parse(refused.body) as { ran: string }).ran,
    billedRequests: new Set(bills.map((bill) => bill.bill.request)).size,
    count: totals[0]?.count,
    shortages,
  });
});

import test from 'ava';
import { request as sendRequest } from 'undici';
import { buildEditorOptions } from '../adapters/ConfigStore.js';
import { createHttpStore } from '../adapters/HttpStore.js';
import { DEMO_DOCUMENT, DEMO_ACCOUNT_KEY } from '../cli/quickstart/Documents.js';
import { applyEdit } from '../common/config/ConfigEditor.js';
import { startEngineServer } from '../standins/EngineServer.js';
import { startHostListServer } from '../standins/HostListServer.js';
import { startKeyValueServer } from '../standins/KeyValueServer.js';
import { EntryHost } from './EntryHost.js';
import { parseSettings } from './Settings.js';

// Guards against a request that crashes one engine after another because it is retried, and against blocking
// other requests that ran on the same engines at the time of a crash.
test('a request that crashes engines is blocked on both hosts, and ten concurrent requests are answered', async (t) => {
  const store = await startKeyValueServer();
  const hostList = await startHostListServer();
  const engines = [];
  for (const id of ['e-1', 'e-2', 'e-3']) {
    const engine = await startEngineServer({ versions: ['large-1'], stepMs: 20 });
    engine.faults.crashText = 'poison';
    engines.push(engine);
    const listing = { id, address: engine.address, zone: 'a', state: 'live' as const };
    hostList.machines.push({ ...listing, role: 'engine', service: 'deposits', versions: ['large-1'] });
  }
  const edit = { text: DEMO_DOCUMENT, author: 'test', editedAt: '2026-01-01T00:00:00Z', baseNumber: 0 };
  await applyEdit(buildEditorOptions(createHttpStore({ address: store.address })), edit);
  const hosts: { host: EntryHost; port: number }[] = [];
  for (const id of ['host-a', 'host-b']) {
    const settings = parseSettings(
      `[host]\nid = ${id}\nzone = a\nport = 0\npeer_port = 0\npeer_key = a-shared-key-of-hosts\n
[platform]\nstore = ${store.address}\nhost_list = ${hostList.address}\nhost_list_interval_ms = 200\n`,
    ).unwrapOrElse((error) => {
      throw new Error(error);
    });
    const host = new EntryHost({ settings, log: () => undefined, writeEvent: () => undefined });
    hosts.push({ host, port: await host.start() });
    const listing = { id, address: `127.0.0.1:${host.peerPort}`, zone: 'a', state: 'live' as const };
    hostList.machines.push({ ...listing, role: 'entry-host', service: '', versions: [] });
  }
  const sendChat = async (index: number, content: string): Promise<{ status: number; body: string }> => {
    const reply = await sendRequest(`http://127.0.0.1:${hosts[index]!.port}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${DEMO_ACCOUNT_KEY}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'large-1', max_tokens: 30, messages: [{ role: 'user', content }] }),
    });
    return { status: reply.statusCode, body: await reply.body.text() };
  };
  const deadline = Date.now() + 20_000;
  while ((await sendChat(0, 'warm-up')).status !== 200 || (await sendChat(1, 'warm-up')).status !== 200) {
    if (Date.now() > deadline) throw new Error('The hosts did not become ready within 20 s.');
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  // Both hosts need time to read the host list that contains the other one.
  await new Promise((resolve) => setTimeout(resolve, 1000));

  const concurrentRequests = Array.from({ length: 10 }, (_, index) =>
    sendChat(index % 2, `manifest ${index}`),
  );
  await new Promise((resolve) => setTimeout(resolve, 200));
  const poisonReplies = [
    await sendChat(0, 'poison'),
    await sendChat(1, 'poison'),
    await sendChat(0, 'poison'),
  ];
  const answered = await Promise.all(concurrentRequests);
  const repeated = [await sendChat(1, 'manifest 0'), await sendChat(0, 'manifest 1')];
  const crashes = engines.reduce((sum, engine) => sum + engine.records.crashes, 0);
  await Promise.all(hosts.map(({ host }) => host.stop()));
  await Promise.all([store, hostList, ...engines].map((standIn) => standIn.close()));
  t.snapshot({
    crashes,
    poison: poisonReplies.map(({ body, status }) => {
      const { error, ran } = JSON.parse(body) as { error: { code: string }; ran: string };
      return { status, code: error.code, ran };
    }),
    answered: answered.map(({ status }) => status),
    repeated: repeated.map(({ status }) => status),
  });
});

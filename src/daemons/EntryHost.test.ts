import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { request as sendRequest } from 'undici';
import { buildEditorOptions } from '../adapters/ConfigStore.js';
import { createHttpStore } from '../adapters/HttpStore.js';
import { DEMO_DOCUMENT, DEMO_ACCOUNT_KEY } from '../cli/quickstart/Documents.js';
import { applyEdit } from '../common/config/ConfigEditor.js';
import { startEngineServer, type IEngineStandIn } from '../standins/EngineServer.js';
import { startHostListServer, type IHostListStandIn } from '../standins/HostListServer.js';
import { findFreePort, waitFor } from '../standins/HttpTools.js';
import { startKeyValueServer, type IKeyValueStandIn } from '../standins/KeyValueServer.js';

const CLI_PATH = new URL('../cli/Main.js', import.meta.url).pathname;
const DRAIN_GRACE_MS = 1000;
/**
 * Time for which the test sends requests after SIGTERM, like a load balancer that has not noticed the stop.
 */
const BALANCER_DELAY_MS = 700;
const LONG_ANSWER_TOKENS = 400;

interface IHostProcess {
  process: ChildProcess;
  address: string;
  exit: Promise<number | null>;
}

async function startHostProcess(settingsFile: string): Promise<IHostProcess> {
  const child = spawn(process.execPath, [CLI_PATH, 'host', '--settings', settingsFile], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exit = new Promise<number | null>((resolve) => child.once('exit', resolve));
  const port = await new Promise<number>((resolve, reject) => {
    let output = '';
    child.stdout.on('data', (data: Buffer) => {
      output += data.toString();
      const match = /"event":"listening","port":(\d+)/.exec(output);
      if (match) resolve(Number(match[1]));
    });
    void exit.then(() => {
      reject(new Error('The host process exited before it listened.'));
    });
  });
  return { process: child, address: `http://127.0.0.1:${port}`, exit };
}

async function isReady(address: string): Promise<boolean> {
  try {
    const health = await sendRequest(`${address}/health`);
    await health.body.dump();
    return health.statusCode === 200;
  } catch {
    return false;
  }
}

async function sendChat(address: string, tokens: number): Promise<string> {
  const reply = await sendRequest(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${DEMO_ACCOUNT_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'small-1',
      max_tokens: tokens,
      stream: true,
      messages: [{ role: 'user', content: 'Read the manifest of depot north.' }],
    }),
  });
  const text = await reply.body.text();
  const hasLastToken = text.includes(`small-1-${tokens - 1}"`);
  return reply.statusCode === 200 && hasLastToken && text.endsWith('data: [DONE]\n\n')
    ? 'complete'
    : `${reply.statusCode} ${text.slice(-200)}`;
}

interface IPlatform {
  store: IKeyValueStandIn;
  hostList: IHostListStandIn;
  engine: IEngineStandIn;
  folder: string;
  close: () => Promise<void>;
}

async function startPlatform(): Promise<IPlatform> {
  const store = await startKeyValueServer();
  const hostList = await startHostListServer();
  const engine = await startEngineServer({ versions: ['small-1'], batchSize: 64 });
  hostList.machines.push({
    id: 'engine-1',
    role: 'engine',
    address: engine.address,
    zone: 'zone-a',
    service: 'deposits',
    versions: ['small-1'],
    state: 'live',
  });
  const edit = { text: DEMO_DOCUMENT, author: 'test', editedAt: '2026-12-04T00:00:00Z', baseNumber: 0 };
  await applyEdit(buildEditorOptions(createHttpStore({ address: store.address })), edit);
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-'));
  return {
    store,
    hostList,
    engine,
    folder,
    close: async () => {
      rmSync(folder, { recursive: true });
      await Promise.all([store.close(), hostList.close(), engine.close()]);
    },
  };
}

function writeSettings(platform: IPlatform, id: string, store: string, peerPort: number): string {
  const file = join(platform.folder, `${id}.ini`);
  writeFileSync(
    file,
    `[host]\nid = ${id}\nzone = zone-a\nport = 0\npeer_port = ${peerPort}\npeer_key = a-shared-key-of-hosts\n
[limits]\ndrain_grace_ms = ${DRAIN_GRACE_MS}\n
[logs]\nlevel = error\n
[platform]\nstore = ${store}\nhost_list = ${platform.hostList.address}\n`,
  );
  return file;
}

async function waitUntilReady(address: string): Promise<void> {
  while (!(await isReady(address))) await waitFor(50);
}

// Guards against a shutdown that refuses or interrupts requests that the load balancer still sends.
test('a host that receives SIGTERM under load completes every request before it exits', async (t) => {
  const platform = await startPlatform();
  const host = await startHostProcess(writeSettings(platform, 'host-1', platform.store.address, 0));
  await waitUntilReady(host.address);

  const longRequest = sendChat(host.address, LONG_ANSWER_TOKENS);
  const shortRequests: Promise<string>[] = [];
  await waitFor(300);
  host.process.kill('SIGTERM');
  const signalledAt = performance.now();
  while (performance.now() - signalledAt < BALANCER_DELAY_MS) {
    shortRequests.push(sendChat(host.address, 5));
    await waitFor(20);
  }
  const isReadyInGrace = await isReady(host.address);
  const outcomes = await Promise.all([longRequest, ...shortRequests]);
  const exitCode = await host.exit;
  t.true(shortRequests.length > 10);
  t.snapshot({
    isReadyInGrace,
    exitCode,
    outcomes: [...new Set(outcomes)],
    runsFinished: platform.engine.records.finished.length === outcomes.length,
  });
  await platform.close();
});

// Guards against wiring errors that keep hosts from reaching each other over the peer port.
test('a host that cannot reach the store gets its configuration from a peer', async (t) => {
  const platform = await startPlatform();
  const [firstPort, secondPort, deadPort] = [
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
  ];
  for (const [id, port] of [
    ['host-1', firstPort],
    ['host-2', secondPort],
  ] as const) {
    platform.hostList.machines.push({
      id,
      role: 'entry-host',
      address: `127.0.0.1:${port}`,
      zone: 'zone-a',
      service: '',
      versions: [],
      state: 'live',
    });
  }
  const deadStore = `http://127.0.0.1:${deadPort}`;
  const secondHost = await startHostProcess(writeSettings(platform, 'host-2', deadStore, secondPort));
  const wasReadyAlone = await isReady(secondHost.address);
  const firstHost = await startHostProcess(
    writeSettings(platform, 'host-1', platform.store.address, firstPort),
  );
  await waitUntilReady(firstHost.address);
  await waitUntilReady(secondHost.address);
  t.snapshot({ wasReadyAlone, answer: await sendChat(secondHost.address, 5) });
  firstHost.process.kill('SIGTERM');
  secondHost.process.kill('SIGTERM');
  t.deepEqual(await Promise.all([firstHost.exit, secondHost.exit]), [0, 0]);
  await platform.close();
});

// Guards against a process that neither serves nor ends, so that nothing restarts it.
test('a host whose peer port is taken exits with an error', async (t) => {
  const platform = await startPlatform();
  const takenPort = Number(new URL(platform.store.address).port);
  const settings = writeSettings(platform, 'host-1', platform.store.address, takenPort);
  const child = spawn(process.execPath, [CLI_PATH, 'host', '--settings', settings], { stdio: 'ignore' });
  const exitCode = await new Promise<number | null>((resolve) => child.once('exit', resolve));
  t.is(exitCode, 1);
  await platform.close();
});

import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { findFreePort } from '../standins/HttpTools.js';
import { startRevisionStoreServer } from '../standins/platform/RevisionStoreServer.js';
import { TEST_CONFIGURATION } from '../standins/platform/RouterRig.js';
import { formatTestSettings } from '../standins/platform/RouterSettings.js';

const SCRIPT = fileURLToPath(new URL('../../router/RouterMain.cjs', import.meta.url));

function formatSettings(ports: readonly number[], store: string, retryShare: number): string {
  const [front = 0, ready = 0, metrics = 0] = ports;
  const place = { id: 'host-1', ip: '127.0.0.1', ports: { front, ready, metrics } };
  return formatTestSettings({ ...place, store: store.replace('http://', ''), retryShare, stopMs: 2000 });
}

async function waitUntil(isMet: () => boolean | Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 1000; tries += 1) {
    if (await isMet()) return;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  throw new Error('A condition did not hold in time.');
}

// Guards against a bundle that lacks a part of the HTTP client, and so never reaches the store.
// Guards against a process that is ended by a signal for changed settings, sent as soon as it listens, and
// against settings that are told as changed and have no effect. Guards against a drain that a second request
// to stop cuts off.
test('changed settings take effect in a process that has just begun to listen', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-'));
  const settings = join(folder, 'router.ini');
  const store = await startRevisionStoreServer();
  store.put('op/config', TEST_CONFIGURATION);
  const ports = [await findFreePort(), await findFreePort(), await findFreePort()];
  writeFileSync(settings, formatSettings(ports, store.address, 0.9));
  const child = spawn(process.execPath, [SCRIPT, settings], { stdio: ['ignore', 'pipe', 'inherit'] });
  t.teardown(() => child.kill('SIGKILL'));
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  await waitUntil(async () => {
    const reply = await fetch(`http://127.0.0.1:${ports[1] ?? 0}/-/ready`).catch(() => undefined);
    return reply !== undefined;
  });
  await waitUntil(() => output.includes('"store.'));
  t.true(output.includes('"store.connected"'), output);
  writeFileSync(settings, formatSettings(ports, store.address, 0.5));
  child.kill('SIGHUP');
  await waitUntil(() => child.signalCode !== null || output.includes('settings.reloaded'));
  writeFileSync(settings, formatSettings([1, 2, 3], store.address, 0.4));
  child.kill('SIGHUP');
  const listReloads = (): unknown[] =>
    output
      .split('\n')
      .filter((line) => line.includes('settings.reloaded'))
      .map((line) => (JSON.parse(line) as { fields: unknown }).fields);
  await waitUntil(() => child.signalCode !== null || listReloads().length === 2);
  writeFileSync(settings, 'no settings');
  child.kill('SIGHUP');
  await waitUntil(() => child.signalCode !== null || listReloads().length === 3);
  t.is(child.signalCode, null);
  t.snapshot(listReloads());
  child.kill('SIGTERM');
  await new Promise((resolve) => setTimeout(resolve, 100));
  child.kill('SIGTERM');
  await waitUntil(() => child.exitCode !== null || child.signalCode !== null);
  t.deepEqual([child.exitCode, child.signalCode], [0, null]);
  await store.close();
  rmSync(folder, { recursive: true });
});

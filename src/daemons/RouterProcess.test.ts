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
  const address = { id: 'host-1', ip: '127.0.0.1', ports: { front, ready, metrics } };
  return formatTestSettings({ ...address, store: store.replace('http://', ''), retryShare, stopMs: 2000 });
}

async function waitUntil(isMet: () => boolean | Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 1000; tries += 1) {
    if (await isMet()) return;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  throw new Error('The condition did not become true in time.');
}

// Guards against these failures of the bundled router process:
// - The bundle lacks a part of the HTTP client, so the process never reaches the store.
// - A SIGHUP that arrives as soon as the process listens terminates it.
// - Changed settings are reported as in force but have no effect.
// - A second SIGTERM terminates the process during its drain.
test('changed settings take effect in a process that has just begun to listen', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-'));
  const settingsFile = join(folder, 'router.ini');
  const store = await startRevisionStoreServer();
  store.put('op/config', TEST_CONFIGURATION);
  const ports = [await findFreePort(), await findFreePort(), await findFreePort()];
  writeFileSync(settingsFile, formatSettings(ports, store.address, 0.9));
  const child = spawn(process.execPath, [SCRIPT, settingsFile], { stdio: ['ignore', 'pipe', 'inherit'] });
  t.teardown(() => child.kill('SIGKILL'));
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  await waitUntil(async () => {
    const reply = await fetch(`http://127.0.0.1:${ports[1] ?? 0}/-/ready`).catch(() => undefined);
    return reply !== undefined;
  });
  await waitUntil(() => output.includes('"store.'));
  t.true(output.includes('"store.connected"'), output);
  writeFileSync(settingsFile, formatSettings(ports, store.address, 0.5));
  child.kill('SIGHUP');
  await waitUntil(() => child.signalCode !== null || output.includes('settings.reloaded'));
  writeFileSync(settingsFile, formatSettings([1, 2, 3], store.address, 0.4));
  child.kill('SIGHUP');
  const listReloads = (): unknown[] =>
    output
      .split('\n')
      .filter((line) => line.includes('settings.reloaded'))
      .map((line) => (JSON.parse(line) as { fields: unknown }).fields);
  await waitUntil(() => child.signalCode !== null || listReloads().length === 2);
  writeFileSync(settingsFile, 'no settings');
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

import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { EntryHost } from '../../daemons/EntryHost.js';
import { parseSettings } from '../../daemons/Settings.js';
import { runCommand } from '../../testing/CommandRig.js';
import { startDemoPlatform } from '../quickstart/Platform.js';

// The status shows the fleet's state, so a caller without the hosts' key must not read it.
test('the status is read with the key of the hosts and refused without it', async (t) => {
  const platform = await startDemoPlatform();
  const text = `[host]\nid = host-1\nzone = zone-a\nport = 0\npeer_port = 0\npeer_key = status-peer-key-1\n
[limits]\ndrain_grace_ms = 0\n
[platform]\nstore = ${platform.store}\nhost_list = ${platform.hostList}\n`;
  const files = ['good.ini', 'bad.ini'].map((name) =>
    join(mkdtempSync(join(tmpdir(), 'mulberryweir-')), name),
  );
  writeFileSync(files[0]!, text);
  writeFileSync(files[1]!, text.replace('status-peer-key-1', 'another-peer-key-2'));
  const settings = parseSettings(text).unwrapOr(undefined)!;
  const host = new EntryHost({ settings, log: () => undefined, writeEvent: () => undefined });
  await host.start();
  const address = `127.0.0.1:${host.peerPort}`;
  const [good, bad] = [
    await runCommand(['status', '--host', address, '--settings', files[0]!, '--json']),
    await runCommand(['status', '--host', address, '--settings', files[1]!]),
  ];
  const tables = await runCommand(['status', '--host', address, '--settings', files[0]!]);
  await host.stop();
  await platform.close();
  const report = JSON.parse(good.out) as Record<string, Record<string, unknown>[]>;
  t.snapshot({
    codes: [good.exitCode, bad.exitCode, tables.exitCode],
    endpoints: report.endpoints!.map(({ endpoint, health, versions }) => [endpoint, health, versions]),
    refused: bad.errors.replace(address, 'HOST'),
    sections: tables.out.match(/^== .+$/gm),
  });
});

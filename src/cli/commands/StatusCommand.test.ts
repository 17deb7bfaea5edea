import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { EntryHost } from '../../daemons/EntryHost.js';
import { parseSettings } from '../../daemons/Settings.js';
import { runCommand } from '../../testing/CommandRig.js';
import { startDemoPlatform } from '../quickstart/Platform.js';

// The status shows the state of the fleet, so a host must not send it to a caller without the peer key.
test('a host sends its status to a caller with its peer key and refuses one with another key', async (t) => {
  const platform = await startDemoPlatform();
  const text = `[host]\nid = host-1\nzone = zone-a\nport = 0\npeer_port = 0\npeer_key = status-peer-key-1\n
[limits]\ndrain_grace_ms = 0\n
[platform]\nstore = ${platform.storeAddress}\nhost_list = ${platform.hostListAddress}\n`;
  const files = ['good.ini', 'bad.ini'].map((name) =>
    join(mkdtempSync(join(tmpdir(), 'mulberryweir-')), name),
  );
  writeFileSync(files[0]!, text);
  writeFileSync(files[1]!, text.replace('status-peer-key-1', 'another-peer-key-2'));
  const settings = parseSettings(text).unwrapOr(undefined)!;
  const host = new EntryHost({ settings, log: () => undefined, writeEvent: () => undefined });
  await host.start();
  const address = `127.0.0.1:${host.peerPort}`;
  const [withPeerKey, withOtherKey] = [
    await runCommand(['status', '--host', address, '--settings', files[0]!, '--json']),
    await runCommand(['status', '--host', address, '--settings', files[1]!]),
  ];
  const asTables = await runCommand(['status', '--host', address, '--settings', files[0]!]);
  await host.stop();
  await platform.close();
  const report = JSON.parse(withPeerKey.out) as Record<string, Record<string, unknown>[]>;
  t.snapshot({
    codes: [withPeerKey.exitCode, withOtherKey.exitCode, asTables.exitCode],
    endpoints: report.endpoints!.map(({ endpoint, health, versions }) => [endpoint, health, versions]),
    refused: withOtherKey.errors.replace(address, 'HOST'),
    sections: asTables.out.match(/^== .+$/gm),
  });
});

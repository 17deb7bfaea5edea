import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { startKeyValueServer } from '../../standins/KeyValueServer.js';
import { runCommand } from '../../testing/CommandRig.js';
import { DEMO_DOCUMENT } from '../quickstart/Documents.js';

// A script takes an edit for accepted when a conflict or a wrong document ends with code 0.
test('documents are checked, applied, compared and listed, and each outcome has its exit code', async (t) => {
  const store = await startKeyValueServer();
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-'));
  const files = { first: join(folder, 'a.ini'), second: join(folder, 'b.ini'), wrong: join(folder, 'w.ini') };
  writeFileSync(files.first, DEMO_DOCUMENT);
  writeFileSync(files.second, DEMO_DOCUMENT.replace('quality_target = 0.9', 'quality_target = 0.85'));
  writeFileSync(
    files.wrong,
    DEMO_DOCUMENT.replace('quality_target = 0.9', 'quality_target = 9\ncolour = red'),
  );
  const at = ['--store', store.address];
  const applyArgs = ['--author', 'morag', ...at];
  const commands = [
    ['config', 'check', files.first],
    ['config', 'check', files.wrong],
    ['config', 'check', files.wrong, '--json'],
    ['config', 'show', 'deposits', ...at],
    ['config', 'apply', files.wrong, ...applyArgs],
    ['config', 'apply', files.first, ...applyArgs],
    ['config', 'diff', 'deposits', files.second, ...at],
    ['config', 'apply', files.second, '--base', '1', ...applyArgs],
    ['config', 'apply', files.first, '--base', '1', ...applyArgs],
    ['config', 'show', 'deposits', '--number', '9', ...at],
    ['config', 'show', 'deposits', '--number', '1', '--json', ...at],
    ['config', 'history', 'deposits', ...at],
    ['config', 'history', 'deposits', '--json', ...at],
  ];
  const runs = [];
  for (const args of commands) {
    runs.push(await runCommand(args, { [store.address]: 'STORE', [folder]: 'FOLDER' }));
  }
  await store.close();
  runs.push(await runCommand(['config', 'apply', files.first, ...applyArgs], { [store.address]: 'STORE' }));
  t.deepEqual(
    runs.map((run) => run.exitCode),
    [0, 2, 2, 2, 2, 0, 0, 0, 3, 2, 0, 0, 0, 4],
  );
  t.snapshot(runs.map((run) => ({ ...run, command: run.command.replace(folder, 'FOLDER') })));
});

// yargs ends with code 1 by itself, which scripts cannot tell from a failure.
test('wrong arguments end with exit code 2 and say what is allowed', async (t) => {
  const lines = [
    'nope',
    'config',
    'config apply x.ini',
    'bills totals --store localhost',
    'bills totals --store http://127.0.0.1:1 --partitions 0',
    'bills export --store http://127.0.0.1:1 --from a',
    'load --address http://127.0.0.1:1 --step fast',
  ];
  const runs = await Promise.all(lines.map((line) => runCommand(line.split(' '))));
  t.snapshot(runs);
});

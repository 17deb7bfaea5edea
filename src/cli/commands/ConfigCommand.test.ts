import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { startKeyValueServer } from '../../standins/KeyValueServer.js';
import { runCommand } from '../../testing/CommandRig.js';
import { DEMO_DOCUMENT } from '../quickstart/Documents.js';

// If `config apply` exited with code 0 after a conflict or for an invalid document, a script would go on as
// if the edit had been accepted.
test('config commands check, apply, compare and list documents, with an exit code by outcome', async (t) => {
  const store = await startKeyValueServer();
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-'));
  const files = {
    first: join(folder, 'a.ini'),
    second: join(folder, 'b.ini'),
    invalid: join(folder, 'w.ini'),
  };
  writeFileSync(files.first, DEMO_DOCUMENT);
  writeFileSync(files.second, DEMO_DOCUMENT.replace('quality_target = 0.9', 'quality_target = 0.85'));
  writeFileSync(
    files.invalid,
    DEMO_DOCUMENT.replace('quality_target = 0.9', 'quality_target = 9\ncolour = red'),
  );
  const storeArgs = ['--store', store.address];
  const applyArgs = ['--author', 'morag', ...storeArgs];
  const commands = [
    ['config', 'check', files.first],
    ['config', 'check', files.invalid],
    ['config', 'check', files.invalid, '--json'],
    ['config', 'show', 'deposits', ...storeArgs],
    ['config', 'apply', files.invalid, ...applyArgs],
    ['config', 'apply', files.first, ...applyArgs],
    ['config', 'diff', 'deposits', files.second, ...storeArgs],
    ['config', 'apply', files.second, '--base', '1', ...applyArgs],
    ['config', 'apply', files.first, '--base', '1', ...applyArgs],
    ['config', 'show', 'deposits', '--number', '9', ...storeArgs],
    ['config', 'show', 'deposits', '--number', '1', '--json', ...storeArgs],
    ['config', 'history', 'deposits', ...storeArgs],
    ['config', 'history', 'deposits', '--json', ...storeArgs],
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

// By default yargs exits with code 1, which scripts could not tell from a command that failed.
test('wrong arguments set exit code 2 and print what is expected', async (t) => {
  const commandLines = [
    'nope',
    'config',
    'config apply x.ini',
    'bills totals --store localhost',
    'bills totals --store http://127.0.0.1:1 --partitions 0',
    'bills export --store http://127.0.0.1:1 --from a',
    'load --address http://127.0.0.1:1 --step fast',
  ];
  const runs = await Promise.all(commandLines.map((line) => runCommand(line.split(' '))));
  t.snapshot(runs);
});

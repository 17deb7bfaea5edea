import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const FOLDER = join(ROOT, 'dist/router');

const READ_CACHE = `
const { runBundle } = require(process.argv[1] + '/RouterMain.cjs');
const script = runBundle(process.argv[1]);
process.stdout.write(String(script.cachedDataRejected));
process.exit(0);
`;

// Guards against a restarted router that compiles its program again, since its flags differ from those of the build.
test('the deployed flags accept the code cache of the bundle', (t) => {
  const [, flags = ''] = /run = "node (.*?) target\/RouterMain.cjs"/.exec(
    readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'),
  )!;
  const args = [...flags.split(' '), '-e', READ_CACHE, FOLDER];
  const stdio: ['ignore', 'pipe', 'ignore'] = ['ignore', 'pipe', 'ignore'];
  t.is(execFileSync(process.execPath, args, { stdio }).toString(), 'false');
});

// Guards against a library whose unused parts come into the bundle: each start reads and parses all of it.
test('the bundle holds no locales of the validator and no fetch of the HTTP client', (t) => {
  const bundle = readFileSync(join(FOLDER, 'Router.cjs'), 'latin1');
  t.false(bundle.includes('Ung\\xFCltig'), 'a locale');
  t.false(bundle.includes('fetchFinale'), 'fetch');
});

import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';

const PROJECT_ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const BUNDLE_FOLDER = join(PROJECT_ROOT, 'dist/router');

const CACHE_CHECK_SCRIPT = `
const { runBundle } = require(process.argv[1] + '/RouterMain.cjs');
const script = runBundle(process.argv[1]);
process.stdout.write(String(script.cachedDataRejected));
process.exit(0);
`;

// Guards against a slow restart: V8 rejects the code cache and compiles the bundle again if the flags of the
// process differ from those of the build.
test('V8 accepts the code cache of the bundle with the flags of the deployment', (t) => {
  const [, flags = ''] = /run = "node (.*?) target\/RouterMain.cjs"/.exec(
    readFileSync(join(PROJECT_ROOT, 'deploy/system.toml'), 'utf8'),
  )!;
  const args = [...flags.split(' '), '-e', CACHE_CHECK_SCRIPT, BUNDLE_FOLDER];
  const stdio: ['ignore', 'pipe', 'ignore'] = ['ignore', 'pipe', 'ignore'];
  t.is(execFileSync(process.execPath, args, { stdio }).toString(), 'false');
});

// Guards against unused parts of libraries in the bundle, which would be read and parsed at each start.
test('the bundle contains neither the locales of the validator nor the fetch function of the HTTP client', (t) => {
  const bundle = readFileSync(join(BUNDLE_FOLDER, 'Router.cjs'), 'latin1');
  t.false(bundle.includes('Ung\\xFCltig'), 'a locale');
  t.false(bundle.includes('fetchFinale'), 'fetch');
});

import { spawn } from 'node:child_process';
import { copyFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

/**
 * Bundles the router program into the folder given as argument and writes a V8 code cache for the bundle.
 * Without them, loading and compiling some hundred modules takes most of the processor time of a start. The
 * bundle is a single file, and V8 takes its compiled functions from the code cache.
 */
const [outputFolder = 'dist/router'] = process.argv.slice(2);

/**
 * Replaces the index module of undici and exports only what the router uses. The original index also loads
 * fetch, mocks and caches. Like the original, this module adds the API methods, such as `request`, to the
 * prototype of all dispatchers.
 */
const UNDICI_SUBSET = `
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
Object.assign(Dispatcher.prototype, api);
export { default as Agent } from 'undici/lib/dispatcher/agent.js';
export { default as buildConnector } from 'undici/lib/core/connect.js';
export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as Pool } from 'undici/lib/dispatcher/pool.js';
`;

const undiciSubsetPlugin = {
  name: 'undici-client',
  setup({ onLoad, onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'client-parts' }));
    onLoad({ filter: /.*/, namespace: 'client-parts' }, () => ({
      contents: UNDICI_SUBSET,
      resolveDir: process.cwd(),
    }));
  },
};

/**
 * Replaces `node:assert`. To describe a failed assertion without a message, Node.js reads the source file and parses the
 * line of the assertion while everything else waits. Lines of the bundle are so long that this takes seconds, and the
 * bytes of an endpoint can make assertions of undici fail.
 */
const ASSERTIONS = `
const assert = require('node:assert');
const check = (value, message = 'An assertion failed.') => {
  if (!value) assert.ok(value, message);
};
module.exports = Object.assign(check, assert, { ok: check });
`;

const assertionsPlugin = {
  name: 'assertions',
  setup({ onLoad, onResolve }) {
    onResolve({ filter: /^(node:)?assert$/ }, ({ namespace }) =>
      namespace === 'assertions'
        ? { path: 'node:assert', external: true }
        : { path: 'assert', namespace: 'assertions' },
    );
    onLoad({ filter: /.*/, namespace: 'assertions' }, () => ({ contents: ASSERTIONS }));
  },
};

/**
 * Settings for the router run that fills the code cache. The router starts, listens and stops; no store
 * listens at the address given here.
 */
const WARM_UP_SETTINGS = `
[host]
id = warm-up
zone = a
ip = 127.0.0.1
front = 127.0.0.1:0
ready = 127.0.0.1:0
metrics_port = 0
[store]
address = 127.0.0.1:1
[limits]
retry_share = 0.9
stop_ms = 1000
session_ms = 5000
exposure_share = 0.15
contact_ms = 3000
apply_ms = 2000
`;

/** Must equal the flags in deploy/system.toml: V8 rejects a code cache that was written under other flags. */
const V8_FLAGS = ['--max-old-space-size=158'];

await build({
  entryPoints: ['src/daemons/RouterMain.ts'],
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  outfile: join(outputFolder, 'Router.cjs'),
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  sourcemap: 'linked',
  plugins: [undiciSubsetPlugin, assertionsPlugin],
  logLevel: 'warning',
});
rmSync(join(outputFolder, 'Router.cache'), { force: true });
copyFileSync(findTool('launchRouter.cjs'), join(outputFolder, 'RouterMain.cjs'));
await writeCodeCache();

async function writeCodeCache() {
  const settingsFile = join(outputFolder, 'warm-up.ini');
  writeFileSync(settingsFile, WARM_UP_SETTINGS);
  const args = [...V8_FLAGS, findTool('writeCodeCache.cjs'), settingsFile, outputFolder];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  child.stdout.on('data', (output) => {
    if (output.includes('"process.started"')) child.kill('SIGTERM');
  });
  const code = await new Promise((resolve) => child.once('exit', resolve));
  rmSync(settingsFile);
  if (code !== 0) throw new Error(`The router run that fills the code cache exited with code ${code}.`);
}

function findTool(name) {
  return fileURLToPath(new URL(name, import.meta.url));
}

import { spawn } from 'node:child_process';
import { copyFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

/**
 * Bundles the router's program into a folder, with a code cache. Loading some hundred modules and compiling them
 * takes most of the processor time of a start; the bundle is read at once and its functions are not compiled again.
 */
const [folder = 'dist/router'] = process.argv.slice(2);

/**
 * Parts of undici that the router uses. Its index also loads fetch, mocks and caches; it gives dispatchers their
 * methods, which is done here instead.
 */
const CLIENT_PARTS = `
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
Object.assign(Dispatcher.prototype, api);
export { default as Agent } from 'undici/lib/dispatcher/agent.js';
export { default as buildConnector } from 'undici/lib/core/connect.js';
`;

const useClientParts = {
  name: 'undici-client',
  setup({ onLoad, onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'client-parts' }));
    onLoad({ filter: /.*/, namespace: 'client-parts' }, () => ({
      contents: CLIENT_PARTS,
      resolveDir: process.cwd(),
    }));
  },
};

/** Settings of a router that finds no store: it starts, listens and stops. */
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

/** V8 ignores a code cache that was made with other flags: these are the ones of deploy/system.toml. */
const FLAGS = ['--max-old-space-size=158'];

await build({
  entryPoints: ['src/daemons/RouterMain.ts'],
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  outfile: join(folder, 'Router.cjs'),
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  sourcemap: 'linked',
  plugins: [useClientParts],
  logLevel: 'warning',
});
rmSync(join(folder, 'Router.cache'), { force: true });
copyFileSync(findTool('launchRouter.cjs'), join(folder, 'RouterMain.cjs'));
await writeCodeCache();

async function writeCodeCache() {
  const settings = join(folder, 'warm-up.ini');
  writeFileSync(settings, WARM_UP_SETTINGS);
  const args = [...FLAGS, findTool('writeCodeCache.cjs'), settings, folder];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  child.stdout.on('data', (lines) => {
    if (lines.includes('"process.started"')) child.kill('SIGTERM');
  });
  const code = await new Promise((resolve) => child.once('exit', resolve));
  rmSync(settings);
  if (code !== 0) throw new Error(`The router of the code cache ended with ${code}.`);
}

function findTool(name) {
  return fileURLToPath(new URL(name, import.meta.url));
}

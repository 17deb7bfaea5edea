const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

/** Name of the router bundle in its folder. */
const BUNDLE_FILE = 'Router.cjs';
/** Name of the V8 code cache of the bundle, in the same folder. */
const CODE_CACHE_FILE = 'Router.cache';

/**
 * Runs the router bundle in a folder, with its code cache if there is one. V8 rejects a code cache that was
 * written for other code, by another version of Node.js or under other flags, and compiles the bundle again.
 */
function runBundle(folder) {
  const filename = join(folder, BUNDLE_FILE);
  const cacheFile = join(folder, CODE_CACHE_FILE);
  const source = `(function (require) {${readFileSync(filename, 'latin1')}\n})`;
  const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
  const script = new Script(source, { filename, cachedData });
  script.runInThisContext()(require);
  return script;
}

module.exports = { CODE_CACHE_FILE, runBundle };

if (require.main === module) runBundle(__dirname);

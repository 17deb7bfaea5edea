const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

/** Names of the bundle and of its code cache, beside this file. */
const BUNDLE = 'Router.cjs';
const CODE_CACHE = 'Router.cache';

/** Runs the bundle of a folder. A code cache that was made by other code or another Node.js is ignored. */
function runBundle(folder) {
  const filename = join(folder, BUNDLE);
  const cache = join(folder, CODE_CACHE);
  const source = `(function (require) {${readFileSync(filename, 'latin1')}\n})`;
  const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
  const script = new Script(source, { filename, cachedData });
  script.runInThisContext()(require);
  return script;
}

module.exports = { CODE_CACHE, runBundle };

if (require.main === module) runBundle(__dirname);

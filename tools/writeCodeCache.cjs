const { writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { CODE_CACHE, runBundle } = require('./launchRouter.cjs');

/**
 * Runs a router and writes what was compiled for it when it ends. Arguments: a settings file, and the folder of
 * the bundle. The cache holds the functions of a start and a stop besides what the modules run when they load.
 */
const folder = process.argv[3];
const script = runBundle(folder);
process.on('exit', () => writeFileSync(join(folder, CODE_CACHE), script.createCachedData()));

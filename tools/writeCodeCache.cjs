const { writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { CODE_CACHE_FILE, runBundle } = require('./launchRouter.cjs');

/**
 * Runs the router bundle and writes its V8 code cache when the process exits, so that the cache also contains
 * the functions that are first called while the router starts or stops. Arguments: the settings file, which
 * the router reads, and the folder of the bundle.
 */
const bundleFolder = process.argv[3];
const script = runBundle(bundleFolder);
process.on('exit', () => writeFileSync(join(bundleFolder, CODE_CACHE_FILE), script.createCachedData()));

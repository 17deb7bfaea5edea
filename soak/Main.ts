import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runSoak } from './Soak.js';

const argv = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .usage(
    'npm run soak -- [options]\n\nRuns routers under random faults and checks what callers and runners see.',
  )
  .option('seed', { type: 'number', describe: 'First seed; default: the current time in seconds' })
  .option('seeds', { type: 'number', default: 1, describe: 'Number of soaks to run, with consecutive seeds' })
  .option('seconds', { type: 'number', default: 15, describe: 'Time during which each soak starts faults' })
  .option('routers', { type: 'number', default: 3, describe: 'Number of router processes' })
  .option('callers', { type: 'number', default: 12, describe: 'Number of callers' })
  .option('profile', {
    choices: ['planned', 'links', 'mixed'] as const,
    describe: 'Default: planned for every third seed, mixed for the others',
  })
  .option('folder', {
    type: 'string',
    default: 'reports/soak',
    describe: 'Folder for the settings and logs of the routers',
  })
  .strictOptions()
  .help()
  .parseAsync();

const firstSeed = argv.seed ?? Math.floor(Date.now() / 1000);
let failedSoaks = 0;
for (let seed = firstSeed; seed < firstSeed + argv.seeds; seed += 1) {
  const { callers, folder, profile, routers, seconds } = argv;
  const options = { seed, callers, folder, routers, durationMs: seconds * 1000 };
  const outcome = await runSoak(profile === undefined ? options : { ...options, profile });
  process.stdout.write(`${JSON.stringify(outcome)}\n`);
  if (outcome.findings.length > 0) failedSoaks += 1;
}
process.exit(failedSoaks === 0 ? 0 : 1);

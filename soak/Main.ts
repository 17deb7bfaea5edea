import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runSoak } from './Soak.js';

const argv = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .usage(
    'npm run soak -- [options]\n\nRuns routers under random faults and checks what callers and runners see.',
  )
  .option('seed', { type: 'number', describe: 'First seed; default: drawn from the time' })
  .option('seeds', { type: 'number', default: 1, describe: 'Number of seeds, counted up from the first' })
  .option('seconds', { type: 'number', default: 15, describe: 'Time of each run in which faults begin' })
  .option('routers', { type: 'number', default: 3, describe: 'Number of router processes' })
  .option('callers', { type: 'number', default: 12, describe: 'Number of callers' })
  .option('profile', {
    choices: ['planned', 'mixed'] as const,
    describe: 'Default: planned for every third seed',
  })
  .option('folder', { type: 'string', default: 'reports/soak', describe: 'Folder for settings and logs' })
  .strictOptions()
  .help()
  .parseAsync();

const first = argv.seed ?? Math.floor(Date.now() / 1000);
let failed = 0;
for (let seed = first; seed < first + argv.seeds; seed += 1) {
  const { callers, folder, profile, routers, seconds } = argv;
  const options = { seed, callers, folder, routers, durationMs: seconds * 1000 };
  const outcome = await runSoak(profile === undefined ? options : { ...options, profile });
  process.stdout.write(`${JSON.stringify(outcome)}\n`);
  if (outcome.findings.length > 0) failed += 1;
}
process.exit(failed === 0 ? 0 : 1);

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { ENDPOINT_POLICIES } from '../src/daemons/Policies.js';
import { isTargetMet, writeReport } from './Report.js';
import { runConfiguration } from './scenarios/Configuration.js';
import { runCrest } from './scenarios/Crest.js';
import { runHeadOfLine } from './scenarios/HeadOfLine.js';
import { runOnceAndBilled } from './scenarios/OnceAndBilled.js';
import { runOrdinaryLoad } from './scenarios/OrdinaryLoad.js';
import { runRouterCost } from './scenarios/RouterCost.js';
import { runSlowedEndpoints } from './scenarios/SlowedEndpoints.js';
import type { RunScenario, ScenarioName } from './Types.js';

const SCENARIOS: Readonly<Record<ScenarioName, RunScenario>> = {
  'router-cost': runRouterCost,
  'ordinary-load': runOrdinaryLoad,
  'slowed-endpoints': runSlowedEndpoints,
  crest: runCrest,
  'head-of-line': runHeadOfLine,
  'once-and-billed': runOnceAndBilled,
  configuration: runConfiguration,
};

const argv = await yargs(hideBin(process.argv))
  .scriptName('bench')
  .usage('npm run bench -- SCENARIO [options]\n\nScenarios: ' + Object.keys(SCENARIOS).join(', '))
  .option('policy', {
    choices: ENDPOINT_POLICIES,
    default: 'default' as const,
    describe: 'Endpoint policy under test',
  })
  .option('seed', { type: 'number', default: 1, describe: 'First seed of the load and of the faults' })
  .option('seeds', {
    type: 'number',
    default: 1,
    describe: 'Number of consecutive seeds, starting at --seed',
  })
  .option('scale', {
    type: 'number',
    default: 1,
    describe: 'Factor on all durations; below 1 for a short trial run',
  })
  .option('hosts', { type: 'number', default: 1, describe: 'Number of entry hosts' })
  .option('report', { type: 'string', describe: 'Folder for the report and its plots' })
  .option('profile', { type: 'string', describe: 'Folder for the CPU profiles of the hosts' })
  .demandCommand(1, 1, 'Give the name of a scenario.')
  .strictOptions()
  .help()
  .parseAsync();

const scenario = String(argv._[0]);
if (!isScenario(scenario)) {
  process.stderr.write(`Unknown scenario '${scenario}'. Scenarios: ${Object.keys(SCENARIOS).join(', ')}\n`);
  process.exit(2);
}
const { hosts, policy, profile, report, scale, seed, seeds } = argv;
const result = await SCENARIOS[scenario]({ hosts, policy, profile, scale, seed, seeds });
const measures = result.measures.map((measure) => ({ ...measure, isMet: isTargetMet(measure) }));
const { runs } = result;
process.stdout.write(`${JSON.stringify({ scenario, policy, seed, seeds, scale, hosts, measures, runs })}\n`);
if (report !== undefined) {
  const command = `npm run bench -- ${scenario} --policy ${policy} --seed ${seed} --seeds ${seeds} --scale ${scale} --hosts ${hosts}`;
  await writeReport(report, scenario, command, result);
}
process.exit(0);

function isScenario(name: string): name is ScenarioName {
  return Object.hasOwn(SCENARIOS, name);
}

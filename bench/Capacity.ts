import { writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { measureControllers } from './capacity/Controllers.js';
import { measureJournal, measureRecords } from './capacity/Journal.js';
import { IDLE_LOAD, measureDaemon, type IDaemonLoad } from './capacity/Daemons.js';
import { renderTable } from './capacity/Table.js';
import { measureTunnels } from './capacity/Tunnels.js';
import type { IPoint, ISeries } from './capacity/Types.js';

const argv = await yargs(hideBin(process.argv))
  .scriptName('capacity')
  .usage(
    'npm run capacity -- [options]\n\nMeasures how processor time, memory and store calls grow with the load.',
  )
  .option('series', {
    type: 'string',
    default: '',
    describe: 'Run only the series whose names contain this text',
  })
  .option('json', { type: 'string', describe: 'File for the measured points' })
  .strictOptions()
  .help()
  .parseAsync();

const DAEMON_CPU = 'processor ms/s';

/** Series that measure a host daemon: the values of x, and the load for each value. */
const DAEMON_SERIES: readonly {
  name: string;
  xUnit: string;
  values: readonly number[];
  buildLoad: (x: number) => Partial<IDaemonLoad>;
}[] = [
  {
    name: 'requests, 1 token each',
    xUnit: 'request/s',
    values: [0, 40, 80, 160, 240],
    buildLoad: (x) => ({ requestsPerSecond: x }),
  },
  {
    name: 'tokens, 20 requests/s',
    xUnit: 'token/s',
    values: [200, 1000, 2000, 4000],
    buildLoad: (x) => ({ requestsPerSecond: 20, tokens: x / 20 }),
  },
  {
    name: 'endpoints listed, idle',
    xUnit: 'endpoint',
    values: [10, 150, 300, 600],
    buildLoad: (x) => ({ endpoints: x }),
  },
  {
    name: 'endpoints listed, 50 requests/s',
    xUnit: 'endpoint',
    values: [10, 150, 300, 600],
    buildLoad: (x) => ({ endpoints: x, requestsPerSecond: 50 }),
  },
  {
    name: 'versions, 50 requests/s',
    xUnit: 'version',
    values: [1, 7, 21, 42],
    buildLoad: (x) => ({ versions: x, requestsPerSecond: 50 }),
  },
  {
    name: 'client accounts, 50 requests/s',
    xUnit: 'account',
    values: [10, 100, 300, 600],
    buildLoad: (x) => ({ accounts: x, requestsPerSecond: 50 }),
  },
];

const series: ISeries[] = [];
for (const { buildLoad, name, values, xUnit } of DAEMON_SERIES) {
  const measure = (x: number): Promise<IPoint> => measureDaemon({ ...IDLE_LOAD, ...buildLoad(x) }, x);
  await measureSeries(name, xUnit, DAEMON_CPU, values, measure);
}
await measureSeries(
  'endpoints with the version, version and route controllers alone',
  'endpoint',
  'processor ms/request',
  [12, 150, 600, 1200, 2400],
  measureControllers,
);
await measureSeries(
  'bills of one journal partition, partition log alone',
  'bill/s',
  DAEMON_CPU,
  [35, 70, 140, 280],
  measureJournal,
);
await measureSeries(
  'records of one journal partition, state alone',
  'record',
  DAEMON_CPU,
  [50_000, 100_000, 200_000, 400_000],
  measureRecords,
);
await measureSeries('tunnels of a relay, idle', 'tunnel', DAEMON_CPU, [0, 100, 200, 400], (x) =>
  measureTunnels({ tunnels: x, eventsPerSecond: 0 }, x),
);
await measureSeries(
  'events through 400 tunnels of a relay',
  'event/s',
  DAEMON_CPU,
  [0, 1000, 2000, 4000],
  (x) => measureTunnels({ tunnels: 400, eventsPerSecond: x }, x),
);
process.stdout.write(renderTable(series));
if (argv.json !== undefined) writeFileSync(argv.json, `${JSON.stringify(series, undefined, 2)}\n`);
process.exit(0);

async function measureSeries(
  name: string,
  xUnit: string,
  cpuUnit: string,
  values: readonly number[],
  measure: (x: number) => IPoint | Promise<IPoint>,
): Promise<void> {
  if (!name.includes(argv.series)) return;
  const points: IPoint[] = [];
  for (const x of values) points.push(await measure(x));
  series.push({ name, xUnit, cpuUnit, points });
}

// Runs a case: starts the deployment, lets the case play, writes its record and sets the exit code.
import { writeFileSync } from 'node:fs';
import { startMachines } from './router.mjs';
import { startStore } from './store.mjs';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/** Time after which a case is given up. */
const MAX_CASE_MS = 110_000;

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Whether the case is played with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Lines of what was sent, answered and run, each with the time since the start of the case. */
class Record {
  lines = [];
  _startedAt = performance.now();

  get now() {
    return performance.now() - this._startedAt;
  }

  add(kind, text) {
    this.lines.push(`${(this.now / 1000).toFixed(3).padStart(8)}  ${kind.padEnd(9)} ${text}`);
  }
}

/**
 * Runs a case. `prepare` writes the configuration and starts the runners; `play` sends the requests and returns how the
 * rule was broken, one line each; none if it held.
 */
export async function runCase({ file, machineCount, play, prepare }) {
  const record = new Record();
  const runners = [];
  let fleet;
  let store;
  let exitCode = EXIT_NOT_RUN;
  const finish = async () => {
    await fleet?.close();
    for (const runner of runners) runner.close();
    store?.close();
    writeFileSync(file, `${record.lines.join('\n')}\n`);
    process.exit(exitCode);
  };
  const timer = setTimeout(() => {
    record.add('result', 'The case took too long.');
    exitCode = EXIT_NOT_RUN;
    void finish();
  }, MAX_CASE_MS);
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => void finish());
  try {
    store = await startStore();
    record.add('case', HAS_TROUBLE ? 'with the disruption' : 'without the disruption');
    await prepare({ record, runners, store });
    fleet = await startMachines(machineCount, store);
    const broken = await play({ machines: fleet.machines, record, store });
    const exits = fleet.machines.flatMap(({ exits: ends, node }) => ends.map((end) => ({ node, ...end })));
    for (const { code, node, signal } of exits) record.add('exit', `${node} code ${code} signal ${signal}`);
    for (const line of broken) record.add('broken', line);
    record.add(
      'result',
      broken.length > 0 ? `The rule was broken ${broken.length} times.` : 'The rule held.',
    );
    exitCode = broken.length > 0 ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    record.add('result', `The case could not run: ${error instanceof Error ? error.stack : error}`);
  }
  clearTimeout(timer);
  process.stdout.write(`${record.lines.at(-1)}\n`);
  await finish();
}

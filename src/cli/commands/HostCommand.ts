import { appendFileSync, readFileSync } from 'node:fs';
import type { CommandModule } from 'yargs';
import { createLog } from '../../adapters/Logs.js';
import { EntryHost } from '../../daemons/EntryHost.js';
import { parseSettings, type HostSettings } from '../../daemons/Settings.js';
import { waitForStopSignal } from '../../daemons/Signals.js';
import { EXIT_CODES } from '../CommandResult.js';

interface IHostArguments {
  settings: string;
}

/** `mulberryweir host`: runs an entry host until SIGTERM or SIGINT. */
export const hostCommand: CommandModule<object, IHostArguments> = {
  command: 'host',
  describe: 'Run an entry host',
  builder: (parser) =>
    parser
      .option('settings', { type: 'string', demandOption: true, describe: 'INI file with the settings' })
      .example('$0 host --settings host.ini', 'Run a host with the settings of host.ini'),
  handler: async ({ settings }) => {
    const parsed = readSettings(settings);
    if (parsed) await runHost(parsed);
  },
};

function readSettings(file: string): HostSettings | undefined {
  try {
    const parsed = parseSettings(readFileSync(file, 'utf8'));
    if (parsed.isOk) return parsed.value;
    process.stderr.write(`${file}: ${parsed.error}\n`);
  } catch (error) {
    process.stderr.write(`${file}: ${error instanceof Error ? error.message : String(error)}\n`);
  }
  process.exitCode = 2;
  return undefined;
}

async function runHost(settings: HostSettings): Promise<void> {
  const log = createLog(settings.host.id, settings.logs.level);
  const { file } = settings.timeline;
  const host = new EntryHost({
    settings,
    log,
    writeEvent: (event) => {
      if (file !== undefined) appendFileSync(file, `${JSON.stringify(event)}\n`);
    },
  });
  const port = await startOrExit(host);
  log('info', 'The host is listening', { port });
  process.stdout.write(`${JSON.stringify({ event: 'listening', port })}\n`);
  await waitForStopSignal();
  log('info', 'The host is draining');
  await host.stop();
  log('info', 'The host has stopped');
  process.exit(0);
}

/** Starts a host. One that cannot start ends its process, which its timers would keep running without serving. */
async function startOrExit(host: EntryHost): Promise<number> {
  try {
    return await host.start();
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(EXIT_CODES.failure);
  }
}

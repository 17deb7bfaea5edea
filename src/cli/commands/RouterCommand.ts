import { readFileSync, statSync } from 'node:fs';
import type { CommandModule } from 'yargs';
import { createFactStore } from '../../../platform/FactStore.js';
import { FrontServer } from '../../../platform/FrontServer.js';
import { RunnerClient } from '../../../platform/RunnerClient.js';
import { parseRouterSettings, type RouterSettings } from '../../../platform/Settings.js';
import { StoreClient } from '../../../platform/StoreClient.js';
import { DecisionLog, openStandardOutput } from '../../adapters/DecisionLog.js';
import { MetricsPage } from '../../adapters/MetricsPage.js';
import { systemClock } from '../../adapters/SystemClock.js';
import { RouterHost } from '../../daemons/RouterHost.js';

interface IRouterArguments {
  settings: string;
}

/** Where the platform names the settings file. */
const SETTINGS_VARIABLE = 'MULBERRYWEIR_CONFIG';

/** Interval at which the settings file is looked at: it may change without a signal. */
const SETTINGS_CHECK_MS = 5000;

/** Time before the kill that is left to break off what still runs. */
const KILL_MARGIN_MS = 300;

/** `mulberryweir router`: runs a router on the users' platform until SIGTERM or SIGINT. */
export const routerCommand: CommandModule<object, IRouterArguments> = {
  command: 'router',
  describe: "Run a router on the users' platform",
  builder: (parser) =>
    parser
      .option('settings', {
        type: 'string',
        default: process.env[SETTINGS_VARIABLE] ?? '',
        defaultDescription: `$${SETTINGS_VARIABLE}`,
        describe: 'INI file with the settings',
      })
      .example('$0 router --settings router.ini', 'Run a router with the settings of router.ini'),
  handler: async ({ settings }) => {
    const parsed = readSettings(settings);
    if (parsed) await runRouter(parsed, settings);
  },
};

function readSettings(file: string): RouterSettings | undefined {
  try {
    const parsed = parseRouterSettings(readFileSync(file, 'utf8'));
    if (parsed.isOk) return parsed.value;
    process.stderr.write(`${file}: ${parsed.error}\n`);
  } catch (error) {
    process.stderr.write(`${file}: ${error instanceof Error ? error.message : String(error)}\n`);
  }
  process.exitCode = 2;
  return undefined;
}

async function runRouter(settings: RouterSettings, file: string): Promise<void> {
  const { host: own, limits, logs } = settings;
  const log = new DecisionLog({
    clock: systemClock,
    stream: openStandardOutput(),
    host: own.id,
    maxLinesPerS: logs.max_lines_per_s,
  });
  const metrics = new MetricsPage();
  const client = new StoreClient({
    address: settings.store.address,
    onCall: (operation, outcome) => {
      metrics.sink.count('store.calls', { operation, outcome });
    },
  });
  let runners: RunnerClient | undefined;
  const host = new RouterHost({
    id: own.id,
    zone: own.zone,
    store: createFactStore(client),
    createRunAttempt: (decideSilence) => {
      runners = new RunnerClient({ clock: systemClock, decideSilence });
      return runners.runAttempt;
    },
    createFront: (context) =>
      new FrontServer({ ...context, clock: systemClock, address: own.front, readyAddress: own.ready }),
    sink: metrics.sink,
    writeEvent: ({ kind, ...event }) => {
      log.write(kind, { kind, ...event });
    },
    onError: (error) => {
      log.write('controller.failed', { error: error instanceof Error ? error.stack : String(error) });
    },
    retryShare: limits.retry_share,
    sessionMs: limits.session_ms,
    exposureShare: limits.exposure_share,
    stopMs: limits.stop_ms,
  });
  await metrics.startListening(own.ip, own.metrics_port);
  await host.start();
  host.record('process.started', { pid: process.pid });
  const watch = watchSettings(file, (outcome) => {
    host.record('settings.reloaded', { outcome });
  });
  await waitForSignal();
  host.record('process.stopping', {});
  setTimeout(() => process.exit(0), limits.stop_ms - KILL_MARGIN_MS);
  await host.stop();
  host.record('process.stopped', {});
  clearInterval(watch);
  metrics.close();
  runners?.close();
  client.close();
  process.exit(0);
}

/**
 * Tells of changed settings. They are checked and logged; they take effect at the next start, as each of
 * them names an address or a limit that the running host was built with.
 */
function watchSettings(file: string, onReload: (outcome: string) => void): NodeJS.Timeout {
  let text = readFileSync(file, 'utf8');
  let modifiedAt = statSync(file).mtimeMs;
  const check = (): void => {
    try {
      const { mtimeMs } = statSync(file);
      if (mtimeMs === modifiedAt) return;
      modifiedAt = mtimeMs;
      const next = readFileSync(file, 'utf8');
      if (next === text) return;
      text = next;
      onReload(parseRouterSettings(next).match({ Ok: () => 'valid, used from the next start', Err: String }));
    } catch (error) {
      onReload(error instanceof Error ? error.message : String(error));
    }
  };
  process.on('SIGHUP', check);
  return setInterval(check, SETTINGS_CHECK_MS);
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => {
      resolve();
    });
    process.once('SIGINT', () => {
      resolve();
    });
  });
}

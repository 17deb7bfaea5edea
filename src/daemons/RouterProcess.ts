import { readFileSync, statSync } from 'node:fs';
import { Result } from 'true-myth';
import { createFactStore } from '../../platform/FactStore.js';
import { FrontServer } from '../../platform/FrontServer.js';
import { RunnerClient } from '../../platform/RunnerClient.js';
import { parseRouterSettings, type RouterSettings } from '../../platform/Settings.js';
import { StoreClient } from '../../platform/StoreClient.js';
import { systemClock } from '../adapters/SystemClock.js';
import type { LogFields } from '../adapters/DecisionLog.js';
import type { IHostLimits } from '../common/fleet/Types.js';
import type { IMetricsSink } from '../common/metrics/Types.js';
import { RouterHost } from './RouterHost.js';
import { waitForStop } from './Signals.js';

/** Interval at which the settings file is looked at: it may change without a signal. */
const SETTINGS_CHECK_MS = 5000;

/** Time before the kill that is left to break off what still runs. */
const KILL_MARGIN_MS = 300;

/** Exit code for wrong settings. */
const WRONG_SETTINGS = 2;

/** Lines and samples from before the log and the metrics are loaded. */
type EarlyCall = (observers: IObservers) => void;

interface IObservers {
  writeLog: (kind: string, fields: LogFields) => void;
  sink: IMetricsSink;
  close: () => void;
}

/**
 * Runs a router on the users' platform until SIGTERM or SIGINT. The log and the metrics are loaded after the
 * host has begun to start: a restarted process serves sooner.
 */
export async function runRouterProcess(file: string): Promise<void> {
  const read = readSettings(file);
  if (!read) return;
  const { settings } = read;
  // A signal that arrives before there is a handler ends the process.
  const stopAsked = waitForStop();
  const observers = new LateObservers();
  const { host, stop } = createHost(settings, observers);
  let { limits } = settings;
  const watch = watchSettings(file, read.text, (reloaded) => {
    if (reloaded.isOk) {
      limits = reloaded.value.limits;
      host.applyLimits(toHostLimits(limits));
    }
    const outcome = reloaded.isOk ? 'limits in force, the rest at the next start' : reloaded.error;
    host.record('settings.reloaded', { outcome });
  });
  const started = host.start();
  observers.attach(await loadObservers(settings));
  await started;
  host.record('process.started', { pid: process.pid });
  await stopAsked;
  host.record('process.stopping', {});
  setTimeout(() => process.exit(0), limits.stop_ms - KILL_MARGIN_MS);
  await host.stop();
  host.record('process.stopped', {});
  clearInterval(watch);
  stop();
  process.exit(0);
}

/** Holds what is logged and counted until the observers are loaded. */
class LateObservers {
  private readonly _early: EarlyCall[] = [];
  private _observers: IObservers | undefined;

  public readonly writeLog = (kind: string, fields: LogFields): void => {
    this._run((observers) => {
      observers.writeLog(kind, fields);
    });
  };

  public readonly sink: IMetricsSink = {
    count: (name, tags) => {
      this._run(({ sink }) => {
        sink.count(name, tags);
      });
    },
    time: (name, durationMs, tags) => {
      this._run(({ sink }) => {
        sink.time(name, durationMs, tags);
      });
    },
    gauge: (name, value) => {
      this._run(({ sink }) => {
        sink.gauge(name, value);
      });
    },
  };

  public attach(observers: IObservers): void {
    this._observers = observers;
    for (const call of this._early.splice(0)) call(observers);
  }

  public readonly close = (): void => {
    this._observers?.close();
  };

  private _run(call: EarlyCall): void {
    if (this._observers) call(this._observers);
    else this._early.push(call);
  }
}

async function loadObservers({ host, logs }: RouterSettings): Promise<IObservers> {
  const [{ DecisionLog, openStandardOutput }, { MetricsPage }] = await Promise.all([
    import('../adapters/DecisionLog.js'),
    import('../adapters/MetricsPage.js'),
  ]);
  const log = new DecisionLog({
    clock: systemClock,
    stream: openStandardOutput(),
    host: host.id,
    maxLinesPerS: logs.max_lines_per_s,
  });
  const page = new MetricsPage();
  await page.startListening(host.ip, host.metrics_port);
  return {
    writeLog: (kind, fields) => {
      log.write(kind, fields);
    },
    sink: page.sink,
    close: () => {
      page.close();
    },
  };
}

function createHost(
  settings: RouterSettings,
  { close, sink, writeLog }: Pick<LateObservers, 'close' | 'sink' | 'writeLog'>,
): { host: RouterHost; stop: () => void } {
  const { host: own, limits } = settings;
  const client = new StoreClient({
    address: settings.store.address,
    onCall: (operation, outcome) => {
      sink.count('store.calls', { operation, outcome });
    },
  });
  let runners: RunnerClient | undefined;
  const host = new RouterHost({
    id: own.id,
    zone: own.zone,
    store: createFactStore(client),
    createRunners: (decideSilence) => {
      runners = new RunnerClient({ clock: systemClock, decideSilence });
      return runners;
    },
    createFront: (context) =>
      new FrontServer({ ...context, clock: systemClock, address: own.front, readyAddress: own.ready }),
    sink,
    writeEvent: ({ kind, ...event }) => {
      writeLog(kind, { kind, ...event });
    },
    onError: (error) => {
      writeLog('controller.failed', { error: error instanceof Error ? error.stack : String(error) });
    },
    limits: toHostLimits(limits),
  });
  const stop = (): void => {
    close();
    runners?.close();
    client.close();
  };
  return { host, stop };
}

function toHostLimits(limits: RouterSettings['limits']): IHostLimits {
  return {
    retryShare: limits.retry_share,
    sessionMs: limits.session_ms,
    exposureShare: limits.exposure_share,
    stopMs: limits.stop_ms,
    contactMs: limits.contact_ms,
    applyMs: limits.apply_ms,
  };
}

function readSettings(file: string): { settings: RouterSettings; text: string } | undefined {
  try {
    const text = readFileSync(file, 'utf8');
    const parsed = parseRouterSettings(text);
    if (parsed.isOk) return { settings: parsed.value, text };
    process.stderr.write(`${file}: ${parsed.error}\n`);
  } catch (error) {
    process.stderr.write(`${file}: ${error instanceof Error ? error.message : String(error)}\n`);
  }
  process.exitCode = WRONG_SETTINGS;
  return undefined;
}

/** Tells of settings that differ from those in use, or why they cannot be used. */
function watchSettings(
  file: string,
  usedText: string,
  onReload: (reloaded: Result<RouterSettings, string>) => void,
): NodeJS.Timeout {
  let text = usedText;
  let modifiedAt: number | undefined;
  const check = (): void => {
    try {
      const { mtimeMs } = statSync(file);
      if (mtimeMs === modifiedAt) return;
      modifiedAt = mtimeMs;
      const next = readFileSync(file, 'utf8');
      if (next === text) return;
      text = next;
      onReload(parseRouterSettings(next));
    } catch (error) {
      onReload(Result.err(error instanceof Error ? error.message : String(error)));
    }
  };
  process.on('SIGHUP', check);
  return setInterval(check, SETTINGS_CHECK_MS);
}

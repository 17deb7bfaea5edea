import { readFileSync, statSync } from 'node:fs';
import { Result } from 'true-myth';
import { buildConnector } from 'undici';
import { parseModelTarget } from '../../platform/CallReader.js';
import { createFactStore, decodePassedFact } from '../../platform/FactStore.js';
import { FrontServer } from '../../platform/FrontServer.js';
import { EndpointClient } from '../../platform/EndpointClient.js';
import { parseRouterSettings, type RouterSettings } from '../../platform/Settings.js';
import { StoreClient } from '../../platform/StoreClient.js';
import { createEndpointConnector } from '../adapters/EndpointConnector.js';
import { createNewsNetwork } from '../adapters/NewsNetwork.js';
import { systemClock } from '../adapters/SystemClock.js';
import { createOpenTunnel } from '../adapters/Tunnels.js';
import type { LogFields } from '../adapters/DecisionLog.js';
import type { PrometheusExporter } from '../adapters/PrometheusExporter.js';
import type { IHostLimits } from '../common/fleet/Types.js';
import type { IMetricsSink } from '../common/metrics/Types.js';
import type { IChoiceQuestion } from '../common/status/ChoiceReport.js';
import { RouterHost, type IRouterHostOptions } from './RouterHost.js';
import { waitForStopSignal } from './Signals.js';

/** Interval at which the settings file is checked for changes, because it may change without a SIGHUP. */
const SETTINGS_CHECK_MS = 5000;

/**
 * Time between the forced exit of a stopping process, which aborts requests that still run, and the end of
 * `stop_ms`, when the platform kills the process.
 */
const KILL_MARGIN_MS = 300;

const BYTES_PER_S_PER_MBPS = 125_000;
const BYTES_PER_MB = 1_000_000;

/** Time in which an endpoint has to take a direct connection. */
const ENDPOINT_CONNECT_TIMEOUT_MS = 500;

/** Exit code if the settings cannot be read or are invalid. */
const INVALID_SETTINGS_EXIT_CODE = 2;

/** A log line or metrics sample that is written once the telemetry is loaded. */
type BufferedCall = (telemetry: ITelemetry) => void;

interface ITelemetry {
  writeLog: (kind: string, fields: LogFields) => void;
  sink: IMetricsSink;
  addPage: PrometheusExporter['addPage'];
  close: () => void;
}

/**
 * Runs the router for the users' platform until SIGTERM or SIGINT. The modules for logs and metrics are
 * loaded after the start of the host has begun, so that a restarted process accepts calls sooner.
 */
export async function runRouterProcess(settingsFile: string): Promise<void> {
  const loaded = readSettings(settingsFile);
  if (!loaded) return;
  const { settings } = loaded;
  // Installed early: without a handler, a signal would terminate the process.
  const stopRequested = waitForStopSignal();
  const telemetry = new BufferedTelemetry();
  const { host, closeAdapters } = createHost(settings, telemetry);
  let { limits } = settings;
  const settingsTimer = watchSettings(settingsFile, loaded.text, (reloaded) => {
    if (reloaded.isOk) {
      limits = reloaded.value.limits;
      host.applyLimits(toHostLimits(limits));
    }
    const outcome = reloaded.isOk ? 'limits in force, the rest at the next start' : reloaded.error;
    host.recordEvent('settings.reloaded', { outcome });
  });
  const started = host.start();
  const outputs = await loadTelemetry(settings);
  outputs.addPage('/explain', (query) => host.describeChoice(parseChoiceQuestion(query)));
  telemetry.attach(outputs);
  await started;
  host.recordEvent('process.started', { pid: process.pid });
  await stopRequested;
  host.recordEvent('process.stopping', {});
  setTimeout(() => process.exit(0), limits.stop_ms - KILL_MARGIN_MS);
  await host.stop();
  host.recordEvent('process.stopped', {});
  clearInterval(settingsTimer);
  closeAdapters();
  process.exit(0);
}

/** Buffers log lines and metrics until the modules that write them are loaded. */
class BufferedTelemetry {
  private readonly _bufferedCalls: BufferedCall[] = [];
  private _telemetry: ITelemetry | undefined;

  public readonly writeLog = (kind: string, fields: LogFields): void => {
    this._runOrBuffer((telemetry) => {
      telemetry.writeLog(kind, fields);
    });
  };

  public readonly sink: IMetricsSink = {
    count: (name, tags, amount) => {
      this._runOrBuffer(({ sink }) => {
        sink.count(name, tags, amount);
      });
    },
    time: (name, durationMs, tags) => {
      this._runOrBuffer(({ sink }) => {
        sink.time(name, durationMs, tags);
      });
    },
    gauge: (name, value) => {
      this._runOrBuffer(({ sink }) => {
        sink.gauge(name, value);
      });
    },
  };

  public attach(telemetry: ITelemetry): void {
    this._telemetry = telemetry;
    for (const call of this._bufferedCalls.splice(0)) call(telemetry);
  }

  public readonly close = (): void => {
    this._telemetry?.close();
  };

  private _runOrBuffer(call: BufferedCall): void {
    if (this._telemetry) call(this._telemetry);
    else this._bufferedCalls.push(call);
  }
}

async function loadTelemetry({ host, logs }: RouterSettings): Promise<ITelemetry> {
  const [{ DecisionLog, openStandardOutput }, { PrometheusExporter }] = await Promise.all([
    import('../adapters/DecisionLog.js'),
    import('../adapters/PrometheusExporter.js'),
  ]);
  const decisionLog = new DecisionLog({
    clock: systemClock,
    stream: openStandardOutput(),
    host: host.id,
    maxLinesPerS: logs.max_lines_per_s,
  });
  const metricsPage = new PrometheusExporter();
  await metricsPage.startListening(host.ip, host.metrics_port);
  return {
    writeLog: (kind, fields) => {
      decisionLog.write(kind, fields);
    },
    sink: metricsPage.sink,
    addPage: (path, answer) => {
      metricsPage.addPage(path, answer);
    },
    close: () => {
      metricsPage.close();
    },
  };
}

function parseChoiceQuestion(query: URLSearchParams): IChoiceQuestion {
  const targetMs = Number(query.get('target-ms') ?? NaN);
  const model = query.get('model') ?? '';
  const prompt = query.get('prompt') ?? '';
  return {
    service: query.get('service') ?? '',
    target: parseModelTarget({ model, prompt, usage: query.get('usage') ?? undefined }),
    targetLatencyMs: Number.isFinite(targetMs) ? targetMs : undefined,
  };
}

function createHost(
  settings: RouterSettings,
  { close, sink, writeLog }: Pick<BufferedTelemetry, 'close' | 'sink' | 'writeLog'>,
): { host: RouterHost; closeAdapters: () => void } {
  const { host: hostSettings, limits } = settings;
  const client = new StoreClient({
    address: settings.store.address,
    onCall: (operation, outcome) => {
      sink.count('store.calls', { operation, outcome });
    },
  });
  let runners: EndpointClient | undefined;
  const host = new RouterHost({
    id: hostSettings.id,
    zone: hostSettings.zone,
    store: createFactStore(client),
    createEndpointClient: (decideSilence, paths, memory) => {
      const connect = createEndpointConnector({
        clock: systemClock,
        connect: buildConnector({ timeout: ENDPOINT_CONNECT_TIMEOUT_MS }),
        openTunnel: createOpenTunnel({ host: hostSettings.id, ip: hostSettings.ip }),
        paths,
      });
      runners = new EndpointClient({ clock: systemClock, decideSilence, connect, memory });
      return runners;
    },
    createFrontEnd: (context) =>
      new FrontServer({
        ...context,
        clock: systemClock,
        address: hostSettings.front,
        readyAddress: hostSettings.ready,
      }),
    sink,
    writeEvent: ({ kind, ...event }) => {
      writeLog(kind, { kind, ...event });
    },
    onError: (error) => {
      writeLog('controller.failed', { error: error instanceof Error ? error.stack : String(error) });
    },
    limits: toHostLimits(limits),
    ...createPeers(hostSettings),
  });
  const closeAdapters = (): void => {
    close();
    runners?.close();
    client.close();
  };
  return { host, closeAdapters };
}

/** Creates the option of a host that other hosts can reach; none without a port for them. */
function createPeers({ id, ip, peer_port: port }: RouterSettings['host']): Pick<IRouterHostOptions, 'peers'> {
  if (port === undefined) return {};
  return {
    peers: {
      address: `${ip}:${port}`,
      createNetwork: (context) => createNewsNetwork({ host: id, ip, port }, context),
      decodeFact: decodePassedFact,
    },
  };
}

function toHostLimits(limits: RouterSettings['limits']): IHostLimits {
  return {
    maxRetryShare: limits.retry_share,
    sessionRetentionMs: limits.session_ms,
    maxExposureShare: limits.exposure_share,
    exposureSlack: limits.exposure_slack,
    shutdownTimeoutMs: limits.stop_ms,
    storeContactMs: limits.contact_ms,
    maxApplyDelayMs: limits.apply_ms,
    ...(limits.link_mbps === undefined ? {} : { linkBytesPerS: limits.link_mbps * BYTES_PER_S_PER_MBPS }),
    ...(limits.cold_over === undefined ? {} : { coldRateFactor: limits.cold_over }),
    ...(limits.cold_slack === undefined ? {} : { coldRateSlack: limits.cold_slack }),
    ...(limits.memory_mb === undefined ? {} : { memoryBytes: limits.memory_mb * BYTES_PER_MB }),
    ...(limits.max_fds === undefined ? {} : { maxDescriptors: limits.max_fds }),
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
  process.exitCode = INVALID_SETTINGS_EXIT_CODE;
  return undefined;
}

/**
 * Watches the settings file. Calls `onReload` with the new settings when the text of the file has changed, or
 * with an error if the file cannot be read or its settings are invalid.
 */
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

import { startFleet } from '../Fleet.js';
import { startRelay } from '../fleet/StandIns.js';
import type { IFleet } from '../fleet/Types.js';
import { buildTarget, listFirstTokenTimes, measureCpuTime, runAndCollectOutcomes } from '../Loads.js';
import { listQuantileRows } from '../Plots.js';
import type { IMeasure, IScenarioOptions, IScenarioResult } from '../Types.js';

const VERSION = 'small-1';
const STREAM_TOKENS = 200;
const LATENCY_LOAD = { requestsPerSecond: 20, durationMs: 30_000 };
/** Loads that measure the processor time per request and per token. They need less than one core. */
const SHORT_LOAD = { requestsPerSecond: 250, durationMs: 10_000 };
const STREAM_LOAD = { requestsPerSecond: 60, durationMs: 10_000 };
const MIXED_LOAD = { requestsPerSecond: 200, durationMs: 10_000 };
const MIXED_TOKENS = 40;

/**
 * Measures the cost of a host in front of one idle engine: the time that it adds to the first token, against a
 * load sent straight to the engine at the same time, and its processor time per request and per token.
 */
export async function runRouterCost(options: IScenarioOptions): Promise<IScenarioResult> {
  const fleet = await startFleet({
    document: {
      versions: [{ name: VERSION, model: 'small', price: 1, quality: 0.95 }],
      accounts: 10,
      plainService: 'ledger',
    },
    engines: [{ versions: [VERSION], batchSize: 4096, stepMs: 4, prefillMs: 20 }],
    plainEndpoints: 0,
    hosts: 1,
    zones: 1,
    policy: options.policy,
    profile: options.profile,
    hasTimeline: false,
  });
  try {
    return await measureRouter(fleet, options);
  } finally {
    await fleet.close();
  }
}

async function measureRouter(fleet: IFleet, options: IScenarioOptions): Promise<IScenarioResult> {
  const [host] = fleet.hosts;
  const [engine] = fleet.engines;
  if (!host || !engine) throw new Error('The fleet has no host or no engine.');
  const { scale, seed } = options;
  const run = (address: string, load: typeof SHORT_LOAD, tokens: number, loadSeed: number) =>
    runAndCollectOutcomes(
      { seed: loadSeed, steps: [{ ...load, durationMs: load.durationMs * scale }], tokens },
      buildTarget([address], VERSION),
    );
  // Both loads run at the same time, so that noise of the machine or the engine affects both equally.
  await Promise.all([run(host.address, SHORT_LOAD, 20, seed + 1), run(engine.address, SHORT_LOAD, 20, seed)]);
  const [routed, direct] = await Promise.all([
    run(host.address, LATENCY_LOAD, STREAM_TOKENS, seed),
    run(engine.address, LATENCY_LOAD, STREAM_TOKENS, seed + 1),
  ]);
  const [short, shortCpuMs] = await measureCpuTime(host, () => run(host.address, SHORT_LOAD, 1, seed));
  const [long, longCpuMs] = await measureCpuTime(host, () =>
    run(host.address, STREAM_LOAD, STREAM_TOKENS, seed),
  );
  const relay = await startRelay(engine.address);
  const [relayed, relayCpuMs] = await measureCpuTime(relay, () =>
    run(relay.address, STREAM_LOAD, STREAM_TOKENS, seed),
  );
  const [relayedShort, relayShortCpuMs] = await measureCpuTime(relay, () =>
    run(relay.address, SHORT_LOAD, 1, seed),
  );
  await relay.stop();
  const [mixed, mixedCpuMs] = await measureCpuTime(host, () =>
    run(host.address, MIXED_LOAD, MIXED_TOKENS, seed),
  );
  const computeAddedMs = (quantile: 'p50' | 'p99'): number =>
    routed.summary.firstTokenMs[quantile] - direct.summary.firstTokenMs[quantile];
  const computePerCore = (count: number, cpuMs: number): number => (count * 1000) / Math.max(1, cpuMs);
  const measures: IMeasure[] = [
    {
      name: 'added time to first token, p99',
      value: computeAddedMs('p99'),
      unit: 'ms',
      target: 2,
      bound: 'at-most',
    },
    {
      name: 'added time to first token, p50',
      value: computeAddedMs('p50'),
      unit: 'ms',
      target: 2,
      bound: 'at-most',
    },
    {
      name: 'requests a core, streams of 1 token',
      value: computePerCore(short.summary.complete, shortCpuMs),
      unit: 'requests/s',
      target: 1000,
      bound: 'at-least',
    },
    {
      name: 'tokens a core, streams of 200 tokens',
      value: computePerCore(long.summary.tokens, longCpuMs),
      unit: 'tokens/s',
      target: 40_000,
      bound: 'at-least',
    },
    {
      name: 'requests a core, streams of 40 tokens',
      value: computePerCore(mixed.summary.complete, mixedCpuMs),
      unit: 'requests/s',
      target: undefined,
      bound: 'at-least',
    },
  ];
  measures.push(
    {
      name: 'processor time a token, against a bare TCP relay',
      value: longCpuMs / long.summary.tokens / (relayCpuMs / relayed.summary.tokens),
      unit: 'times',
      target: undefined,
      bound: 'at-most',
    },
    {
      name: 'processor time a request of 1 token, against a bare TCP relay',
      value: shortCpuMs / short.summary.complete / (relayShortCpuMs / relayedShort.summary.complete),
      unit: 'times',
      target: undefined,
      bound: 'at-most',
    },
  );
  return {
    measures,
    runs: {
      'relay, long': { ...relayed.summary, cpuMs: relayCpuMs },
      'relay, short': { ...relayedShort.summary, cpuMs: relayShortCpuMs },
      routed: routed.summary,
      direct: direct.summary,
      short: { ...short.summary, cpuMs: shortCpuMs },
      long: { ...long.summary, cpuMs: longCpuMs },
      mixed: { ...mixed.summary, cpuMs: mixedCpuMs },
    },
    plots: [
      {
        name: 'router-cost-first-token',
        title: 'Time to first token, straight to the engine and through the router',
        xTitle: 'percentile',
        yTitle: 'ms',
        scale: 'linear',
        rows: [
          ...listQuantileRows('direct', listFirstTokenTimes(direct.outcomes)),
          ...listQuantileRows('through the router', listFirstTokenTimes(routed.outcomes)),
        ],
      },
    ],
  };
}

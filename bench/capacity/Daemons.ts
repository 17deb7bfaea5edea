import * as z from 'zod';
import { waitFor } from '../../src/standins/HttpTools.js';
import type { IBenchVersion } from '../Documents.js';
import { startFleet } from '../Fleet.js';
import type { IFleet } from '../fleet/Types.js';
import { fetchJson } from '../Http.js';
import { buildTarget, runAndCollectOutcomes } from '../Loads.js';
import type { IPoint } from './Types.js';

/** Size of a fleet with one host and one engine, and the load on it. */
export interface IDaemonLoad {
  requestsPerSecond: number;
  /** Tokens per request. */
  tokens: number;
  /** Number of endpoints in the platform's host list; all have the address of the same engine. */
  endpoints: number;
  versions: number;
  accounts: number;
}

/** Load without requests. Each series changes only some of its fields. */
export const IDLE_LOAD: IDaemonLoad = {
  requestsPerSecond: 0,
  tokens: 1,
  endpoints: 1,
  versions: 1,
  accounts: 10,
};

const MEASURE_MS = 6000;
const WARM_UP_MS = 3000;
const COUNTS_SCHEMA = z.object({ get: z.number(), put: z.number(), delete: z.number(), watch: z.number() });

/** Measures processor time, memory and store calls of a host, after a warm-up under the same load. */
export async function measureDaemon(load: IDaemonLoad, x: number): Promise<IPoint> {
  const versions = listVersions(load.versions);
  const fleet = await startFleet({
    document: { versions, accounts: load.accounts, plainService: 'ledger' },
    engines: [{ versions: versions.map(({ name }) => name), batchSize: 4096, stepMs: 10, prefillMs: 20 }],
    listingsPerEngine: load.endpoints,
    plainEndpoints: 0,
    hosts: 1,
    zones: 7,
    policy: 'default',
    hasTimeline: false,
  });
  try {
    return await measureFleet(fleet, load, x);
  } finally {
    await fleet.close();
  }
}

async function measureFleet(fleet: IFleet, load: IDaemonLoad, x: number): Promise<IPoint> {
  const [host] = fleet.hosts;
  if (!host) throw new Error('The fleet has no host.');
  await sendLoad(host.address, load, WARM_UP_MS);
  const callsBefore = await countStoreCalls(fleet);
  const before = host.readUsage();
  const startedAt = performance.now();
  await sendLoad(host.address, load, MEASURE_MS);
  const seconds = (performance.now() - startedAt) / 1000;
  const after = host.readUsage();
  const storeCalls = (await countStoreCalls(fleet)) - callsBefore;
  return {
    x,
    cpuMs: (after.cpuMs - before.cpuMs) / seconds,
    megabytes: after.residentBytes / 1_048_576,
    storeCalls: storeCalls / seconds,
  };
}

async function sendLoad(address: string, load: IDaemonLoad, durationMs: number): Promise<void> {
  const { accounts, requestsPerSecond, tokens } = load;
  if (requestsPerSecond === 0) {
    await waitFor(durationMs);
    return;
  }
  const plan = { tokens, accounts, steps: [{ requestsPerSecond, durationMs }] };
  await runAndCollectOutcomes(plan, buildTarget([address], 'auto', {}, accounts));
}

async function countStoreCalls(fleet: IFleet): Promise<number> {
  const counts = COUNTS_SCHEMA.parse(await fetchJson(`${fleet.store.address}/counts`));
  return counts.get + counts.put + counts.delete + counts.watch;
}

function listVersions(count: number): IBenchVersion[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `version-${index}`,
    model: `model-${index % 7}`,
    price: 1 + index,
    quality: 0.95,
  }));
}

import { createSeededRandom } from '../src/adapters/Random.js';
import { waitFor } from '../src/standins/HttpTools.js';
import { planFaultChain, type IChainedFault } from '../src/testing/FaultChains.js';
import type { IFleet } from './fleet/Types.js';
import { putJson } from './Http.js';

/** Kind of a fault that the benchmark injects. */
export type FaultKind =
  | 'kill-host'
  | 'pause-host'
  | 'store-down'
  | 'store-slow'
  | 'store-lost-replies'
  | 'engine-crash'
  | 'plain-lost-replies';

/** One planned fault. */
export type IFault = IChainedFault<FaultKind>;

/** Faults that follow one another without overlapping. Several chains run at the same time. */
export type FaultChain = readonly IFault[];

const HOST_FAULTS: readonly FaultKind[] = ['kill-host', 'pause-host'];
const STORE_FAULTS: readonly FaultKind[] = ['store-down', 'store-slow', 'store-lost-replies'];
const ENDPOINT_FAULTS: readonly FaultKind[] = ['engine-crash', 'plain-lost-replies'];
const FAULT_DURATIONS = { shortestMs: 200, longestMs: 3000 };
/** Longer than the slowest reply at which hosts still consider the store available. */
const SLOW_STORE_DELAY_MS = 300;
const RESTART_DELAY_MS = 300;

/** Plans random faults: one chain each for the hosts, the store and the endpoints. */
export function planFaults(seed: number, durationMs: number): FaultChain[] {
  const random = createSeededRandom(seed);
  return [HOST_FAULTS, STORE_FAULTS, ENDPOINT_FAULTS].map((kinds) =>
    planFaultChain(random, kinds, { ...FAULT_DURATIONS, endMs: durationMs }),
  );
}

/** Plans random faults: one chain each for the hosts and the store. */
export function planHostAndStoreFaults(seed: number, durationMs: number): FaultChain[] {
  const random = createSeededRandom(seed);
  return [HOST_FAULTS, STORE_FAULTS].map((kinds) =>
    planFaultChain(random, kinds, { ...FAULT_DURATIONS, endMs: durationMs }),
  );
}

/**
 * Injects the faults of all chains; resolves when the last one is repaired. After each repair, `onRepaired`
 * receives the fault, the id of the host that it affected, if any, and the wall-clock time of its start.
 */
export async function runFaults(
  fleet: IFleet,
  chains: readonly FaultChain[],
  onRepaired: (fault: IFault, host: string | undefined, startedAt: number) => void = () => undefined,
): Promise<void> {
  const startedAt = performance.now();
  await Promise.all(
    chains.map(async (chain) => {
      for (const fault of chain) {
        await waitFor(Math.max(0, startedAt + fault.atMs - performance.now()));
        const faultStartedAt = Date.now();
        const isHostFault = HOST_FAULTS.includes(fault.kind);
        const host = isHostFault ? fleet.hosts[pickIndex(fleet.hosts, fault.targetDraw)]?.id : undefined;
        await FAULT_INJECTORS[fault.kind](fleet, fault);
        onRepaired(fault, host, faultStartedAt);
      }
    }),
  );
}

const FAULT_INJECTORS: Readonly<Record<FaultKind, (fleet: IFleet, fault: IFault) => Promise<void>>> = {
  'kill-host': async (fleet, { targetDraw }) => {
    const index = pickIndex(fleet.hosts, targetDraw);
    fleet.hosts[index]?.signal('SIGKILL');
    await fleet.hosts[index]?.waitForExit();
    await waitFor(RESTART_DELAY_MS);
    await fleet.restartHost(index);
  },
  'pause-host': async (fleet, { durationMs, targetDraw }) => {
    const host = fleet.hosts[pickIndex(fleet.hosts, targetDraw)];
    host?.signal('SIGSTOP');
    await waitFor(durationMs);
    host?.signal('SIGCONT');
  },
  'store-down': (fleet, { durationMs }) =>
    injectTemporaryFault(fleet.store.address, { mode: 'down' }, { mode: 'up' }, durationMs),
  'store-slow': (fleet, { durationMs }) =>
    injectTemporaryFault(fleet.store.address, { delayMs: SLOW_STORE_DELAY_MS }, { delayMs: 0 }, durationMs),
  'store-lost-replies': (fleet, { durationMs }) =>
    injectTemporaryFault(fleet.store.address, { lostReplyShare: 0.3 }, { lostReplyShare: 0 }, durationMs),
  'engine-crash': async (fleet, { targetDraw }) => {
    const engine = fleet.engines[pickIndex(fleet.engines, targetDraw)];
    if (engine) await putJson(`${engine.address}/crash`, {});
  },
  'plain-lost-replies': async (fleet, { durationMs, targetDraw }) => {
    const endpoint = fleet.plainEndpoints[pickIndex(fleet.plainEndpoints, targetDraw)];
    if (endpoint)
      await injectTemporaryFault(
        endpoint.address,
        { lostReplyShare: 0.5 },
        { lostReplyShare: 0 },
        durationMs,
      );
  },
};

async function injectTemporaryFault(
  address: string,
  faults: object,
  repairedSettings: object,
  durationMs: number,
): Promise<void> {
  await putJson(`${address}/faults`, faults);
  await waitFor(durationMs);
  await putJson(`${address}/faults`, repairedSettings);
}

function pickIndex(items: readonly unknown[], position: number): number {
  return Math.floor(position * items.length);
}

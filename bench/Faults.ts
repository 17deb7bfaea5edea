import { createSeededRandom } from '../src/adapters/Random.js';
import { waitFor } from '../src/standins/HttpTools.js';
import { planFaultChain, type IChainedFault } from '../src/testing/FaultChains.js';
import type { IFleet } from './fleet/Types.js';
import { putJson } from './Http.js';

/** Kind of a fault that the bench injects. */
export type FaultKind =
  | 'kill-host'
  | 'pause-host'
  | 'store-down'
  | 'store-slow'
  | 'store-lost-replies'
  | 'engine-crash'
  | 'plain-lost-replies';

/** One fault of a plan. */
export type IFault = IChainedFault<FaultKind>;

/** Faults that happen one after another; several chains run at the same time. */
export type FaultChain = readonly IFault[];

const HOST_FAULTS: readonly FaultKind[] = ['kill-host', 'pause-host'];
const STORE_FAULTS: readonly FaultKind[] = ['store-down', 'store-slow', 'store-lost-replies'];
const ENDPOINT_FAULTS: readonly FaultKind[] = ['engine-crash', 'plain-lost-replies'];
const LENGTHS = { shortestMs: 200, longestMs: 3000 };
/** Longer than the slowest answer of a store that counts as up. */
const SLOW_STORE_MS = 300;
const RESTART_MS = 300;

/** Plans random faults of hosts, store and endpoints from a seed. */
export function planFaults(seed: number, durationMs: number): FaultChain[] {
  const random = createSeededRandom(seed);
  return [HOST_FAULTS, STORE_FAULTS, ENDPOINT_FAULTS].map((kinds) =>
    planFaultChain(random, kinds, { ...LENGTHS, endMs: durationMs }),
  );
}

/** Plans faults of hosts and store only. */
export function planHostAndStoreFaults(seed: number, durationMs: number): FaultChain[] {
  const random = createSeededRandom(seed);
  return [HOST_FAULTS, STORE_FAULTS].map((kinds) =>
    planFaultChain(random, kinds, { ...LENGTHS, endMs: durationMs }),
  );
}

/**
 * Injects the faults of all chains; everything is repaired at the end. The callback receives each
 * fault with the host that it hit and its start by wall clock.
 */
export async function runFaults(
  fleet: IFleet,
  chains: readonly FaultChain[],
  onRepaired: (fault: IFault, host: string | undefined, from: number) => void = () => undefined,
): Promise<void> {
  const startedAt = performance.now();
  await Promise.all(
    chains.map(async (chain) => {
      for (const fault of chain) {
        await waitFor(Math.max(0, startedAt + fault.atMs - performance.now()));
        const from = Date.now();
        const isHostFault = HOST_FAULTS.includes(fault.kind);
        const host = isHostFault ? fleet.hosts[pickIndex(fleet.hosts, fault.target)]?.id : undefined;
        await INJECTORS[fault.kind](fleet, fault);
        onRepaired(fault, host, from);
      }
    }),
  );
}

const INJECTORS: Readonly<Record<FaultKind, (fleet: IFleet, fault: IFault) => Promise<void>>> = {
  'kill-host': async (fleet, { target }) => {
    const index = pickIndex(fleet.hosts, target);
    fleet.hosts[index]?.signal('SIGKILL');
    await fleet.hosts[index]?.waitForExit();
    await waitFor(RESTART_MS);
    await fleet.startHostAgain(index);
  },
  'pause-host': async (fleet, { durationMs, target }) => {
    const host = fleet.hosts[pickIndex(fleet.hosts, target)];
    host?.signal('SIGSTOP');
    await waitFor(durationMs);
    host?.signal('SIGCONT');
  },
  'store-down': (fleet, { durationMs }) =>
    setForTime(fleet.store.address, { mode: 'down' }, { mode: 'up' }, durationMs),
  'store-slow': (fleet, { durationMs }) =>
    setForTime(fleet.store.address, { delayMs: SLOW_STORE_MS }, { delayMs: 0 }, durationMs),
  'store-lost-replies': (fleet, { durationMs }) =>
    setForTime(fleet.store.address, { lostReplyShare: 0.3 }, { lostReplyShare: 0 }, durationMs),
  'engine-crash': async (fleet, { target }) => {
    const engine = fleet.engines[pickIndex(fleet.engines, target)];
    if (engine) await putJson(`${engine.address}/crash`, {});
  },
  'plain-lost-replies': async (fleet, { durationMs, target }) => {
    const plain = fleet.plains[pickIndex(fleet.plains, target)];
    if (plain) await setForTime(plain.address, { lostReplyShare: 0.5 }, { lostReplyShare: 0 }, durationMs);
  },
};

async function setForTime(
  address: string,
  faults: object,
  repaired: object,
  durationMs: number,
): Promise<void> {
  await putJson(`${address}/faults`, faults);
  await waitFor(durationMs);
  await putJson(`${address}/faults`, repaired);
}

function pickIndex(items: readonly unknown[], draw: number): number {
  return Math.floor(draw * items.length);
}

import test from 'ava';
import { createTestEndpoint } from '../../testing/EntryFixtures.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import type { IHealthView } from '../request/Types.js';
import { computeProbeDelay, decideHealth } from './Health.js';

function createView(endpoint: Partial<IEndpointEntry>, patch: Partial<IHealthView> = {}): IHealthView {
  return {
    endpoint: createTestEndpoint('e-1', { recentStreamMs: 300, ...endpoint }),
    peerTokenMs: 10,
    peerFirstTokenMs: 70,
    poolSize: 13,
    ejectedPeers: 0,
    failedProbes: 0,
    hasProbeSucceeded: false,
    now: 1000,
    ...patch,
  };
}

/** Each view guards against one way to eject or readmit an endpoint wrongly. */
const VIEWS: Readonly<Record<string, IHealthView>> = {
  'normal pace': createView({ recentTokenMs: 14, firstTokenWaitMs: 90 }),
  'pace of too few tokens': createView({ recentTokenMs: 100, recentStreamMs: 60 }),
  'ten times slower': createView({ recentTokenMs: 100 }),
  'all ten times slower': createView(
    { recentTokenMs: 100, firstTokenWaitMs: 700 },
    { peerTokenMs: 100, peerFirstTokenMs: 700 },
  ),
  'silent before the first token': createView({ firstTokenWaitMs: 300 }),
  'slow, but the pool is ejected to its share': createView({ recentTokenMs: 100 }, { ejectedPeers: 4 }),
  'slow in a pool of two': createView({ recentTokenMs: 100 }, { poolSize: 2 }),
  'failing in a pool of two': createView({ consecutiveFailures: 3 }, { poolSize: 2 }),
  'failing alone': createView({ consecutiveFailures: 3 }, { poolSize: 1 }),
  'suspect before its probe is due': createView({ health: 'suspect', healthChangedAt: 700 }),
  'suspect after the probe delay': createView({ health: 'suspect' }),
  'suspect with streams that are still slow': createView({ health: 'suspect', recentTokenMs: 60 }),
  'suspect after failed probes': createView({ health: 'suspect' }, { failedProbes: 2 }),
  'probing without evidence': createView({ health: 'probing' }),
  'probe succeeded': createView({ health: 'probing' }, { hasProbeSucceeded: true }),
  'probe at normal pace': createView({ health: 'probing', recentTokenMs: 12 }),
  'probe is slow': createView({ health: 'probing', recentTokenMs: 90 }),
  leaving: createView({ health: 'leaving', recentTokenMs: 10 }),
};

test('health is decided from the measurements of this host relative to the peers', (t) => {
  t.snapshot(
    Object.entries(VIEWS).map(([name, view]) => `${name}: ${view.endpoint.health} to ${decideHealth(view)}`),
  );
  t.snapshot([0, 1, 2, 3, 4, 9].map(computeProbeDelay));
});

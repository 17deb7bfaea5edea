import test from 'ava';
import { createTestEndpoint, createTestRequest, TEST_TARGET } from '../../testing/EntryFixtures.js';
import type { IEndpointEntry, IRequestEntry } from '../blackboard/Types.js';
import type { IEndpointView } from '../request/Types.js';
import {
  createChooseExpectedDelay,
  createChooseLeastInFlight,
  createChooseLeastReported,
  createChooseRoundRobin,
} from './Endpoints.js';

type Patch = Partial<IEndpointEntry>;

function createView(first: Patch, second: Patch, patch: Partial<IEndpointView> = {}): IEndpointView {
  return {
    request: createTestRequest('r'),
    candidates: [createTestEndpoint('e-1', first), createTestEndpoint('e-2', second)],
    lengthClass: 'short',
    findPrefix: () => undefined,
    zone: 'a',
    now: 10_000,
    ...patch,
  };
}

function createReport(load: number, receivedAt: number): Patch {
  const report = { running: load, waiting: 0, cacheUse: 0, versions: [], isLeaving: false, receivedAt };
  return { report };
}

const PROMPT: Partial<IRequestEntry> = { target: { ...TEST_TARGET, prefixHashes: ['p1', 'p2'] } };

function createPrefixView(sentAt: number, inFlight: number): IEndpointView {
  const findPrefix: IEndpointView['findPrefix'] = (_, hash) =>
    hash === 'p2' ? { key: hash, endpoint: 'e-1', sentAt } : undefined;
  return createView({ inFlight }, { inFlight: 1 }, { findPrefix, request: createTestRequest('r', PROMPT) });
}

/** Each view guards against one wrong choice of endpoint. */
const VIEWS: Readonly<Record<string, IEndpointView>> = {
  'less own work in flight': createView({ inFlight: 3 }, { inFlight: 1 }),
  'fresh report of far more work elsewhere': createView(createReport(40, 9900), createReport(2, 9900)),
  'report too old to outweigh own work': createView(
    { inFlight: 0, ...createReport(40, 0) },
    { inFlight: 2, ...createReport(2, 0) },
  ),
  'slow pace of the streams in flight': createView(
    { recentTokenMs: 100 },
    { recentTokenMs: 10, inFlight: 2 },
  ),
  'local zone at equal load': createView({ zone: 'b', inFlight: 1 }, { inFlight: 1 }),
  'remote zone when the local one is the worse choice': createView({ zone: 'b' }, { inFlight: 3 }),
  'prompt sent there lately': createPrefixView(9000, 2),
  'prompt sent there long ago': createPrefixView(-200_000, 2),
  'cache outweighed by load': createPrefixView(9000, 4),
  'full endpoint': createView({ inFlight: 4, inFlightLimit: 4 }, { inFlight: 9, inFlightLimit: 10 }),
  'suspect endpoint': createView({ health: 'suspect' }, { inFlight: 3 }),
  'probe of an idempotent request': createView({ health: 'probing', inFlight: 3 }, {}),
  'second probe': createView({ health: 'probing', probeAttempt: 'a-1' }, { inFlight: 3 }),
  'no probe by a non-idempotent request': createView(
    { health: 'probing' },
    { inFlight: 3 },
    {
      request: createTestRequest('r', { isIdempotent: false }),
    },
  ),
  'retry avoids the endpoint that failed': createView(
    {},
    { inFlight: 3 },
    {
      request: createTestRequest('r', { failedEndpoints: ['e-1'] }),
    },
  ),
  'long work keeps to its share of the slots': createView(
    { inFlight: 2, inFlightLimit: 4, longInFlight: 2 },
    { inFlight: 3, inFlightLimit: 4, longInFlight: 1 },
    { lengthClass: 'long' },
  ),
  'everything full': createView({ inFlight: 4 }, { inFlight: 4 }),
};

test('endpoint that each policy chooses', (t) => {
  const takeMiddle = (): number => 0.5;
  const choices = Object.entries(VIEWS).map(([name, view]) => ({
    name,
    expectedDelay: createChooseExpectedDelay(takeMiddle)(view),
    leastInFlight: createChooseLeastInFlight(takeMiddle)(view),
    leastReported: createChooseLeastReported(takeMiddle)(view),
    roundRobin: createChooseRoundRobin()(view),
  }));
  t.snapshot(choices);
});

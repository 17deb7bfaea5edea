import test from 'ava';
import { Result } from 'true-myth';
import { hashTexts, createSeededRandom } from '../../adapters/Random.js';
import { createTestEndpoint, createTestRequest } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { ENDPOINT, startRateLimitedFleet } from '../../testing/RateLimitedFleet.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { hasRoom } from '../policy/Endpoints.js';
import { createComputeAttemptInterval } from '../policy/RateLimitShares.js';
import { planAttempt } from '../request/AttemptPlan.js';
import { AttemptController } from '../request/AttemptController.js';
import { EndpointIndex } from '../request/EndpointIndex.js';
import { RouteController } from '../request/RouteController.js';
import { DecisionRecorder } from '../timeline/DecisionRecorder.js';
import type { AttemptPart } from '../request/Types.js';
import { RateLimitController } from './RateLimitController.js';

// Guards against LIMIT: each host alone keeps to a rate that holds for all hosts together.
for (const [hostCount, requestsPerS] of [
  [7, 3.7],
  [7, 0.4],
  [61, 2.4],
  [61, 0.9],
  [340, 12],
] as const) {
  test(`${hostCount} hosts together keep to a limit of ${requestsPerS} a second, also in bursts`, async (t) => {
    const fleet = await startRateLimitedFleet({ hostCount, requestsPerS });
    const allowed = 1.5 * 4 * requestsPerS + 5;
    await fleet.sendFor(12_000, 0.5);
    await fleet.clock.advance(20_000);
    await fleet.sendFor(6000, 1);
    t.true(fleet.findPeak(6000) <= allowed, `${fleet.findPeak(6000)} of ${allowed}`);
  });
}

test('hosts that demand more than a limit use most of it', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 7, requestsPerS: 3.7 });
  await fleet.sendFor(4000, 0.05);
  const before = fleet.sent;
  await fleet.sendFor(20_000, 0.05);
  const share = (fleet.sent - before) / (20 * 3.7);
  t.true(share > 0.85 && share <= 1.05, String(share));
});

test('the limit is kept while the store is away', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 7, requestsPerS: 3 });
  fleet.isStoreDown = true;
  await fleet.sendFor(12_000, 0.5);
  t.true(fleet.findPeak(6000) <= 23, String(fleet.findPeak(6000)));
});

test('a limit that has ended is lifted on all hosts, also on those that sent nothing', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 61, requestsPerS: 2 });
  await fleet.sendFor(6000, 0.5);
  const listIntervals = () => fleet.boards.map((board) => board.endpoints.get(ENDPOINT)?.attemptIntervalMs);
  t.true(listIntervals().includes(Infinity));
  fleet.requestsPerS = undefined;
  await fleet.sendFor(12_000, 0.5);
  t.true(listIntervals().every((interval) => interval === undefined));
});

test('a new incarnation of an endpoint begins without a limit', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 7, requestsPerS: 2 });
  await fleet.sendFor(4000, 0.5);
  const [{ endpoints } = new Blackboard()] = fleet.boards;
  t.is(endpoints.get(ENDPOINT)?.maxRequestsPerS, 2);
  endpoints.set(ENDPOINT, createTestEndpoint(ENDPOINT, { inFlightLimit: 64, incarnation: 2 }));
  await fleet.clock.advance(100);
  t.like(endpoints.get(ENDPOINT), { maxRequestsPerS: undefined, nextAttemptAt: undefined });
});

// Guards against a limit that hosts which start later, or were not told, do not keep, because a restored store lost it.
test('a limit that a restored store lacks is written again by one of the first hosts', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 61, requestsPerS: 2, storeLagMs: 20 });
  await fleet.sendFor(4000, 0.5);
  const writes = [await fleet.restore(), await fleet.restore()];
  t.true(
    writes.every((count) => count >= 1 && count <= 10),
    writes.join(),
  );
});

// Guards against LIMIT: an announcement that expires and comes back, as its heartbeats were lost, is no new process.
for (const [hostCount, requestsPerS, isStoreDown] of [
  [7, 3, false],
  [7, 3, true],
  [61, 2.4, false],
] as const) {
  const store = isStoreDown ? 'is away' : 'has it';
  test(`${hostCount} hosts keep to the limit of an endpoint that is announced again if the store ${store}`, async (t) => {
    const fleet = await startRateLimitedFleet({ hostCount, requestsPerS });
    fleet.isStoreDown = isStoreDown;
    await fleet.sendFor(8000, 0.5);
    fleet.removeEndpoint();
    await fleet.clock.advance(1500);
    fleet.addEndpoint();
    await fleet.sendFor(6000, 0.5);
    const allowed = 1.5 * 4 * requestsPerS + 5;
    t.true(fleet.findPeak(6000) <= allowed, `${fleet.findPeak(6000)} of ${allowed}`);
  });
}

// Guards against LIMIT: a host that takes an endpoint for gone ends its limit for the hosts that still send to it.
test('hosts that know an endpoint keep to its limit after another host has lost it', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 61, requestsPerS: 2.4 });
  await fleet.sendFor(8000, 0.5);
  fleet.removeEndpoint(fleet.boards.slice(0, 1));
  await fleet.sendFor(14_000, 0.5);
  t.true(fleet.findPeak(6000) <= 19.4, `${fleet.findPeak(6000)} of 19.4`);
});

// Guards against records of endpoints that are gone, which would fill the store.
test('the shared limit of an endpoint that is gone for over an hour is deleted', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 7, requestsPerS: 3 });
  await fleet.sendFor(4000, 0.5);
  const countLimits = () =>
    fleet.boards.map(
      (board) => [...board.facts.list()].filter(({ fact }) => fact.kind === 'rate-limit').length,
    );
  fleet.removeEndpoint();
  await fleet.clock.advance(3_500_000);
  const counts = [countLimits()];
  await fleet.clock.advance(800_000);
  counts.push(countLimits());
  t.deepEqual(counts, [Array(7).fill(1), Array(7).fill(0)]);
});

// Guards against LIMIT: a write that ended an earlier limit and is carried out late ends the present one.
test('a limit that an endpoint names again outlasts a late write of its end', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 61, requestsPerS: 2.4 });
  await fleet.sendFor(6000, 0.5);
  fleet.isLosingWrites = true;
  fleet.requestsPerS = undefined;
  await fleet.sendFor(3000, 0.5);
  fleet.requestsPerS = 2.4;
  await fleet.sendFor(8000, 0.5);
  const settledAt = fleet.clock.now();
  fleet.applyLateWrites();
  await fleet.sendFor(6000, 0.5);
  t.true(fleet.findPeak(settledAt) <= 19.4, `${fleet.findPeak(settledAt)} of 19.4`);
});

// Guards against a limit that stays on hosts of this build because one of the build before has deleted its record.
test('a limit whose record is deleted ends, unless an endpoint names it again', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 61, requestsPerS: 2.4 });
  await fleet.sendFor(6000, 0.5);
  const countLimited = () =>
    fleet.boards.filter((board) => board.endpoints.get(ENDPOINT)?.maxRequestsPerS !== undefined).length;
  fleet.deleteLimit();
  await fleet.sendFor(6000, 0.5);
  const named = countLimited();
  fleet.requestsPerS = undefined;
  fleet.deleteLimit();
  await fleet.sendFor(6000, 0.5);
  t.deepEqual([named, countLimited()], [61, 0]);
});

// Guards against LIMIT: the store carries out the lost write of an end after the endpoint has named its limit again.
test('a limit that is named again is written again if the write of its end has no reply', async (t) => {
  const fleet = await startRateLimitedFleet({ hostCount: 7, requestsPerS: 2.4 });
  await fleet.sendFor(6000, 0.5);
  fleet.isLosingWrites = true;
  fleet.requestsPerS = undefined;
  await fleet.sendFor(3000, 0.5);
  fleet.requestsPerS = 2.4;
  await fleet.sendFor(3000, 0.5);
  fleet.isLosingWrites = false;
  await fleet.sendFor(4000, 0.5);
  fleet.applyLateWrites();
  await fleet.clock.advance(8000);
  t.true(fleet.boards.every((board) => board.endpoints.get(ENDPOINT)?.maxRequestsPerS === 2.4));
});

// Guards against LIMIT: the queue is emptied into an endpoint whose limit is known from the store before it is in force.
test('requests that wait keep to the known limit of an endpoint that appears', async (t) => {
  const board = new Blackboard();
  const clock = new ManualClock();
  const random = createSeededRandom(21);
  const common = { board, clock, host: 'h-0', random };
  new RateLimitController({
    ...common,
    store: { writeRateLimit: () => Promise.resolve(Result.ok(1)) },
    computeAttemptInterval: createComputeAttemptInterval(hashTexts),
  });
  new RouteController({
    ...common,
    zone: 'a',
    index: new EndpointIndex({ board, host: 'h-0', zone: 'a', hashTexts }),
    chooseEndpoint: ({ candidates, lengthClass }) =>
      candidates.find((endpoint) => hasRoom(endpoint, lengthClass))?.id,
    createId: () => `a-${board.attempts.size}`,
    isChosenVersionAllowed: () => true,
  });
  const limit = { endpoint: ENDPOINT, startedAt: 1, requestsPerS: 2 };
  board.facts.set('limit', { key: 'limit', revision: 1, fact: { kind: 'rate-limit', limit } });
  board.endpoints.set('busy', createTestEndpoint('busy', { inFlight: 8, inFlightLimit: 8 }));
  for (let index = 0; index < 20; index += 1)
    board.requests.set(`r-${index}`, createTestRequest(`r-${index}`));
  const sent = [board.attempts.size];
  board.endpoints.set(ENDPOINT, createTestEndpoint(ENDPOINT, { inFlightLimit: 64, incarnation: 1 }));
  sent.push(board.attempts.size);
  for (let second = 0; second < 4; second += 1) {
    await clock.advance(1000);
    sent.push(board.attempts.size);
  }
  t.deepEqual(sent.slice(0, 2), [0, 0]);
  t.true(sent.at(-1)! >= 6 && sent.at(-1)! <= 9, sent.join());
});

// Guards against LIMIT: the end of a limit that an earlier process named counts for its successor.
test('an answer of an earlier process does not end the limit of an endpoint', (t) => {
  const board = new Blackboard();
  const clock = new ManualClock();
  const handlers: ((part: AttemptPart) => void)[] = [];
  new AttemptController({
    board,
    clock,
    runAttempt: (_call, onPart) => {
      handlers.push(onPart);
      return new Promise(() => undefined);
    },
    deliverChunk: () => undefined,
  });
  board.endpoints.set(ENDPOINT, createTestEndpoint(ENDPOINT, { incarnation: 1 }));
  const request = createTestRequest('r-1');
  board.requests.set('r-1', request);
  const rest = { expectedTokens: 1, lengthClass: 'short' as const, now: 0 };
  planAttempt(board, { id: 'a-1', role: 'primary', request, endpoint: ENDPOINT, ...rest });
  board.endpoints.set(ENDPOINT, createTestEndpoint(ENDPOINT, { incarnation: 2, maxRequestsPerS: 2 }));
  for (const handlePart of handlers) handlePart({ kind: 'rate-limit', requestsPerS: undefined });
  t.is(handlers.length, 1);
  t.is(board.endpoints.get(ENDPOINT)?.maxRequestsPerS, 2);
});

// Guards against logs that name another host as the source of a limit that an answer to this host named.
test('the log tells whether an answer or another host named a limit', async (t) => {
  const board = new Blackboard();
  const clock = new ManualClock();
  const logged: unknown[] = [];
  new DecisionRecorder({
    board,
    clock,
    record: (kind, { source }) => kind === 'endpoint.limited' && logged.push(source),
  });
  new RateLimitController({
    board,
    clock,
    host: 'h-0',
    random: createSeededRandom(21),
    store: { writeRateLimit: () => Promise.resolve(Result.ok(3)) },
    computeAttemptInterval: ({ requestsPerS }) => 1000 / requestsPerS,
  });
  new AttemptController({
    board,
    clock,
    runAttempt: (_call, onPart) => {
      onPart({ kind: 'rate-limit', requestsPerS: 4 });
      return new Promise(() => undefined);
    },
    deliverChunk: () => undefined,
  });
  board.endpoints.set(ENDPOINT, createTestEndpoint(ENDPOINT, { incarnation: 1 }));
  const limit = { endpoint: ENDPOINT, startedAt: 1, requestsPerS: 2 };
  board.facts.set('limit', { key: 'limit', revision: 1, fact: { kind: 'rate-limit', limit } });
  await clock.advance(5000);
  const request = createTestRequest('r-1');
  board.requests.set('r-1', request);
  const rest = { expectedTokens: 1, lengthClass: 'short' as const, now: clock.now() };
  planAttempt(board, { id: 'a-1', role: 'primary', request, endpoint: ENDPOINT, ...rest });
  t.deepEqual(logged, ['shared', 'answer']);
});

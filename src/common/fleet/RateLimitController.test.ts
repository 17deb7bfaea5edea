import test from 'ava';
import { Result } from 'true-myth';
import { hashTexts, createSeededRandom } from '../../adapters/Random.js';
import { createTestEndpoint, createTestRequest } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { hasRoom } from '../policy/Endpoints.js';
import { createComputeAttemptInterval } from '../policy/RateLimitShares.js';
import { planAttempt, releaseAttempt } from '../request/AttemptPlan.js';
import { AttemptController } from '../request/AttemptController.js';
import { EndpointIndex } from '../request/EndpointIndex.js';
import { RouteController } from '../request/RouteController.js';
import { DecisionRecorder } from '../timeline/DecisionRecorder.js';
import type { AttemptPart } from '../request/Types.js';
import type { Millis } from '../Types.js';
import { HostPresenceController } from './HostPresenceController.js';
import { RateLimitController } from './RateLimitController.js';
import type { StoreError } from '../coordination/Types.js';
import type { FleetFact, IFactStore } from './Types.js';

const ENDPOINT = 'e-1';
const STEP_MS = 20;

interface IFleetOptions {
  hostCount: number;
  requestsPerS: number;
  /** Time after which a host reads what another wrote. Default 700. */
  storeLagMs?: Millis;
}

/** Hosts that share a store and send requests to one endpoint, which names its limit in each answer. */
class Fleet {
  public readonly clock = new ManualClock();
  public readonly boards: Blackboard[] = [];
  public isStoreDown = false;
  /** Whether writes have no reply and are carried out later. */
  public isLosingWrites = false;
  /** Limit that the endpoint names. */
  public requestsPerS: number | undefined;
  /** Times of the requests that hosts sent 500 ms or more after an answer had told them the limit. */
  public readonly countedAt: Millis[] = [];
  public sent = 0;
  private readonly _toldAt = new Map<Blackboard, Millis>();
  private readonly _random = createSeededRandom(21);
  private readonly _lateWrites: (() => void)[] = [];
  /** Revisions of the records of limits. */
  private readonly _limitRevisions = new Map<string, number>();
  private _revision = 0;
  private _era = 0;
  private readonly _lagMs: Millis;

  constructor({ hostCount, requestsPerS, storeLagMs = 700 }: IFleetOptions) {
    this.requestsPerS = requestsPerS;
    this._lagMs = storeLagMs;
    for (let index = 0; index < hostCount; index += 1) this._addHost(`h-${index}`);
  }

  /** Lets each host send with a probability in each step, if its endpoint has room. */
  public async sendFor(durationMs: Millis, probability: number): Promise<void> {
    for (const end = this.clock.now() + durationMs; this.clock.now() < end;) {
      for (const board of this.boards) if (this._random() < probability) this._sendIfAllowed(board);
      await this.clock.advance(STEP_MS);
    }
  }

  /** Takes the endpoint off the boards of some hosts, as when its announcement has expired in the store. */
  public removeEndpoint(boards: readonly Blackboard[] = this.boards): void {
    for (const { endpoints } of boards) endpoints.delete(ENDPOINT);
  }

  /** Puts the endpoint, whose process has not changed, on the boards that lack it. */
  public addEndpoint(): void {
    for (const { endpoints } of this.boards)
      if (!endpoints.has(ENDPOINT))
        endpoints.set(ENDPOINT, createTestEndpoint(ENDPOINT, { inFlightLimit: 64, incarnation: 1 }));
  }

  /** Deletes the record of the limit, as a host of the build before does. */
  public deleteLimit(): void {
    this._limitRevisions.clear();
    void this._write(`limit ${ENDPOINT}`, undefined);
  }

  /** Carries out the writes whose replies were lost. */
  public applyLateWrites(): void {
    this.isLosingWrites = false;
    for (const write of this._lateWrites.splice(0)) write();
  }

  /** Restores the store from a copy without the limit, of which all hosts learn. Returns the number of writes that follow. */
  public async restore(): Promise<number> {
    const before = this._revision;
    this._era += 1;
    this._limitRevisions.clear();
    for (const board of this.boards) board.storeConnection.update('store', { era: this._era });
    await this.clock.advance(2000);
    return this._revision - before;
  }

  /** Largest number of counted requests in any 4 s after the first `fromMs`. */
  public findPeak(fromMs: Millis): number {
    const times = this.countedAt.filter((at) => at >= fromMs);
    return Math.max(
      0,
      ...times.map((start) => times.filter((at) => at >= start && at < start + 4000).length),
    );
  }

  private _addHost(host: string): void {
    const board = new Blackboard();
    this.boards.push(board);
    const { clock } = this;
    const common = { board, clock, host, random: this._random, readWallClock: clock.now, store: this._store };
    new HostPresenceController(common);
    new RateLimitController({ ...common, computeAttemptInterval: createComputeAttemptInterval(hashTexts) });
    board.endpoints.set(ENDPOINT, createTestEndpoint(ENDPOINT, { inFlightLimit: 64, incarnation: 1 }));
    board.storeConnection.set('store', {
      state: 'connected',
      changedAt: 0,
      revision: 1,
      losses: 0,
      changesSince: 0,
    });
  }

  private _sendIfAllowed(board: Blackboard): void {
    const now = this.clock.now();
    const endpoint = board.endpoints.get(ENDPOINT);
    if (!endpoint || !hasRoom(endpoint, 'short')) return;
    this.sent += 1;
    const id = `r-${this.sent}`;
    const request = createTestRequest(id);
    board.requests.set(id, request);
    const rest = { expectedTokens: 1, lengthClass: 'short' as const, now };
    planAttempt(board, { id, role: 'primary', request, endpoint: ENDPOINT, ...rest });
    if (now - (this._toldAt.get(board) ?? Infinity) >= 500) this.countedAt.push(now);
    this.clock.schedule(100, () => {
      releaseAttempt(board, id);
      board.requests.delete(id);
      board.attempts.delete(id);
      const { requestsPerS: maxRequestsPerS } = this;
      if (maxRequestsPerS !== undefined && !this._toldAt.has(board))
        this._toldAt.set(board, this.clock.now());
      if (board.endpoints.get(ENDPOINT)?.maxRequestsPerS === undefined && maxRequestsPerS === undefined)
        return;
      board.endpoints.update(ENDPOINT, { maxRequestsPerS, rateLimitHeardAt: this.clock.now() });
    });
  }

  private _write(key: string, fact: FleetFact | undefined): Promise<Result<number, StoreError>> {
    if (this.isLosingWrites) this._lateWrites.push(() => void this._write(key, fact));
    if (this.isStoreDown || this.isLosingWrites)
      return Promise.resolve(Result.err({ kind: 'unknown-outcome', message: 'down' }));
    this._revision += 1;
    const [revision, era] = [this._revision, this._era];
    this.clock.schedule(this._lagMs, () => {
      for (const { facts } of this.boards) {
        if (fact) facts.set(key, { key, revision, era, fact });
        else facts.delete(key);
      }
    });
    return Promise.resolve(Result.ok(revision));
  }

  /** Writes if the record has the expected revision when the write is carried out, late ones too. */
  private readonly _writeLimit: IFactStore['writeRateLimit'] = (endpoint, limit, expectedRevision, era) => {
    if (this.isLosingWrites)
      this._lateWrites.push(() => void this._writeLimit(endpoint, limit, expectedRevision, era));
    if (this.isStoreDown || this.isLosingWrites)
      return Promise.resolve(Result.err({ kind: 'unknown-outcome', message: 'down' }));
    const key = `limit ${endpoint}`;
    if (era !== this._era || (this._limitRevisions.get(key) ?? 0) !== expectedRevision)
      return Promise.resolve(Result.err({ kind: 'conflict', current: undefined }));
    this._limitRevisions.set(key, limit ? this._revision + 1 : 0);
    return this._write(key, limit && { kind: 'rate-limit', limit });
  };

  private readonly _store: Pick<IFactStore, 'writeHostPresence' | 'writeRateLimit'> = {
    writeHostPresence: (presence) =>
      this._write(`host ${presence.host}`, { kind: 'host-presence', presence }),
    writeRateLimit: this._writeLimit,
  };
}

async function startFleet(options: IFleetOptions): Promise<Fleet> {
  const fleet = new Fleet(options);
  await fleet.clock.advance(3000);
  return fleet;
}

// Guards against LIMIT: each host alone keeps to a rate that holds for all hosts together.
for (const [hostCount, requestsPerS] of [
  [7, 3.7],
  [7, 0.4],
  [61, 2.4],
  [61, 0.9],
  [340, 12],
] as const) {
  test(`${hostCount} hosts together keep to a limit of ${requestsPerS} a second, also in bursts`, async (t) => {
    const fleet = await startFleet({ hostCount, requestsPerS });
    const allowed = 1.5 * 4 * requestsPerS + 5;
    await fleet.sendFor(12_000, 0.5);
    await fleet.clock.advance(20_000);
    await fleet.sendFor(6000, 1);
    t.true(fleet.findPeak(6000) <= allowed, `${fleet.findPeak(6000)} of ${allowed}`);
  });
}

test('hosts that demand more than a limit use most of it', async (t) => {
  const fleet = await startFleet({ hostCount: 7, requestsPerS: 3.7 });
  await fleet.sendFor(4000, 0.05);
  const before = fleet.sent;
  await fleet.sendFor(20_000, 0.05);
  const share = (fleet.sent - before) / (20 * 3.7);
  t.true(share > 0.85 && share <= 1.05, String(share));
});

test('the limit is kept while the store is away', async (t) => {
  const fleet = await startFleet({ hostCount: 7, requestsPerS: 3 });
  fleet.isStoreDown = true;
  await fleet.sendFor(12_000, 0.5);
  t.true(fleet.findPeak(6000) <= 23, String(fleet.findPeak(6000)));
});

test('a limit that has ended is lifted on all hosts, also on those that sent nothing', async (t) => {
  const fleet = await startFleet({ hostCount: 61, requestsPerS: 2 });
  await fleet.sendFor(6000, 0.5);
  const listIntervals = () => fleet.boards.map((board) => board.endpoints.get(ENDPOINT)?.attemptIntervalMs);
  t.true(listIntervals().includes(Infinity));
  fleet.requestsPerS = undefined;
  await fleet.sendFor(12_000, 0.5);
  t.true(listIntervals().every((interval) => interval === undefined));
});

test('a new incarnation of an endpoint begins without a limit', async (t) => {
  const fleet = await startFleet({ hostCount: 7, requestsPerS: 2 });
  await fleet.sendFor(4000, 0.5);
  const [{ endpoints } = new Blackboard()] = fleet.boards;
  t.is(endpoints.get(ENDPOINT)?.maxRequestsPerS, 2);
  endpoints.set(ENDPOINT, createTestEndpoint(ENDPOINT, { inFlightLimit: 64, incarnation: 2 }));
  await fleet.clock.advance(100);
  t.like(endpoints.get(ENDPOINT), { maxRequestsPerS: undefined, nextAttemptAt: undefined });
});

// Guards against a limit that hosts which start later, or were not told, do not keep, because a restored store lost it.
test('a limit that a restored store lacks is written again by one of the first hosts', async (t) => {
  const fleet = await startFleet({ hostCount: 61, requestsPerS: 2, storeLagMs: 20 });
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
    const fleet = await startFleet({ hostCount, requestsPerS });
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
  const fleet = await startFleet({ hostCount: 61, requestsPerS: 2.4 });
  await fleet.sendFor(8000, 0.5);
  fleet.removeEndpoint(fleet.boards.slice(0, 1));
  await fleet.sendFor(14_000, 0.5);
  t.true(fleet.findPeak(6000) <= 19.4, `${fleet.findPeak(6000)} of 19.4`);
});

// Guards against records of endpoints that are gone, which would fill the store.
test('the shared limit of an endpoint that is gone for over an hour is deleted', async (t) => {
  const fleet = await startFleet({ hostCount: 7, requestsPerS: 3 });
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
  const fleet = await startFleet({ hostCount: 61, requestsPerS: 2.4 });
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
  const fleet = await startFleet({ hostCount: 61, requestsPerS: 2.4 });
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
  const fleet = await startFleet({ hostCount: 7, requestsPerS: 2.4 });
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

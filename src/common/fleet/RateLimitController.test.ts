import test from 'ava';
import { Result } from 'true-myth';
import { hashTexts, createSeededRandom } from '../../adapters/Random.js';
import { createTestEndpoint, createTestRequest } from '../../testing/EntryFixtures.js';
import { ManualClock } from '../../testing/ManualClock.js';
import { Blackboard } from '../blackboard/Blackboard.js';
import { hasRoom } from '../policy/Endpoints.js';
import { createComputeAttemptInterval } from '../policy/RateLimitShares.js';
import { planAttempt, releaseAttempt } from '../request/AttemptPlan.js';
import type { Millis } from '../Types.js';
import { HostPresenceController } from './HostPresenceController.js';
import { RateLimitController } from './RateLimitController.js';
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
  /** Limit that the endpoint names. */
  public requestsPerS: number | undefined;
  /** Times of the requests that hosts sent 500 ms or more after an answer had told them the limit. */
  public readonly countedAt: Millis[] = [];
  public sent = 0;
  private readonly _toldAt = new Map<Blackboard, Millis>();
  private readonly _random = createSeededRandom(21);
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

  /** Restores the store from a copy without the limit, of which all hosts learn. Returns the number of writes that follow. */
  public async restore(): Promise<number> {
    const before = this._revision;
    this._era += 1;
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
    const endpoint = board.endpoints.get(ENDPOINT)!;
    if (!hasRoom(endpoint, 'short')) return;
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

  private _write(key: string, fact: FleetFact | undefined): Promise<Result<number, never>> {
    if (this.isStoreDown)
      return Promise.resolve(Result.err({ kind: 'unavailable', message: 'down' }) as Result<number, never>);
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

  private readonly _store: Pick<IFactStore, 'writeHostPresence' | 'writeRateLimit'> = {
    writeHostPresence: (presence) =>
      this._write(`host ${presence.host}`, { kind: 'host-presence', presence }),
    writeRateLimit: (limit) =>
      this._write(
        `limit ${limit.endpoint}`,
        limit.requestsPerS === undefined ? undefined : { kind: 'rate-limit', limit },
      ),
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

import { Result } from 'true-myth';
import { hashTexts, createSeededRandom } from '../adapters/Random.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { StoreError } from '../common/coordination/Types.js';
import { HostPresenceController } from '../common/fleet/HostPresenceController.js';
import { RateLimitController } from '../common/fleet/RateLimitController.js';
import type { FleetFact, IFactStore } from '../common/fleet/Types.js';
import { hasRoom } from '../common/policy/Endpoints.js';
import { createComputeAttemptInterval } from '../common/policy/RateLimitShares.js';
import { planAttempt, releaseAttempt } from '../common/request/AttemptPlan.js';
import type { Millis } from '../common/Types.js';
import { createTestEndpoint, createTestRequest } from './EntryFixtures.js';
import { ManualClock } from './ManualClock.js';

/** The endpoint of the fleet. */
export const ENDPOINT = 'e-1';
const STEP_MS = 20;

/** Options of a fleet whose endpoint limits its rate. */
export interface IRateLimitedFleetOptions {
  hostCount: number;
  requestsPerS: number;
  /** Time after which a host reads what another wrote. Default 700. */
  storeLagMs?: Millis;
}

/** Hosts that share a store and send requests to one endpoint, which names its limit in each answer. */
export class RateLimitedFleet {
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

  constructor({ hostCount, requestsPerS, storeLagMs = 700 }: IRateLimitedFleetOptions) {
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

/** Starts a fleet and waits until its hosts know one another. */
export async function startRateLimitedFleet(options: IRateLimitedFleetOptions): Promise<RateLimitedFleet> {
  const fleet = new RateLimitedFleet(options);
  await fleet.clock.advance(3000);
  return fleet;
}

import { createSeededRandom, hashTexts } from '../adapters/Random.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IEndpointEntry } from '../common/blackboard/Types.js';
import { ColdEndpointController } from '../common/fleet/ColdEndpointController.js';
import { HostPresenceController } from '../common/fleet/HostPresenceController.js';
import type { IHostLimits } from '../common/fleet/Types.js';
import { createChooseByAffinity } from '../common/policy/Affinity.js';
import { createDecideColdPaces } from '../common/policy/ColdPaces.js';
import { createChooseEarliestStart } from '../common/policy/EarliestStart.js';
import { refuseIfWaitReachesDeadline } from '../common/policy/Queueing.js';
import { createComputeSharedInterval, splitColdRate } from '../common/policy/RateLimitShares.js';
import { releaseAttempt } from '../common/request/AttemptPlan.js';
import { EndpointIndex } from '../common/request/EndpointIndex.js';
import { RouteController } from '../common/request/RouteController.js';
import type { IRoutingTable } from '../common/routes/Types.js';
import type { Millis } from '../common/Types.js';
import { Result } from 'true-myth';
import { createTestEndpoint, createTestRequest } from './EntryFixtures.js';
import { ManualClock } from './ManualClock.js';

/** Routing table whose service `drafts` has endpoints that are cold after a start. */
export const COLD_ROUTING: IRoutingTable = {
  version: 1,
  routesByHost: new Map(),
  services: new Map([
    [
      'drafts',
      {
        name: 'drafts',
        models: [],
        maxConnections: 800,
        coldStart: { durationMs: 3000, requestsPerS: 17 },
      },
    ],
  ]),
  accountsByKey: undefined,
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
};

/** Limits of a host whose deployment bounds the requests to a cold endpoint: 30.5 in a second. */
export const COLD_LIMITS: IHostLimits = {
  maxRetryShare: 0.9,
  sessionRetentionMs: 8500,
  maxExposureShare: 0.15,
  exposureSlack: 30,
  shutdownTimeoutMs: 8000,
  storeContactMs: 4000,
  maxApplyDelayMs: 3000,
  coldRateFactor: 1.5,
  coldRateSlack: 5,
};

/** A host of the fleet. */
export interface IColdHost {
  id: string;
  board: Blackboard;
  /** Difference of its time of day, which announcements of hosts are compared with. */
  wallOffsetMs: Millis;
}

/** Hosts that route requests to endpoints, which record when requests arrive. Each host hears what a test tells it. */
export class ColdFleet {
  public readonly clock = new ManualClock();
  public readonly hosts: IColdHost[] = [];
  /** Times of arrival, by endpoint. */
  public readonly arrivals = new Map<string, Millis[]>();
  public refused = 0;
  public sent = 0;
  /** Largest number of requests that ran at a time, by endpoint. */
  public readonly peakRunning = new Map<string, number>();
  public readonly random: () => number;
  private readonly _running = new Map<string, number>();
  private _lastRequest = 0;

  constructor(hostCount: number, seed: number) {
    this.random = createSeededRandom(seed);
    for (let index = 0; index < hostCount; index += 1) this._addHost(`h-${index}`);
    for (const host of this.hosts) this.putAnnouncements(host, this.hosts);
  }

  /** Lets a host read the announcements of others. */
  public putAnnouncements({ board }: IColdHost, others: readonly IColdHost[]): void {
    for (const { id } of others) {
      const presence = { host: id, announcedAt: this.clock.now() };
      const key = `hosts/${id}`;
      board.facts.set(key, { key, revision: 1, fact: { kind: 'host-presence', presence } });
    }
  }

  /** Lists an endpoint on a host's board. */
  public addEndpoint({ board }: IColdHost, id: string, patch: Partial<IEndpointEntry> = {}): void {
    const entry = { healthChangedAt: this.clock.now(), incarnation: 1, inFlightLimit: 1, ...patch };
    board.endpoints.set(id, createTestEndpoint(id, entry));
  }

  /** Sends requests to hosts picked at random, and lets the time pass. */
  public async sendFor(durationMs: Millis, requestsPerS: number): Promise<void> {
    const end = this.clock.now() + durationMs;
    for (;;) {
      const waitMs = (-Math.log(1 - this.random()) * 1000) / requestsPerS;
      if (this.clock.now() + waitMs >= end) break;
      await this.clock.advance(waitMs);
      const { board } = this.hosts[Math.floor(this.random() * this.hosts.length)] ?? {
        board: new Blackboard(),
      };
      const id = `r-${(this._lastRequest += 1)}`;
      const receivedAt = this.clock.now();
      board.requests.set(id, createTestRequest(id, { receivedAt, deadlineAt: receivedAt + 4000 }));
    }
    await this.clock.advance(end - this.clock.now());
  }

  /** Largest number of requests that arrived at an endpoint in any second that begins at or after `from`. */
  public findPeak(endpoint: string, from: Millis, to = Infinity): number {
    const times = (this.arrivals.get(endpoint) ?? [])
      .filter((at) => at >= from && at < to)
      .sort((first, second) => first - second);
    let peak = 0;
    let first = 0;
    for (const [last, at] of times.entries()) {
      while (at - (times[first] ?? at) >= 1000) first += 1;
      peak = Math.max(peak, last - first + 1);
    }
    return peak;
  }

  private _addHost(id: string): void {
    const board = new Blackboard();
    const host: IColdHost = { id, board, wallOffsetMs: 0 };
    this.hosts.push(host);
    const { clock, random } = this;
    const common = { board, clock, host: id, random };
    board.limits.set('in-force', COLD_LIMITS);
    board.routing.set('in-force', COLD_ROUTING);
    new HostPresenceController({
      ...common,
      store: { writeHostPresence: () => Promise.resolve(Result.ok(1)) },
      readWallClock: () => clock.now() + host.wallOffsetMs,
    });
    const computeInterval = createComputeSharedInterval(hashTexts, splitColdRate);
    new ColdEndpointController({ ...common, decideColdPaces: createDecideColdPaces(computeInterval) });
    const hashToFraction = (text: string): number => parseInt(hashTexts(text).slice(0, 8), 16) / 16 ** 8;
    new RouteController({
      ...common,
      zone: 'a',
      index: new EndpointIndex({ board, host: id, zone: 'a', hashTexts, subsetSize: Infinity }),
      chooseEndpoint: createChooseByAffinity({
        random,
        hashToFraction,
        chooseForPrompt: createChooseEarliestStart({ board, random, hashToFraction }),
      }),
      decideQueued: refuseIfWaitReachesDeadline,
      createId: () => `${id}-${(this.sent += 1)}`,
      isChosenVersionAllowed: () => true,
    });
    board.attempts.onChange(({ before, after }) => {
      if (after && !before) this._runAttempt(board, after.id, after.endpoint, after.request);
    });
    board.requests.onChange(({ after }) => {
      if (after?.phase !== 'refused') return;
      this.refused += 1;
      board.requests.delete(after.id);
    });
  }

  /** Lets a request arrive after an uneven delay, and run for a time. */
  private _runAttempt(board: Blackboard, id: string, endpoint: string, request: string): void {
    const delayMs = 200 * this.random() ** 3;
    this.clock.schedule(delayMs, () => {
      const times = this.arrivals.get(endpoint) ?? [];
      times.push(this.clock.now());
      this.arrivals.set(endpoint, times);
      const running = (this._running.get(endpoint) ?? 0) + 1;
      this._running.set(endpoint, running);
      this.peakRunning.set(endpoint, Math.max(running, this.peakRunning.get(endpoint) ?? 0));
    });
    this.clock.schedule(delayMs + 300 + 900 * this.random(), () => {
      this._running.set(endpoint, (this._running.get(endpoint) ?? 1) - 1);
      releaseAttempt(board, id);
      board.attempts.delete(id);
      board.requests.delete(request);
    });
  }
}

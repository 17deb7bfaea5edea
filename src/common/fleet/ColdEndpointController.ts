import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IColdPace, IEndpointEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { computeSettlingInterval, type DecideColdPaces, type Warmth } from '../policy/ColdPaces.js';
import { ARRIVAL_SPREAD_MS } from '../policy/RateLimitShares.js';
import { isAcceptingWork } from '../request/Candidates.js';
import type { IColdStart } from '../routes/Types.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import { HostCensus } from './HostCensus.js';

/** Options of the cold endpoint controller. */
export interface IColdEndpointOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  /** Id of this host. */
  host: string;
  decideColdPaces: DecideColdPaces;
}

/** Time over which the hosts begin to send to an endpoint that has just become usable. */
const SETTLING_MS: Millis = 2000;

/** Time after which what this host has sent before no longer counts in the same second as what it sends then. */
const WINDOW_MS: Millis = 1000 + ARRIVAL_SPREAD_MS;

/** Time for which a drawn turn stays open. It only has to reach the queue, which is served at once. */
const DRAWN_TURN_MS: Millis = 20;

/** Time by which changes of the present hosts are collected, because hosts are often announced many at a time. */
const HOSTS_DELAY_MS: Millis = 100;

/** Timers may run a little early. The end of a phase that is looked at before it is due would not be looked at again. */
const TIMER_MARGIN_MS: Millis = 5;

/** Largest number of endpoints that are gone whose pace is remembered. */
const MAX_DEPARTED = 1024;

/**
 * Keeps this host to its part of the bound on requests to cold endpoints, without messages to other hosts. It writes the
 * pace of each endpoint, and when it stops being cold. An endpoint is cold as long as it says, and for the service's
 * warm-up time after an evacuation of its zone. Without a bound in the host's limits or the configuration of the
 * service, it does nothing.
 */
export class ColdEndpointController extends Disposable {
  /** Timers by endpoint that end the phase of an endpoint. */
  private readonly _phaseTimers = new Map<string, IDisposable>();
  /** Timers by endpoint that open a turn, or end one that was drawn. */
  private readonly _turnTimers = new Map<string, IDisposable>();
  /** Last entries of endpoints that this host has used and that are not announced any more, by endpoint. */
  private readonly _departed = new Map<string, IEndpointEntry>();
  private readonly _census: HostCensus;
  private readonly _createdAt: Millis;
  private _hostsTimer: IDisposable | undefined;

  constructor(private readonly _options: IColdEndpointOptions) {
    super();
    const { board, clock, host } = _options;
    this._createdAt = clock.now();
    this._census = this._register(
      new HostCensus({
        board,
        clock,
        host,
        onChange: () => {
          this._scheduleRefresh();
        },
      }),
    );
    this._register(
      board.endpoints.onChange(({ key, before, after }) => {
        if (after) this._handleChange(before, after);
        else if (before) this._removeEndpoint(key, before);
      }),
    );
    for (const panel of [board.routing, board.limits, board.evacuatedZones])
      this._register(
        panel.onChange(() => {
          this._refreshAll();
        }),
      );
  }

  public override dispose(): void {
    super.dispose();
    this._hostsTimer?.dispose();
    for (const timers of [this._phaseTimers, this._turnTimers]) {
      for (const timer of timers.values()) timer.dispose();
      timers.clear();
    }
  }

  private _handleChange(before: IEndpointEntry | undefined, after: IEndpointEntry): void {
    const isSameProcess = before !== undefined && isProcessOf(before, after);
    if (!isSameProcess) this._restorePace(after);
    const isRecovered = isSameProcess && before.health !== 'healthy' && after.health === 'healthy';
    const hasChanged =
      !isSameProcess ||
      before.health !== after.health ||
      before.isEvacuated !== after.isEvacuated ||
      before.warmAt !== after.warmAt;
    if (hasChanged) this._refreshService(after.service, isSameProcess && !isRecovered ? undefined : after.id);
    if (after.coldPace !== before?.coldPace) this._scheduleTurn(after.id);
  }

  private _scheduleRefresh(): void {
    this._hostsTimer ??= this._options.clock.schedule(HOSTS_DELAY_MS, () => {
      this._hostsTimer = undefined;
      this._refreshAll();
    });
  }

  private _refreshAll(): void {
    const services = new Set([...this._options.board.endpoints.list()].map(({ service }) => service));
    for (const service of services) this._refreshService(service);
  }

  /** Brings the paces of a service's endpoints in line. `settlingId` is one that this host has not been able to use. */
  private _refreshService(service: string, settlingId?: string): void {
    const { board } = this._options;
    const endpoints = [...board.endpoints.list()].filter((endpoint) => endpoint.service === service);
    const maxRequestsPerS = this._findBound(service);
    if (maxRequestsPerS === undefined) {
      for (const { id, coldPace } of endpoints)
        if (coldPace) board.endpoints.update(id, { coldPace: undefined });
      return;
    }
    for (const endpoint of endpoints) this._updateAfterEvacuation(endpoint);
    const current = endpoints.map(({ id }) => board.endpoints.get(id)).filter((entry) => entry !== undefined);
    this._updateColdPaces(current, maxRequestsPerS);
    for (const endpoint of current) {
      if (this._isEvacuated(endpoint)) this._updateEvacuated(endpoint);
      else if (!this._isCold(endpoint))
        this._updateWarm(endpoint, current, maxRequestsPerS, endpoint.id === settlingId);
    }
  }

  /** Finds the requests that a cold endpoint may get in a second; `undefined` if the deployment sets no bound. */
  private _findBound(service: string): number | undefined {
    const coldStart = this._findColdStart(service);
    const { coldRateFactor, coldRateSlack } = this._options.board.limits.get('in-force') ?? {};
    if (!coldStart || coldRateFactor === undefined || coldRateSlack === undefined) return undefined;
    return coldStart.requestsPerS * coldRateFactor + coldRateSlack;
  }

  private _findColdStart(service: string): IColdStart | undefined {
    return this._options.board.routing.get('in-force')?.services.get(service)?.coldStart;
  }

  private _isEvacuated({ isEvacuated, zone }: Readonly<IEndpointEntry>): boolean {
    return isEvacuated === true || this._options.board.evacuatedZones.has(zone);
  }

  private _isCold({ warmAt = -Infinity }: Readonly<IEndpointEntry>): boolean {
    return warmAt > this._options.clock.now();
  }

  private _classifyWarmth(endpoint: Readonly<IEndpointEntry>): Warmth {
    if (!isAcceptingWork(endpoint) || this._isEvacuated(endpoint)) return 'unusable';
    if (this._isCold(endpoint)) return 'cold';
    return endpoint.health === 'healthy' ? 'warm' : 'unusable';
  }

  /** Counts an endpoint as cold from the end of its zone's evacuation. */
  private _updateAfterEvacuation(endpoint: Readonly<IEndpointEntry>): void {
    const { board, clock } = this._options;
    if (endpoint.coldPace?.phase !== 'evacuated' || this._isEvacuated(endpoint)) return;
    const warmAt = clock.now() + (this._findColdStart(endpoint.service)?.durationMs ?? 0);
    if (warmAt > (endpoint.warmAt ?? -Infinity)) board.endpoints.update(endpoint.id, { warmAt });
  }

  private _updateEvacuated({ coldPace, id }: Readonly<IEndpointEntry>): void {
    if (coldPace?.phase === 'evacuated') return;
    this._setPace(id, {
      phase: 'evacuated',
      turns: 'none',
      intervalMs: Infinity,
      nextAt: Infinity,
      endsAt: undefined,
    });
  }

  private _updateColdPaces(endpoints: readonly Readonly<IEndpointEntry>[], maxRequestsPerS: number): void {
    const cold = endpoints.filter((endpoint) => this._isCold(endpoint) && !this._isEvacuated(endpoint));
    if (cold.length === 0) return;
    const { host, decideColdPaces } = this._options;
    const shares = decideColdPaces({
      endpoints: endpoints.map((endpoint) => ({ id: endpoint.id, warmth: this._classifyWarmth(endpoint) })),
      host,
      hosts: this._census.listHosts(),
      heardHosts: this._census.heardHosts,
      isMember: this._census.isMember,
      maxRequestsPerS,
    });
    for (const { coldPace: known, id, warmAt } of cold) {
      const { intervalMs, turns } = shares.get(id) ?? { intervalMs: Infinity, turns: 'none' };
      const isKept = known?.phase === 'cold' && known.turns === turns && known.intervalMs === intervalMs;
      if (isKept && known.endsAt === warmAt) continue;
      const pace: IColdPace = { phase: 'cold', turns, intervalMs, nextAt: known?.nextAt, endsAt: warmAt };
      this._setPace(id, isKept ? pace : { ...pace, nextAt: this._computeFirstTurn(id, known, pace) });
    }
  }

  /** Computes the first turn at a cold endpoint so that what this host has sent it before is out of the same second. */
  private _computeFirstTurn(id: string, known: IColdPace | undefined, pace: IColdPace): Millis | undefined {
    const { board, clock, random } = this._options;
    const now = clock.now();
    const { intervalMs, turns } = pace;
    if (turns === 'none') return Infinity;
    const isPaced = known?.phase === 'cold' && known.turns === 'fixed' && turns === 'fixed';
    // The turn that is due was computed from the last request by the interval before.
    if (isPaced) return Math.max(now, known.nextAt ?? now) + Math.max(0, intervalMs - known.intervalMs);
    const { lastAttemptAt } = board.endpoints.get(id) ?? {};
    // Hosts that have used the endpoint hear at different times that it is cold, and send until then.
    const isInUse = lastAttemptAt !== undefined && known?.turns !== 'none';
    const earliest = isInUse ? now : Math.max(this._createdAt, lastAttemptAt ?? -Infinity);
    const quietUntil = Math.max(now, earliest + WINDOW_MS);
    return quietUntil + random() * intervalMs * (turns === 'drawn' ? 2 : 1);
  }

  /** Lets the hosts begin to send, one after another, to an endpoint that has just become usable. */
  private _updateWarm(
    { coldPace: known, healthChangedAt, id }: Readonly<IEndpointEntry>,
    endpoints: readonly Readonly<IEndpointEntry>[],
    maxRequestsPerS: number,
    isNew: boolean,
  ): void {
    const { board, clock, random } = this._options;
    const now = clock.now();
    if (known?.phase === 'settling') {
      if ((known.endsAt ?? now) <= now) board.endpoints.update(id, { coldPace: undefined });
      return;
    }
    // Where all endpoints are new to this host, as after its start, none is more idle than the others.
    const isBesideOthers = endpoints.some(
      (other) =>
        other.id !== id && other.healthChangedAt < healthChangedAt && this._classifyWarmth(other) === 'warm',
    );
    if (!known && !(isNew && isBesideOthers)) return;
    const hostCount = Math.max(this._census.heardHosts, 1);
    this._setPace(id, {
      phase: 'settling',
      turns: 'fixed',
      intervalMs: computeSettlingInterval(hostCount, maxRequestsPerS),
      nextAt: now + SETTLING_MS * random(),
      endsAt: now + SETTLING_MS,
    });
  }

  private _setPace(id: string, coldPace: IColdPace): void {
    const { board, clock } = this._options;
    const { endsAt, phase } = coldPace;
    const { service } = board.endpoints.get(id) ?? {};
    clearTimer(this._phaseTimers, id);
    if (service !== undefined && endsAt !== undefined && phase !== 'evacuated') {
      const timer = clock.schedule(endsAt - clock.now() + TIMER_MARGIN_MS, () => {
        this._phaseTimers.delete(id);
        this._refreshService(service);
      });
      this._phaseTimers.set(id, timer);
    }
    board.endpoints.update(id, { coldPace });
  }

  /** Opens the next turn when it is due, and ends a drawn one that no request has used. */
  private _scheduleTurn(id: string): void {
    const { board, clock, random } = this._options;
    clearTimer(this._turnTimers, id);
    const { coldPace } = board.endpoints.get(id) ?? {};
    if (!coldPace || coldPace.nextAt === Infinity) return;
    const { intervalMs, nextAt, turns } = coldPace;
    if (nextAt === undefined && turns !== 'drawn') return;
    const delayMs = nextAt === undefined ? DRAWN_TURN_MS : nextAt - clock.now();
    const timer = clock.schedule(delayMs, () => {
      this._turnTimers.delete(id);
      const next = nextAt === undefined ? clock.now() + 2 * intervalMs * random() : undefined;
      board.endpoints.update(id, { coldPace: { ...coldPace, nextAt: next } });
    });
    this._turnTimers.set(id, timer);
  }

  /** Gives a process that is announced again the pace that it had. */
  private _restorePace({ id, warmAt = -Infinity }: IEndpointEntry): void {
    const { board } = this._options;
    clearTimer(this._phaseTimers, id);
    const departed = this._departed.get(id);
    this._departed.delete(id);
    const endpoint = board.endpoints.get(id);
    if (!departed || !endpoint || !isProcessOf(departed, endpoint)) return;
    const { coldPace, lastAttemptAt } = departed;
    board.endpoints.update(id, {
      ...(lastAttemptAt === undefined ? {} : { lastAttemptAt }),
      warmAt: Math.max(warmAt, departed.warmAt ?? -Infinity),
    });
    if (coldPace?.phase === 'cold') this._setPace(id, coldPace);
  }

  private _removeEndpoint(id: string, departed: IEndpointEntry): void {
    for (const timers of [this._phaseTimers, this._turnTimers]) clearTimer(timers, id);
    this._departed.delete(id);
    const hasPace = departed.coldPace !== undefined || departed.lastAttemptAt !== undefined;
    if (hasPace && this._findBound(departed.service) !== undefined) this._departed.set(id, departed);
    const [oldest] = this._departed.keys();
    if (this._departed.size > MAX_DEPARTED && oldest !== undefined) this._departed.delete(oldest);
    this._refreshService(departed.service);
  }
}

function isProcessOf(first: IEndpointEntry, second: IEndpointEntry): boolean {
  return first.incarnation === second.incarnation && first.address === second.address;
}

function clearTimer(timers: Map<string, IDisposable>, id: string): void {
  timers.get(id)?.dispose();
  timers.delete(id);
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { planAttempt } from './AttemptPlan.js';
import { formatPool, type EndpointIndex } from './EndpointIndex.js';
import { formatPrefixKey } from './PrefixController.js';
import { estimateWork } from './RouteController.js';
import type { ChooseEndpoint, DecideHedge } from './Types.js';

/** Options of the hedge controller. */
export interface IHedgeOptions {
  board: Blackboard;
  clock: IClock;
  index: EndpointIndex;
  decideHedge: DecideHedge;
  chooseEndpoint: ChooseEndpoint;
  /** Takes one attempt from the budget that hedges share with retries; false if the budget is used up. */
  takeRetryBudget: () => boolean;
  createId: () => string;
  zone: string;
}

/** Number of recent times to first output kept per pool. */
const MAX_SAMPLES = 256;

/** Number of new samples after which the kept times are sorted again. */
const SAMPLES_PER_SORT = 32;

/**
 * Hedges idempotent requests: sends a second attempt to another endpoint when the first has no output after a
 * high quantile of the time to first token, or at once when its endpoint becomes suspect. The attempt that
 * wins is kept; the others are cancelled.
 */
export class HedgeController extends Disposable {
  private readonly _timers = new Map<string, IDisposable>();
  /** Ids of attempts of idempotent requests from which the caller has received nothing yet. */
  private readonly _undeliveredByEndpoint = new Map<string, Set<string>>();
  /** Number of queued requests. */
  private readonly _queuedByPool = new Map<string, number>();
  private readonly _samplesByPool = new Map<string, FirstTokenSamples>();

  constructor(private readonly _options: IHedgeOptions) {
    super();
    const { board } = _options;
    this._register(
      board.attempts.onChange(({ before, after }) => {
        if (!before && after) this._watchAttempt(after);
        if (after && before?.phase !== after.phase) this._handlePhaseChange(after);
      }),
    );
    this._register(
      board.requests.onChange(({ before, after }) => {
        if (before?.phase === 'queued') this._countQueued(before, -1);
        if (after?.phase === 'queued') this._countQueued(after, 1);
        if (after?.winningAttempt !== undefined && before?.winningAttempt !== after.winningAttempt)
          this._cancelOtherAttempts(after);
      }),
    );
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        if (after?.health === 'suspect' && before?.health !== 'suspect') this._planEndpointHedges(after.id);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    for (const timer of this._timers.values()) timer.dispose();
    this._timers.clear();
  }

  private _watchAttempt(attempt: IAttemptEntry): void {
    const { board, clock, decideHedge } = this._options;
    const request = board.requests.get(attempt.request);
    if (!request?.isIdempotent) return;
    const undelivered = this._undeliveredByEndpoint.get(attempt.endpoint) ?? new Set<string>();
    undelivered.add(attempt.id);
    this._undeliveredByEndpoint.set(attempt.endpoint, undelivered);
    const firstTokenTimes = this._samplesByPool.get(formatPool(request))?.sorted ?? [];
    const delay = decideHedge({ request, attempt, firstTokenTimes });
    if (delay === undefined) return;
    const timer = clock.schedule(delay, () => {
      this._timers.delete(attempt.id);
      this._planHedge(attempt.id, 'no-output');
    });
    this._timers.set(attempt.id, timer);
  }

  private _handlePhaseChange(attempt: IAttemptEntry): void {
    if (attempt.phase === 'planned' || attempt.phase === 'sent') return;
    this._timers.get(attempt.id)?.dispose();
    this._timers.delete(attempt.id);
    const { endedAt, firstTokenAt, phase, plannedAt } = attempt;
    const request = this._options.board.requests.get(attempt.request);
    // A plain service sends no output before its complete answer.
    const outputAt = phase === 'streaming' ? firstTokenAt : (firstTokenAt ?? endedAt);
    const isFirstOutput = phase === 'streaming' || (phase === 'finished' && firstTokenAt === undefined);
    if (request && isFirstOutput && outputAt !== undefined) {
      this._getSamples(formatPool(request)).add(outputAt - plannedAt);
    }
    const isDelivered = phase !== 'streaming' || request?.winningAttempt !== undefined;
    if (isDelivered) this._undeliveredByEndpoint.get(attempt.endpoint)?.delete(attempt.id);
  }

  /**
   * Hedges the endpoint's attempts from which the caller has received nothing yet, as far as the budget
   * allows.
   */
  private _planEndpointHedges(endpoint: string): void {
    for (const id of [...(this._undeliveredByEndpoint.get(endpoint) ?? [])])
      this._planHedge(id, 'slow-endpoint');
  }

  private _planHedge(id: string, cause: 'no-output' | 'slow-endpoint'): void {
    const { board, chooseEndpoint, clock, createId, index, takeRetryBudget, zone } = this._options;
    const attempt = board.attempts.get(id);
    const request = attempt && board.requests.get(attempt.request);
    if (!attempt || !request || !isHedgeable(request, attempt, cause)) return;
    // While requests of the pool wait for a slot, a hedge would take a slot from one of them.
    if (cause === 'no-output' && (this._queuedByPool.get(formatPool(request)) ?? 0) > 0) return;
    const now = clock.now();
    const work = estimateWork(board, request);
    const candidates = index
      .listCandidates(request)
      .filter((endpoint) => endpoint.id !== attempt.endpoint && endpoint.health === 'healthy');
    const endpoint = chooseEndpoint({
      request,
      candidates,
      lengthClass: work.lengthClass,
      findPrefix: (version, hash) => board.promptPrefixes.get(formatPrefixKey(version, hash)),
      zone,
      now,
    });
    if (endpoint === undefined || !takeRetryBudget()) return;
    planAttempt(board, { id: createId(), role: 'hedge', request, endpoint, ...work, now });
  }

  private _countQueued(request: IRequestEntry, change: number): void {
    const pool = formatPool(request);
    this._queuedByPool.set(pool, (this._queuedByPool.get(pool) ?? 0) + change);
  }

  private _cancelOtherAttempts(request: IRequestEntry): void {
    const { board } = this._options;
    for (const id of request.attemptIds ?? []) {
      const phase = board.attempts.get(id)?.phase;
      const isInFlight = phase === 'planned' || phase === 'sent' || phase === 'streaming';
      if (id !== request.winningAttempt && isInFlight) board.attempts.update(id, { phase: 'cancelled' });
    }
  }

  private _getSamples(pool: string): FirstTokenSamples {
    const known = this._samplesByPool.get(pool);
    if (known) return known;
    const created = new FirstTokenSamples();
    this._samplesByPool.set(pool, created);
    return created;
  }
}

/**
 * Ring buffer of recent times to first token, with a sorted copy that is renewed every `SAMPLES_PER_SORT`.
 */
class FirstTokenSamples {
  private readonly _ring: Millis[] = [];
  private _count = 0;
  public sorted: readonly Millis[] = [];

  public add(sample: Millis): void {
    this._ring[this._count % MAX_SAMPLES] = sample;
    this._count += 1;
    if (this._count % SAMPLES_PER_SORT === 0)
      this.sorted = [...this._ring].sort((first, second) => first - second);
  }
}

function isHedgeable(
  request: IRequestEntry,
  attempt: IAttemptEntry,
  cause: 'no-output' | 'slow-endpoint',
): boolean {
  if (request.phase !== 'running' || request.winningAttempt !== undefined || !request.isIdempotent)
    return false;
  if ((request.attemptIds?.length ?? 0) > 1) return false;
  if (attempt.phase === 'sent' || attempt.phase === 'planned') return true;
  return cause === 'slow-endpoint' && attempt.phase === 'streaming';
}

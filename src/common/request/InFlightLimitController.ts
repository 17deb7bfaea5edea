import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IEndpointEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { INITIAL_IN_FLIGHT_LIMIT } from '../policy/Endpoints.js';
import type { IClock, Millis } from '../Types.js';
import { listPoolsOf } from './EndpointIndex.js';
import type { AdaptLimit } from './Types.js';

/** Options of the in-flight limit controller. */
export interface IInFlightLimitOptions {
  board: Blackboard;
  clock: IClock;
  adaptLimit: AdaptLimit;
}

/**
 * Length of a window over which the lowest time to first token is taken. The current and the previous window
 * count, so the baseline covers the last 30 s to 60 s.
 */
const BASELINE_WINDOW_MS = 30_000;

/** Factor by which the limit is lowered when an endpoint refuses work because it is overloaded. */
const OVERLOAD_FACTOR = 0.7;

/** Lowest smoothed times to first token of the current and the previous window. */
interface IBaseline {
  startedAt: Millis;
  current: Millis;
  previous: Millis;
}

/**
 * Adapts the `inFlightLimit` of an endpoint when the first token of an attempt arrives, or when the endpoint
 * refuses an attempt because it is overloaded.
 */
export class InFlightLimitController extends Disposable {
  private readonly _baselines = new Map<string, IBaseline>();
  private readonly _decreasedAt = new Map<string, Millis>();

  constructor(private readonly _options: IInFlightLimitOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (!after || before?.phase === after.phase) return;
        if (after.phase === 'streaming' && after.firstTokenAt !== undefined) {
          this._updateLimit(after, after.firstTokenAt - after.plannedAt);
        }
        // A plain service sends no output before its complete answer.
        if (after.phase === 'finished' && after.firstTokenAt === undefined) {
          this._updateLimit(after, (after.endedAt ?? after.plannedAt) - after.plannedAt);
        }
        if (after.phase === 'failed' && after.error?.kind === 'overloaded') this._handleOverload(after);
      }),
    );
  }

  private _updateLimit(attempt: IAttemptEntry, firstTokenMs: Millis): void {
    const { adaptLimit, board, clock } = this._options;
    const endpoint = board.endpoints.get(attempt.endpoint);
    if (endpoint?.health !== 'healthy') return;
    const now = clock.now();
    const limit = endpoint.inFlightLimit ?? INITIAL_IN_FLIGHT_LIMIT;
    const decreasedAt = this._decreasedAt.get(endpoint.id) ?? -Infinity;
    const newLimit = adaptLimit({
      endpoint,
      limit,
      firstTokenMs,
      baseFirstTokenMs: this._updateBaseline(endpoint, firstTokenMs, now),
      sinceDecreaseMs: now - decreasedAt,
      hostCount: Math.max(1, this._options.board.presentHosts.size),
      now,
    });
    this._setLimit(endpoint, limit, newLimit);
  }

  private _handleOverload(attempt: IAttemptEntry): void {
    const endpoint = this._options.board.endpoints.get(attempt.endpoint);
    if (!endpoint) return;
    const limit = endpoint.inFlightLimit ?? INITIAL_IN_FLIGHT_LIMIT;
    this._setLimit(endpoint, limit, Math.max(1, Math.min(limit, endpoint.inFlight) * OVERLOAD_FACTOR));
  }

  private _setLimit(endpoint: IEndpointEntry, limit: number, newLimit: number): void {
    if (newLimit === limit) return;
    if (newLimit < limit) this._decreasedAt.set(endpoint.id, this._options.clock.now());
    this._options.board.endpoints.update(endpoint.id, { inFlightLimit: newLimit });
  }

  /** Updates and returns the lowest recent time to first token among the endpoints of the same versions. */
  private _updateBaseline(endpoint: IEndpointEntry, sample: Millis, now: Millis): Millis {
    const key = listPoolsOf(endpoint).join();
    const value = endpoint.firstTokenMs ?? sample;
    const baseline = this._baselines.get(key) ?? { startedAt: now, current: value, previous: Infinity };
    if (now - baseline.startedAt > BASELINE_WINDOW_MS) {
      baseline.previous = baseline.current;
      baseline.current = value;
      baseline.startedAt = now;
    }
    baseline.current = Math.min(baseline.current, value);
    this._baselines.set(key, baseline);
    return Math.min(baseline.current, baseline.previous);
  }
}

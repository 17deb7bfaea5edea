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

/** Length of a window of the lowest time to first token; two windows are remembered. */
const WINDOW_MS = 30_000;

/** Factor on the limit when an endpoint refuses work as overloaded. */
const OVERLOAD_FACTOR = 0.7;

interface ILowest {
  startedAt: Millis;
  current: Millis;
  previous: Millis;
}

/** Adapts `inFlightLimit` of endpoints when attempts show their first token or are refused. */
export class InFlightLimitController extends Disposable {
  private readonly _lowest = new Map<string, ILowest>();
  private readonly _decreasedAt = new Map<string, Millis>();

  constructor(private readonly _options: IInFlightLimitOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (!after || before?.phase === after.phase) return;
        if (after.phase === 'streaming' && after.firstTokenAt !== undefined) {
          this._updateLimit(after, after.firstTokenAt - after.plannedAt);
        }
        // A plain service shows no output before its answer.
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
    const adapted = adaptLimit({
      endpoint,
      limit,
      firstTokenMs,
      baseFirstTokenMs: this._observeLowest(endpoint, firstTokenMs, now),
      sinceDecreaseMs: now - decreasedAt,
      now,
    });
    this._write(endpoint, limit, adapted);
  }

  private _handleOverload(attempt: IAttemptEntry): void {
    const endpoint = this._options.board.endpoints.get(attempt.endpoint);
    if (!endpoint) return;
    const limit = endpoint.inFlightLimit ?? INITIAL_IN_FLIGHT_LIMIT;
    this._write(endpoint, limit, Math.max(1, Math.min(limit, endpoint.inFlight) * OVERLOAD_FACTOR));
  }

  private _write(endpoint: IEndpointEntry, limit: number, adapted: number): void {
    if (adapted === limit) return;
    if (adapted < limit) this._decreasedAt.set(endpoint.id, this._options.clock.now());
    this._options.board.endpoints.update(endpoint.id, { inFlightLimit: adapted });
  }

  /** Lowest smoothed time to first token among the endpoints of the same versions, over 30 s to 60 s. */
  private _observeLowest(endpoint: IEndpointEntry, sample: Millis, now: Millis): Millis {
    const key = listPoolsOf(endpoint).join();
    const value = endpoint.firstTokenMs ?? sample;
    const lowest = this._lowest.get(key) ?? { startedAt: now, current: value, previous: Infinity };
    if (now - lowest.startedAt > WINDOW_MS) {
      lowest.previous = lowest.current;
      lowest.current = value;
      lowest.startedAt = now;
    }
    lowest.current = Math.min(lowest.current, value);
    this._lowest.set(key, lowest);
    return Math.min(lowest.current, lowest.previous);
  }
}

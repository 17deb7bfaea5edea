import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRefusal } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { hasEnded, refuseRequest } from './Refusals.js';

/** Options of the deadline controller. */
export interface IDeadlineOptions {
  board: Blackboard;
  clock: IClock;
  /**
   * Time after its deadline for which a non-idempotent request may still be running at its endpoint. Default: 60 s, for
   * endpoints that know no deadline.
   */
  overdueLimitMs?: Millis;
}

const DEFAULT_OVERDUE_LIMIT_MS: Millis = 60_000;

/**
 * Refuses requests whose deadline has passed or whose caller has closed its connection. A non-idempotent
 * request that an endpoint may be running is left to finish, so that its outcome is recorded for a repeat. It is given up
 * once its endpoint has stopped working on it, because the answer may have been lost and its attempt would hold a place at
 * the endpoint for good.
 */
export class DeadlineController extends Disposable {
  private readonly _timers = new Map<string, IDisposable>();

  constructor(private readonly _options: IDeadlineOptions) {
    super();
    const { board, clock } = _options;
    this._register(
      board.requests.onChange(({ key, before, after }) => {
        if (after && !before) this._startTimer(key, after.deadlineAt - clock.now());
        if (!after || hasEnded(after)) this._stopTimer(key);
        if (after?.isCallerGone && !before?.isCallerGone) this._handleCallerGone(key);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    for (const timer of this._timers.values()) timer.dispose();
    this._timers.clear();
  }

  private _startTimer(id: string, delay: number): void {
    const timer = this._options.clock.schedule(Math.max(0, delay), () => {
      this._handleDeadline(id);
    });
    this._timers.set(id, timer);
  }

  private _stopTimer(id: string): void {
    this._timers.get(id)?.dispose();
    this._timers.delete(id);
  }

  private _handleDeadline(id: string): void {
    const request = this._options.board.requests.get(id);
    if (!request || request.phase === 'answered') return;
    const ran = request.phase === 'running' && request.ran === 'no' ? 'unknown' : request.ran;
    const message = 'The deadline passed before the answer was complete.';
    const refusal: IRefusal = { code: 'deadline_exceeded', message, ran };
    if (!request.isIdempotent && request.phase === 'running') {
      this._options.board.requests.update(id, { earlyRefusal: refusal });
      this._startOverdueTimer(id, refusal);
    } else refuseRequest(this._options.board, id, refusal);
  }

  private _startOverdueTimer(id: string, refusal: IRefusal): void {
    const { board, clock, overdueLimitMs = DEFAULT_OVERDUE_LIMIT_MS } = this._options;
    const timer = clock.schedule(overdueLimitMs, () => {
      if (board.requests.get(id)?.phase !== 'answered') refuseRequest(board, id, refusal);
    });
    this._timers.set(id, timer);
  }

  private _handleCallerGone(id: string): void {
    const request = this._options.board.requests.get(id);
    if (!request || request.phase === 'answered') return;
    if (!request.isIdempotent && request.phase === 'running') return;
    const message = 'The caller closed its connection.';
    refuseRequest(this._options.board, id, { code: 'cancelled', message, ran: request.ran });
  }
}

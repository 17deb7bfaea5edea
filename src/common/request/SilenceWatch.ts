import type { IClock, Millis } from '../Types.js';
import type { IDisposable } from '../Lifecycle.js';
import type { CheckRun, DecideSilence, IAttemptCall, RunCheckResult } from './Types.js';

/** Options of the silence watch of one attempt. */
export interface ISilenceWatchOptions {
  clock: IClock;
  call: IAttemptCall;
  decideSilence: DecideSilence;
  checkRun: CheckRun;
  /** Called with the result of each check. */
  onCheck: (check: RunCheckResult, silentMs: Millis) => void;
  /** Called once when the attempt is to be failed because of its silence. */
  onFail: () => void;
}

/**
 * Detects an attempt that has stopped producing output. Before a silent attempt is failed, its endpoint can
 * be asked about it on another connection, because silence alone does not tell whether the endpoint is busy
 * with the long prompts of other requests, has died, or is no longer reachable over this connection.
 */
export class SilenceWatch implements IDisposable {
  private _timer: IDisposable | undefined;
  private _outputCount = 0;
  private _lastOutputAt: Millis;
  private _isDisposed = false;

  constructor(private readonly _options: ISilenceWatchOptions) {
    this._lastOutputAt = _options.clock.now();
    this._decide(undefined);
  }

  /** Records that output has arrived; `outputCount` is the total number of events so far. */
  public recordOutput(outputCount: number): void {
    this._outputCount = outputCount;
    this._lastOutputAt = this._options.clock.now();
  }

  public dispose(): void {
    this._isDisposed = true;
    this._timer?.dispose();
  }

  private _decide(
    check: RunCheckResult | undefined,
    silentMs = this._options.clock.now() - this._lastOutputAt,
  ): void {
    if (this._isDisposed) return;
    this._timer?.dispose();
    const { call, decideSilence, onFail } = this._options;
    const decision = decideSilence({
      request: call.request,
      attempt: call.attempt,
      hasOutput: this._outputCount > 0,
      silentMs,
      check,
    });
    if (decision.kind === 'fail') {
      this.dispose();
      onFail();
    } else this._schedule(decision.kind, this._lastOutputAt, silentMs + decision.afterMs);
  }

  /**
   * Schedules the next decision or check for when nothing has arrived for `silentMs` since `lastOutputAt`.
   */
  private _schedule(kind: 'wait' | 'check', lastOutputAt: Millis, silentMs: Millis): void {
    const { clock } = this._options;
    this._timer = clock.schedule(lastOutputAt + silentMs - clock.now(), () => {
      // If output has arrived meanwhile, the timer starts again from the last output. Resetting the timer at
      // each output would cost more than forwarding the output.
      if (lastOutputAt !== this._lastOutputAt) this._decide(undefined, 0);
      else if (kind === 'check') void this._check();
      else this._decide(undefined);
    });
  }

  private async _check(): Promise<void> {
    const { call, checkRun, clock, onCheck } = this._options;
    const lastOutputAt = this._lastOutputAt;
    const check = await checkRun(call, this._outputCount);
    if (this._isDisposed || lastOutputAt !== this._lastOutputAt) return;
    onCheck(check, clock.now() - lastOutputAt);
    this._decide(check);
  }
}

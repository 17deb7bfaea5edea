import type { IClock, Millis } from '../Types.js';
import type { IDisposable } from '../Lifecycle.js';
import type { CheckRun, DecideSilence, IAttemptCall, RunCheck } from './Types.js';

/** Options of the watch over one attempt. */
export interface ISilenceWatchOptions {
  clock: IClock;
  call: IAttemptCall;
  decideSilence: DecideSilence;
  checkRun: CheckRun;
  /** Called with the result of each check. */
  onCheck: (check: RunCheck, silentMs: Millis) => void;
  /** Called once when the attempt is given up. */
  onFail: () => void;
}

/**
 * Watches an attempt for silence. A silent attempt is asked for on another connection before it is given
 * up: long prompts of others, a dead endpoint and a connection that lost its way look alike from here.
 */
export class SilenceWatch implements IDisposable {
  private _timer: IDisposable | undefined;
  private _outputs = 0;
  private _lastAt: Millis;
  private _isDisposed = false;

  constructor(private readonly _options: ISilenceWatchOptions) {
    this._lastAt = _options.clock.now();
    this._decide(undefined);
  }

  /** Notes output, by the number of events that the attempt has shown so far. */
  public recordOutput(outputs: number): void {
    this._outputs = outputs;
    this._lastAt = this._options.clock.now();
  }

  public dispose(): void {
    this._isDisposed = true;
    this._timer?.dispose();
  }

  private _decide(check: RunCheck | undefined, silentMs = this._options.clock.now() - this._lastAt): void {
    if (this._isDisposed) return;
    this._timer?.dispose();
    const { call, decideSilence, onFail } = this._options;
    const decision = decideSilence({
      request: call.request,
      attempt: call.attempt,
      hasOutput: this._outputs > 0,
      silentMs,
      check,
    });
    if (decision.kind === 'fail') {
      this.dispose();
      onFail();
    } else this._schedule(decision.kind, this._lastAt, silentMs + decision.afterMs);
  }

  /** Schedules what follows when the silence since a time has lasted so long. */
  private _schedule(kind: 'wait' | 'check', lastAt: Millis, silentMs: Millis): void {
    const { clock } = this._options;
    this._timer = clock.schedule(lastAt + silentMs - clock.now(), () => {
      // Output moves the time; a timer for each output would cost more than handing it on.
      if (lastAt !== this._lastAt) this._decide(undefined, 0);
      else if (kind === 'check') void this._check();
      else this._decide(undefined);
    });
  }

  private async _check(): Promise<void> {
    const { call, checkRun, clock, onCheck } = this._options;
    const lastAt = this._lastAt;
    const check = await checkRun(call, this._outputs);
    if (this._isDisposed || lastAt !== this._lastAt) return;
    onCheck(check, clock.now() - lastAt);
    this._decide(check);
  }
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { LifecyclePhase } from '../blackboard/Types.js';
import type { IClock, Millis } from '../Types.js';

/** Options of the drain controller. */
export interface IDrainOptions {
  board: Blackboard;
  clock: IClock;
  /**
   * Time for which a leaving host still accepts requests, because the load balancer goes on sending them for
   * a while. Default 3000.
   */
  graceMs?: Millis;
  /** Stops accepting; resolves when every open response has ended. */
  closeFrontEnd: () => Promise<void>;
  /** Steps to run in order after the last response has ended: journal, leases, peer server. */
  finishSteps: readonly (() => Promise<void>)[];
  /** Called with the error of a step; the remaining steps still run. Default: nothing. */
  onStepError?: (error: unknown) => void;
}

/**
 * Stops a host without interrupting requests in progress. Writes each phase to the `lifecycle` panel, on
 * which readiness, admission and membership depend.
 */
export class DrainController {
  private readonly _options: Required<IDrainOptions>;
  private _drained: Promise<void> | undefined;

  constructor(options: IDrainOptions) {
    this._options = { graceMs: 3000, onStepError: () => undefined, ...options };
    this._setPhase('serving');
  }

  /** Drains the host; later calls wait for the same drain. The grace time defaults to that of the options. */
  public drain(graceMs = this._options.graceMs): Promise<void> {
    this._drained ??= this._runPhases(graceMs);
    return this._drained;
  }

  private async _runPhases(graceMs: Millis): Promise<void> {
    const { clock, closeFrontEnd, finishSteps } = this._options;
    this._setPhase('leaving');
    await new Promise<void>((resolve) => {
      clock.schedule(graceMs, resolve);
    });
    this._setPhase('closing');
    await this._runStep(closeFrontEnd);
    this._setPhase('finishing');
    for (const finish of finishSteps) await this._runStep(finish);
    this._setPhase('stopped');
  }

  private async _runStep(run: () => Promise<void>): Promise<void> {
    try {
      await run();
    } catch (error) {
      this._options.onStepError(error);
    }
  }

  private _setPhase(phase: LifecyclePhase): void {
    this._options.board.lifecycle.set('host', { phase, changedAt: this._options.clock.now() });
  }
}

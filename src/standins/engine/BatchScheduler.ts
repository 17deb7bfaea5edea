import { writeEnd, writeToken } from './RunWriter.js';
import type { EngineSettings, IEngineRecords, IEngineFaults, IEngineRun } from './Types.js';
import { WaitingQueue } from './WaitingQueue.js';

/** Time for which the stream of a finished run can still be resumed. */
const FINISHED_RUN_RETENTION_MS = 60_000;

/**
 * Schedules runs by continuous batching: each step generates one token for every run in the batch whose prefill
 * has ended.
 */
export class BatchScheduler {
  private readonly _runs = new Map<string, IEngineRun>();
  private readonly _activeRuns = new Set<IEngineRun>();
  private readonly _waitingQueue = new WaitingQueue();
  private readonly _finishedRuns: { run: IEngineRun; at: number }[] = [];
  private _stepTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _settings: EngineSettings,
    private readonly _faults: IEngineFaults,
    private readonly _records: IEngineRecords,
  ) {}

  public get runningCount(): number {
    return this._activeRuns.size;
  }

  public get waitingCount(): number {
    return this._waitingQueue.size;
  }

  /** Returns a run that is waiting, running, or finished within the retention period. */
  public get(id: string): IEngineRun | undefined {
    return this._runs.get(id);
  }

  /** Queues a new run and starts it if the batch has room. */
  public add(run: IEngineRun): void {
    this._runs.set(run.id, run);
    this._waitingQueue.add(run);
    this._admitWaitingRuns();
  }

  /** Removes a run that has not finished and closes its stream. */
  public cancel(run: IEngineRun): void {
    if (run.isDone) return;
    this._records.cancelled.push(run.id);
    this._activeRuns.delete(run);
    this._waitingQueue.remove(run);
    this._runs.delete(run.id);
    run.response?.destroy();
    this._admitWaitingRuns();
  }

  /** Closes every open stream and discards all runs, as a crash and restart of the engine process would. */
  public simulateCrash(): void {
    this._records.crashes += 1;
    for (const run of this._runs.values()) run.response?.destroy();
    this._runs.clear();
    this._activeRuns.clear();
    this._waitingQueue.clear();
    this._finishedRuns.length = 0;
  }

  /** Cancels the timer of the next step. */
  public stop(): void {
    clearTimeout(this._stepTimer);
  }

  private _admitWaitingRuns(): void {
    const factor = this._computeSlowdown();
    while (this._activeRuns.size < this._settings.batchSize) {
      const run = this._waitingQueue.take();
      if (!run) break;
      run.prefillEndsAt = performance.now() + run.prefillMs * factor;
      this._activeRuns.add(run);
    }
    if (this._activeRuns.size > 0)
      this._stepTimer ??= setTimeout(this._runStep, this._settings.stepMs * factor);
  }

  private readonly _runStep = (): void => {
    this._stepTimer = undefined;
    const now = performance.now();
    for (const run of this._activeRuns) if (now >= run.prefillEndsAt) this._advanceRun(run, now);
    this._expireFinished(now);
    this._admitWaitingRuns();
  };

  private _advanceRun(run: IEngineRun, now: number): void {
    if (!this._faults.isSilent) writeToken(run, run.generatedTokens);
    run.generatedTokens += 1;
    this._records.tokens += 1;
    if (run.generatedTokens < run.outputTokens) return;
    run.isDone = true;
    this._activeRuns.delete(run);
    this._records.finished.push(run.id);
    this._finishedRuns.push({ run, at: now });
    if (!this._faults.isSilent) writeEnd(run);
  }

  private _expireFinished(now: number): void {
    while ((this._finishedRuns[0]?.at ?? Infinity) < now - FINISHED_RUN_RETENTION_MS) {
      const oldest = this._finishedRuns.shift();
      if (oldest) this._runs.delete(oldest.run.id);
    }
  }

  private _computeSlowdown(): number {
    const now = performance.now();
    return this._faults.windows
      .filter(({ startMs, endMs }) => now >= startMs && now < endMs)
      .reduce((factor, window) => factor * window.factor, this._faults.slowdown);
  }
}

import { writeEnd, writeToken } from './RunWriter.js';
import type { EngineSettings, IEngineBooks, IEngineFaults, IEngineRun } from './Types.js';
import { WaitingQueue } from './WaitingQueue.js';

/** How long a finished run can be resumed. */
const FORGET_AFTER_MS = 60_000;

/** Continuous batching: each step gives every run in the batch one token. */
export class Batch {
  private readonly _runs = new Map<string, IEngineRun>();
  private readonly _batch = new Set<IEngineRun>();
  private readonly _waiting = new WaitingQueue();
  private readonly _finished: { run: IEngineRun; at: number }[] = [];
  private _step: NodeJS.Timeout | undefined;

  constructor(
    private readonly _settings: EngineSettings,
    private readonly _faults: IEngineFaults,
    private readonly _books: IEngineBooks,
  ) {}

  public get running(): number {
    return this._batch.size;
  }

  public get waiting(): number {
    return this._waiting.size;
  }

  /** Returns a run that is not forgotten. */
  public get(id: string): IEngineRun | undefined {
    return this._runs.get(id);
  }

  /** Queues a new run. */
  public add(run: IEngineRun): void {
    this._runs.set(run.id, run);
    this._waiting.add(run);
    this._scheduleWaiting();
  }

  /** Removes a run that is not done. */
  public cancel(run: IEngineRun): void {
    if (run.isDone) return;
    this._books.cancelled.push(run.id);
    this._batch.delete(run);
    this._waiting.remove(run);
    this._runs.delete(run.id);
    run.response?.destroy();
    this._scheduleWaiting();
  }

  /** Breaks every open stream and forgets all runs, as a process that dies and starts again. */
  public dropAll(): void {
    this._books.crashes += 1;
    for (const run of this._runs.values()) run.response?.destroy();
    this._runs.clear();
    this._batch.clear();
    this._waiting.clear();
    this._finished.length = 0;
  }

  /** Stops stepping. */
  public stop(): void {
    clearTimeout(this._step);
  }

  private _scheduleWaiting(): void {
    const factor = this._computeSlowdown();
    while (this._batch.size < this._settings.batchSize) {
      const run = this._waiting.take();
      if (!run) break;
      run.startsAt = performance.now() + run.prefillMs * factor;
      this._batch.add(run);
    }
    if (this._batch.size > 0) this._step ??= setTimeout(this._runStep, this._settings.stepMs * factor);
  }

  private readonly _runStep = (): void => {
    this._step = undefined;
    const now = performance.now();
    for (const run of this._batch) if (now >= run.startsAt) this._advanceRun(run, now);
    this._expireFinished(now);
    this._scheduleWaiting();
  };

  private _advanceRun(run: IEngineRun, now: number): void {
    if (!this._faults.isSilent) writeToken(run, run.sent);
    run.sent += 1;
    this._books.tokens += 1;
    if (run.sent < run.length) return;
    run.isDone = true;
    this._batch.delete(run);
    this._books.finished.push(run.id);
    this._finished.push({ run, at: now });
    if (!this._faults.isSilent) writeEnd(run);
  }

  private _expireFinished(now: number): void {
    while ((this._finished[0]?.at ?? Infinity) < now - FORGET_AFTER_MS) {
      const oldest = this._finished.shift();
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

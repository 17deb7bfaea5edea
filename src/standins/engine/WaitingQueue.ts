import type { IEngineRun, RunPriority } from './Types.js';

const ORDER: readonly RunPriority[] = ['high', 'normal', 'low'];

/** Runs that wait for room in the batch: higher priority first, then first come, first served. */
export class WaitingQueue {
  private readonly _queues: Readonly<Record<RunPriority, IEngineRun[]>> = { high: [], normal: [], low: [] };

  public get size(): number {
    return ORDER.reduce((sum, priority) => sum + this._queues[priority].length, 0);
  }

  /** Adds a run behind those of its priority. */
  public add(run: IEngineRun): void {
    this._queues[run.priority].push(run);
  }

  /** Takes the next run. */
  public take(): IEngineRun | undefined {
    for (const priority of ORDER) {
      const run = this._queues[priority].shift();
      if (run) return run;
    }
    return undefined;
  }

  /** Removes a run that was cancelled. */
  public remove(run: IEngineRun): void {
    const queue = this._queues[run.priority];
    const index = queue.indexOf(run);
    if (index >= 0) queue.splice(index, 1);
  }

  /** Removes all runs. */
  public clear(): void {
    for (const priority of ORDER) this._queues[priority].length = 0;
  }
}

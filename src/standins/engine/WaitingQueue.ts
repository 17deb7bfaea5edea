import type { IEngineRun, RunPriority } from './Types.js';

const PRIORITY_ORDER: readonly RunPriority[] = ['high', 'normal', 'low'];

/** Runs that wait for room in the batch, ordered by priority; first in, first out within a priority. */
export class WaitingQueue {
  private readonly _queues: Readonly<Record<RunPriority, IEngineRun[]>> = { high: [], normal: [], low: [] };

  public get size(): number {
    return PRIORITY_ORDER.reduce((sum, priority) => sum + this._queues[priority].length, 0);
  }

  /** Adds a run behind the waiting runs of the same priority. */
  public add(run: IEngineRun): void {
    this._queues[run.priority].push(run);
  }

  /** Removes and returns the next run, or returns `undefined` when no run is waiting. */
  public take(): IEngineRun | undefined {
    for (const priority of PRIORITY_ORDER) {
      const run = this._queues[priority].shift();
      if (run) return run;
    }
    return undefined;
  }

  /** Removes a cancelled run; does nothing if the run is not waiting. */
  public remove(run: IEngineRun): void {
    const queue = this._queues[run.priority];
    const index = queue.indexOf(run);
    if (index >= 0) queue.splice(index, 1);
  }

  /** Removes all runs. */
  public clear(): void {
    for (const priority of PRIORITY_ORDER) this._queues[priority].length = 0;
  }
}

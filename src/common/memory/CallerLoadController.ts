import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable, toDisposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { CallerLimitCause } from './Types.js';

/** Options of the publication of what a host holds. */
export interface ICallerLoadOptions {
  board: Blackboard;
  clock: IClock;
  /** Memory that is held, and the largest that may be. */
  readMemory: () => { heldBytes: number; budgetBytes: number };
  countConnections: () => number;
}

/** Interval of the writes, which bounds the log lines about limits. */
const PUBLISH_MS: Millis = 1000;

/** Writes what the host holds for callers and endpoints, and whom it has refused, to the panel `callerLoad`. */
export class CallerLoadController extends Disposable {
  private _limited: Partial<Record<CallerLimitCause, number>> = {};
  private _timer: IDisposable | undefined;

  constructor(private readonly _options: ICallerLoadOptions) {
    super();
    this._register(toDisposable(() => this._timer?.dispose()));
    this._schedulePublish();
  }

  /** Counts the application of a limit. */
  public readonly recordLimited = (cause: CallerLimitCause): void => {
    this._limited[cause] = (this._limited[cause] ?? 0) + 1;
  };

  private _schedulePublish(): void {
    this._timer = this._options.clock.schedule(PUBLISH_MS, () => {
      this._publish();
      this._schedulePublish();
    });
  }

  private _publish(): void {
    const { board, countConnections, readMemory } = this._options;
    const connections = countConnections();
    const { budgetBytes, heldBytes } = readMemory();
    const before = board.callerLoad.get('host');
    const limited = this._limited;
    this._limited = {};
    const hasChanged =
      before?.connections !== connections ||
      before.heldBytes !== heldBytes ||
      before.budgetBytes !== budgetBytes ||
      Object.keys(limited).length > 0 ||
      Object.keys(before.limited).length > 0;
    if (hasChanged) board.callerLoad.set('host', { budgetBytes, connections, heldBytes, limited });
  }
}

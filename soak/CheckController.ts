import { Disposable } from '../src/common/Lifecycle.js';
import type { SoakBoard } from './SoakBoard.js';
import type { ICallEntry, IRunEntry, PromiseName } from './Types.js';

/** Looks for a broken promise. Each function returns what broke it. */
export interface ICheck {
  promise: PromiseName;
  /** Called when a call reaches a runner. */
  checkRun?: (board: SoakBoard, run: Readonly<IRunEntry>) => string | undefined;
  /** Called when a call has ended for its caller. */
  checkCall?: (board: SoakBoard, call: Readonly<ICallEntry>) => string | undefined;
  /** Called after the run, for promises over many calls. */
  checkAll?: (board: SoakBoard) => readonly string[];
}

/** Runs checks as calls and runs appear on the board, and records what they find. */
export class CheckController extends Disposable {
  constructor(
    private readonly _board: SoakBoard,
    private readonly _checks: readonly ICheck[],
  ) {
    super();
    this._register(
      _board.runs.onChange(({ before, after }) => {
        if (before || !after) return;
        for (const { checkRun, promise } of _checks) this._recordFinding(promise, checkRun?.(_board, after));
      }),
    );
    this._register(
      _board.calls.onChange(({ before, after }) => {
        if (before?.endedAt !== undefined || after?.endedAt === undefined) return;
        for (const { checkCall, promise } of _checks)
          this._recordFinding(promise, checkCall?.(_board, after));
      }),
    );
  }

  /** Runs the checks over all calls. */
  public runFinalChecks(): void {
    for (const { checkAll, promise } of this._checks) {
      for (const detail of checkAll?.(this._board) ?? []) this._recordFinding(promise, detail);
    }
  }

  private _recordFinding(promise: PromiseName, detail: string | undefined): void {
    if (detail !== undefined) this._board.addFinding(promise, detail);
  }
}

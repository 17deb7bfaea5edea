import { Disposable } from '../src/common/Lifecycle.js';
import type { SoakBoard } from './SoakBoard.js';
import type { ICallEntry, IRunEntry, PromiseName } from './Types.js';

/** Checks one promise. Its functions return descriptions of the violations that they find, if any. */
export interface ICheck {
  promise: PromiseName;
  /** Called when a call reaches a runner. */
  checkRun?: (board: SoakBoard, run: Readonly<IRunEntry>) => string | undefined;
  /** Called when a call has ended for its caller, with or without an answer. */
  checkCall?: (board: SoakBoard, call: Readonly<ICallEntry>) => string | undefined;
  /** Called at the end of the soak, for promises that concern many calls. */
  checkAll?: (board: SoakBoard) => readonly string[];
}

/** Runs the checks when a call reaches a runner or ends, and records their findings on the board. */
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

  /** Runs the checks that concern many calls. */
  public runFinalChecks(): void {
    for (const { checkAll, promise } of this._checks) {
      for (const detail of checkAll?.(this._board) ?? []) this._recordFinding(promise, detail);
    }
  }

  private _recordFinding(promise: PromiseName, detail: string | undefined): void {
    if (detail !== undefined) this._board.addFinding(promise, detail);
  }
}

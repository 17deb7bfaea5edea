import type { Millis } from '../Types.js';
import type { ChooseHolders, HolderKind, IHolder } from './Types.js';

/** Options of a budget. */
export interface IMemoryBudgetOptions {
  /** Memory that all holders may have together. */
  readBudgetBytes: () => number;
  now: () => Millis;
  chooseHolders: ChooseHolders;
  /** Called when the memory of an endpoint's answer is freed. */
  onAnswerDropped?: () => void;
}

/** A share of the budget. */
export interface IHeldMemory {
  /** Adds bytes, or gives some back. May free the memory of any holder, this one included. */
  addBytes: (bytes: number) => void;
  /** Records that bytes were sent or received for this holder. */
  recordProgress: () => void;
  /** Ends the holding. */
  release: () => void;
}

interface IBudgetedHolder extends IHolder {
  free: () => void;
}

/**
 * Limits the memory of all that a host holds for callers and endpoints: bodies, pipelined requests, buffered answers and
 * unread responses. What is counted is the memory that the holders estimate, not the payload.
 * @example
 * const held = budget.hold('connection', () => socket.destroy());
 * held.addBytes(65_536);
 * held.release();
 */
export class MemoryBudget {
  private readonly _holders = new Set<IBudgetedHolder>();
  private _heldBytes = 0;
  private _isReleasing = false;

  constructor(private readonly _options: IMemoryBudgetOptions) {}

  public get heldBytes(): number {
    return this._heldBytes;
  }

  public get budgetBytes(): number {
    return this._options.readBudgetBytes();
  }

  /** Adds a holder. `free` is called if it pays when the budget is exceeded; it has to give back what it holds. */
  public hold(kind: HolderKind, free: () => void): IHeldMemory {
    const holder: IBudgetedHolder = { kind, bytes: 0, progressAt: this._options.now(), free };
    this._holders.add(holder);
    return {
      addBytes: (bytes) => {
        if (!this._holders.has(holder)) return;
        holder.bytes += bytes;
        this._heldBytes += bytes;
        if (bytes > 0 && this._heldBytes > this.budgetBytes) this._releaseHolders();
      },
      recordProgress: () => {
        holder.progressAt = this._options.now();
      },
      release: () => {
        if (this._holders.delete(holder)) this._heldBytes -= holder.bytes;
      },
    };
  }

  /** Adds an answer of an endpoint that is buffered until it is complete. */
  public addResponse(abort: () => void): IHeldMemory {
    const held = this.hold('answer', () => {
      held.release();
      this._options.onAnswerDropped?.();
      abort();
    });
    const addBytes = (bytes: number): void => {
      held.recordProgress();
      held.addBytes(bytes);
    };
    return { ...held, addBytes };
  }

  private _releaseHolders(): void {
    if (this._isReleasing) return;
    this._isReleasing = true;
    const { chooseHolders, now } = this._options;
    const { budgetBytes } = this;
    const state = { holders: this._holders, heldBytes: this._heldBytes, budgetBytes, now: now() };
    try {
      for (const { free } of chooseHolders(state)) free();
    } finally {
      this._isReleasing = false;
    }
  }
}

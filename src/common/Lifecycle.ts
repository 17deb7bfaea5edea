/** Something that holds resources until it is disposed. */
export interface IDisposable {
  dispose(): void;
}

/** Wraps a clean-up function in a disposable that runs it at most once. */
export function toDisposable(cleanUp: () => void): IDisposable {
  let isDisposed = false;
  return {
    dispose: () => {
      if (isDisposed) return;
      isDisposed = true;
      cleanUp();
    },
  };
}

/** Disposes of everything in a list, from the last item to the first. */
export function disposeAll(disposables: readonly IDisposable[]): void {
  for (const disposable of [...disposables].reverse()) disposable.dispose();
}

/** Base class that disposes of what its subclass has registered. */
export abstract class Disposable implements IDisposable {
  private _disposables: IDisposable[] = [];
  protected _isDisposed = false;

  /** Disposes of everything registered. Later calls have no effect. */
  public dispose(): void {
    if (this._isDisposed) return;
    this._isDisposed = true;
    disposeAll(this._disposables);
    this._disposables = [];
  }

  /** Registers a disposable, and returns it. If this object is disposed already, disposes of it at once. */
  protected _register<T extends IDisposable>(disposable: T): T {
    if (this._isDisposed) disposable.dispose();
    else this._disposables.push(disposable);
    return disposable;
  }
}

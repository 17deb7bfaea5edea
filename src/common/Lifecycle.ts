/** Something that holds resources until it is disposed. */
export interface IDisposable {
  dispose(): void;
}

/** Wraps a clean-up function so that it runs at most once. */
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

/** Disposes everything in a list, last registered first. */
export function disposeAll(disposables: readonly IDisposable[]): void {
  for (const disposable of [...disposables].reverse()) disposable.dispose();
}

/** Base class that collects the disposables of its subclass. */
export abstract class Disposable implements IDisposable {
  private _disposables: IDisposable[] = [];
  protected _isDisposed = false;

  /** Releases all registered disposables. Later calls have no effect. */
  public dispose(): void {
    if (this._isDisposed) return;
    this._isDisposed = true;
    disposeAll(this._disposables);
    this._disposables = [];
  }

  protected _register<T extends IDisposable>(disposable: T): T {
    if (this._isDisposed) disposable.dispose();
    else this._disposables.push(disposable);
    return disposable;
  }
}

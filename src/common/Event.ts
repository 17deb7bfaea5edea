import { toDisposable, type IDisposable } from './Lifecycle.js';

/** Subscribes a listener. Disposing of the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

/** Source of an event. Listeners are called in the order of their subscription. */
export class Emitter<T> implements IDisposable {
  private readonly _listeners = new Set<(value: T) => void>();

  public readonly event: Event<T> = (listener) => {
    this._listeners.add(listener);
    return toDisposable(() => this._listeners.delete(listener));
  };

  /** Calls every listener with a value. */
  public fire(value: T): void {
    for (const listener of this._listeners) listener(value);
  }

  /** Removes all listeners. */
  public dispose(): void {
    this._listeners.clear();
  }
}

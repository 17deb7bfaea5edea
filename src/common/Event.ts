import { toDisposable, type IDisposable } from './Lifecycle.js';

/** Subscribes a listener; dispose the result to unsubscribe. */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

/** Source of an event. Listeners are called in order of subscription. */
export class Emitter<T> implements IDisposable {
  private readonly _listeners = new Set<(value: T) => void>();

  public readonly event: Event<T> = (listener) => {
    this._listeners.add(listener);
    return toDisposable(() => this._listeners.delete(listener));
  };

  /** Calls every listener with the value. */
  public fire(value: T): void {
    for (const listener of this._listeners) listener(value);
  }

  /** Removes all listeners. */
  public dispose(): void {
    this._listeners.clear();
  }
}

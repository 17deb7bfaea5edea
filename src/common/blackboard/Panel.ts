import { Emitter, type Event } from '../Event.js';

/** One write to a panel: the entry before and after. `undefined` marks absence. */
export interface IPanelChange<K, V> {
  key: K;
  before: V | undefined;
  after: V | undefined;
}

/** Defers notification work; the blackboard runs it in order after the current controller returns. */
export type EnqueueNotification = (notify: () => void) => void;

/**
 * A keyed set of plain entries with a change event. Entries are replaced, never mutated, so that a
 * listener can compare the state before and after a write.
 */
export class Panel<K, V extends object> {
  private readonly _entries = new Map<K, V>();
  private readonly _changes = new Emitter<IPanelChange<K, V>>();

  public readonly onChange: Event<IPanelChange<K, V>> = this._changes.event;

  constructor(private readonly _enqueue: EnqueueNotification) {}

  public get size(): number {
    return this._entries.size;
  }

  /** Returns the entry at a key, or `undefined`. */
  public get(key: K): Readonly<V> | undefined {
    return this._entries.get(key);
  }

  /** Tells whether a key has an entry. */
  public has(key: K): boolean {
    return this._entries.has(key);
  }

  /** Iterates over the entries in order of insertion. */
  public list(): IterableIterator<Readonly<V>> {
    return this._entries.values();
  }

  /** Iterates over pairs of key and entry in order of insertion. */
  public listPairs(): IterableIterator<[K, Readonly<V>]> {
    return this._entries.entries();
  }

  /** Writes an entry and notifies listeners. */
  public set(key: K, after: V): void {
    const before = this._entries.get(key);
    this._entries.set(key, after);
    this._notify({ key, before, after });
  }

  /** Replaces some fields of an entry. Returns false when the key has no entry. */
  public update(key: K, patch: Partial<V>): boolean {
    const before = this._entries.get(key);
    if (!before) return false;
    this.set(key, { ...before, ...patch });
    return true;
  }

  /** Removes an entry. Returns false when the key has no entry. */
  public delete(key: K): boolean {
    const before = this._entries.get(key);
    if (!before) return false;
    this._entries.delete(key);
    this._notify({ key, before, after: undefined });
    return true;
  }

  private _notify(change: IPanelChange<K, V>): void {
    this._enqueue(() => {
      this._changes.fire(change);
    });
  }
}

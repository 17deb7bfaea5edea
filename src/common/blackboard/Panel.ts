import { Emitter, type Event } from '../Event.js';

/**
 * One write to a panel. An entry that is `undefined` did not exist before the write or does not exist after
 * it.
 */
export interface IPanelChange<K, V> {
  key: K;
  before: V | undefined;
  after: V | undefined;
}

/** Queues a notification, which the blackboard runs after those that were queued earlier. */
export type EnqueueNotification = (notify: () => void) => void;

/**
 * A map of entries with a change event. Entries are replaced, never mutated, so that a listener can compare
 * an entry before and after a write.
 */
export class Panel<K, V extends object> {
  private readonly _entries = new Map<K, V>();
  private readonly _changeEmitter = new Emitter<IPanelChange<K, V>>();

  public readonly onChange: Event<IPanelChange<K, V>> = this._changeEmitter.event;

  constructor(private readonly _enqueueNotification: EnqueueNotification) {}

  public get size(): number {
    return this._entries.size;
  }

  /** Returns the entry at a key, or `undefined` if there is none. */
  public get(key: K): Readonly<V> | undefined {
    return this._entries.get(key);
  }

  /** Tells whether a key has an entry. */
  public has(key: K): boolean {
    return this._entries.has(key);
  }

  /** Iterates over the entries in insertion order. Replacing an entry keeps its position. */
  public list(): IterableIterator<Readonly<V>> {
    return this._entries.values();
  }

  /** Iterates over pairs of key and entry in insertion order. */
  public listPairs(): IterableIterator<[K, Readonly<V>]> {
    return this._entries.entries();
  }

  /** Adds or replaces an entry, and notifies the listeners. */
  public set(key: K, after: V): void {
    const before = this._entries.get(key);
    this._entries.set(key, after);
    this._notify({ key, before, after });
  }

  /** Replaces some fields of an entry. Returns false if the key has no entry. */
  public update(key: K, patch: Partial<V>): boolean {
    const before = this._entries.get(key);
    if (!before) return false;
    this.set(key, { ...before, ...patch });
    return true;
  }

  /** Removes an entry, and notifies the listeners. Returns false if the key has no entry. */
  public delete(key: K): boolean {
    const before = this._entries.get(key);
    if (!before) return false;
    this._entries.delete(key);
    this._notify({ key, before, after: undefined });
    return true;
  }

  private _notify(change: IPanelChange<K, V>): void {
    this._enqueueNotification(() => {
      this._changeEmitter.fire(change);
    });
  }
}

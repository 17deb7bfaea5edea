import { Emitter, type Event } from '../Event.js';
import type { FactChange, IFactList, IStorePosition } from '../fleet/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { IEncodedChange, IEncodedFact, INewsAge, NewsReply } from './Types.js';

/** Largest number of changes that are kept for other hosts. A host further behind gets all facts. */
const MAX_CHANGES = 2000;

/** When news were read: when they were known to be complete, and the earliest time at which they can have been made. */
export interface INewsTimes {
  completeAt: Millis;
  madeSince: Millis;
}

interface ILoggedChange extends IEncodedChange {
  madeSince: Millis;
}

/**
 * What the store has told this host, as other hosts can have it from here: all values at one position, and the latest
 * changes before it. Unlike the `facts` panel it holds nothing that the store no longer has.
 */
export class NewsLog extends Disposable {
  private readonly _facts = new Map<string, IEncodedFact>();
  /** Last change of each key, in the order of their revisions. Values that were replaced since are not passed on. */
  private readonly _changes = new Map<string, ILoggedChange>();
  private _era = 0;
  private _revision: number | undefined;
  /** Changes after this revision are all in the log. */
  private _firstRevision = 0;
  private _times: INewsTimes = { completeAt: -Infinity, madeSince: -Infinity };
  private readonly _changeEmitter = this._register(new Emitter<undefined>());

  /** Fires when there are changes that other hosts may lack. */
  public readonly onChange: Event<undefined> = this._changeEmitter.event;

  constructor(private readonly _clock: IClock) {
    super();
  }

  /** Replaces all values by a list of the store. */
  public recordList({ era = 0, facts, revision }: IFactList, times: INewsTimes): void {
    this._facts.clear();
    for (const { encoded, key, revision: factRevision } of facts)
      if (encoded !== undefined) this._facts.set(key, { key, revision: factRevision, encoded });
    this._changes.clear();
    this._era = era;
    this._revision = revision;
    this._firstRevision = revision;
    this._times = times;
    this._changeEmitter.fire(undefined);
  }

  /** Adds the changes up to a position. */
  public recordChanges(
    changes: readonly FactChange[],
    { era = 0, revision }: IStorePosition,
    times: INewsTimes,
  ): void {
    if (this._revision === undefined || era !== this._era || revision < this._revision) return;
    const isNew = revision > this._revision;
    this._revision = revision;
    this._times = times;
    for (const change of changes) this._recordChange(change, times.madeSince);
    if (isNew) this._changeEmitter.fire(undefined);
  }

  /** Tells whether a host at a position lacks something that this host knows. */
  public hasNews({ era = 0, revision }: IStorePosition): boolean {
    return this._revision !== undefined && (era !== this._era || revision < this._revision);
  }

  /** Builds the answer to a host at a position; `unavailable` before the first list. */
  public buildReply(position: IStorePosition, availableSince: Millis | undefined): NewsReply {
    if (this._revision === undefined) return { kind: 'unavailable' };
    const { _era: era, _revision: revision } = this;
    const isInLog = (position.era ?? 0) === era && position.revision >= this._firstRevision;
    if (!isInLog) {
      const age = this._measureAge(this._times.madeSince, availableSince);
      return { kind: 'list', era, revision, facts: [...this._facts.values()], age };
    }
    const missing = [...this._changes.values()].filter((change) => change.revision > position.revision);
    const changes = missing.map(({ encoded, key, revision: changed }) => ({
      key,
      revision: changed,
      encoded,
    }));
    const madeSince = missing.reduce(
      (earliest, change) => Math.min(earliest, change.madeSince),
      this._times.completeAt,
    );
    return { kind: 'changes', era, revision, changes, age: this._measureAge(madeSince, availableSince) };
  }

  private _recordChange(change: FactChange, madeSince: Millis): void {
    const { key, revision } = change;
    const encoded = change.kind === 'put' ? change.encoded : undefined;
    if (encoded === undefined) this._facts.delete(key);
    else this._facts.set(key, { key, revision, encoded });
    this._changes.delete(key);
    this._changes.set(key, { key, revision, encoded, madeSince });
    if (this._changes.size <= MAX_CHANGES) return;
    const [first] = this._changes.values();
    if (!first) return;
    this._changes.delete(first.key);
    this._firstRevision = first.revision;
  }

  private _measureAge(madeSince: Millis, availableSince: Millis | undefined): INewsAge {
    const now = this._clock.now();
    return {
      completeMs: now - this._times.completeAt,
      madeMs: now - madeSince,
      ...(availableSince === undefined ? {} : { availableMs: now - availableSince }),
    };
  }
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { StoreError } from '../coordination/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import type { FactChange, IFactList, IFactStore } from './Types.js';

/** Options of the fact feed. */
export interface IFactFeedOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  store: Pick<IFactStore, 'listFacts' | 'watchFacts'>;
}

/**
 * Part of the contact time that a watch does not wait. A connection that has gone silent is noticed, and the
 * store asked again, before the host counts as in contact.
 */
const CONTACT_MARGIN_MS: Millis = 800;

/** Used where no limits are in force: those of the smallest deployments. */
const DEFAULT_CONTACT_MS: Millis = 3000;
const DEFAULT_APPLY_MS: Millis = 2000;

/**
 * Share of the time for a change to take effect that may pass between two watches. Endpoints that come and
 * go one after another would wake every host for each of them.
 */
const PAUSE_SHARE = 1 / 3;

const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 800;

/**
 * Keeps the `facts` panel equal to the store: lists it once, then follows its changes. After a failure
 * it continues from the last revision; where the store has forgotten that, it lists again.
 */
export class FactFeedController extends Disposable {
  private _failures = 0;

  constructor(private readonly _options: IFactFeedOptions) {
    super();
  }

  /** Follows the store until the controller is disposed. */
  public async run(): Promise<void> {
    let revision: number | undefined;
    while (!this._isDisposed) {
      revision = revision === undefined ? await this._list() : await this._watch(revision);
      if (this._failures > 0) await this._waitBeforeRetry();
    }
  }

  private async _list(): Promise<number | undefined> {
    const listed = await this._options.store.listFacts();
    if (listed.isErr) {
      this._handleFailure(listed.error);
      return undefined;
    }
    this._replaceAll(listed.value);
    this._handleContact(listed.value.revision);
    return listed.value.revision;
  }

  private async _watch(revision: number): Promise<number | undefined> {
    const { board, store } = this._options;
    const contactMs = board.limits.get('in-force')?.contactMs ?? DEFAULT_CONTACT_MS;
    const watched = await store.watchFacts(revision, contactMs - CONTACT_MARGIN_MS);
    if (watched.isErr) {
      this._handleFailure(watched.error);
      return revision;
    }
    if (watched.value.kind === 'compacted') return undefined;
    this._handleContact(watched.value.revision);
    for (const change of watched.value.changes) this._apply(change);
    // Changes that come meanwhile are read by one call.
    if (watched.value.changes.length > 0) await this._wait(this._measurePause());
    return watched.value.revision;
  }

  private _replaceAll({ facts: listed }: IFactList): void {
    const { facts } = this._options.board;
    const keys = new Set(listed.map(({ key }) => key));
    for (const { key } of [...facts.list()]) if (!keys.has(key)) facts.delete(key);
    for (const entry of listed) {
      if (facts.get(entry.key)?.revision !== entry.revision) facts.set(entry.key, entry);
    }
  }

  private _apply(change: FactChange): void {
    const { facts } = this._options.board;
    const known = facts.get(change.key);
    if (known && known.revision >= change.revision) return;
    if (change.kind === 'delete') facts.delete(change.key);
    else facts.set(change.key, { key: change.key, revision: change.revision, fact: change.fact });
  }

  private _handleContact(revision: number): void {
    const { board, clock } = this._options;
    this._failures = 0;
    const known = board.feed.get('store');
    if (known?.state === 'connected') board.feed.update('store', { revision });
    else {
      const losses = known?.losses ?? 0;
      board.feed.set('store', { state: 'connected', changedAt: clock.now(), revision, losses });
    }
  }

  private _handleFailure(error: StoreError): void {
    const { board, clock } = this._options;
    this._failures += 1;
    const known = board.feed.get('store');
    if (known?.state === 'lost') return;
    board.feed.set('store', {
      state: 'lost',
      changedAt: clock.now(),
      revision: known?.revision ?? 0,
      losses: (known?.losses ?? 0) + 1,
      reason: error.kind === 'conflict' ? error.kind : error.message,
    });
  }

  private _waitBeforeRetry(): Promise<void> {
    const longest = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** this._failures);
    return this._wait(longest * (0.5 + 0.5 * this._options.random()));
  }

  private _measurePause(): Millis {
    const applyMs = this._options.board.limits.get('in-force')?.applyMs ?? DEFAULT_APPLY_MS;
    return applyMs * PAUSE_SHARE;
  }

  private _wait(ms: Millis): Promise<void> {
    return new Promise((resolve) => {
      this._options.clock.schedule(ms, resolve);
    });
  }
}

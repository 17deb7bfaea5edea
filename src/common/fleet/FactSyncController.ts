import type { Blackboard } from '../blackboard/Blackboard.js';
import type { StoreError } from '../coordination/Types.js';
import type { Event } from '../Event.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import { FactMirror } from './FactMirror.js';
import type { IFactStore, IRefusedChange, IStorePosition } from './Types.js';

/** Options of the fact sync controller. */
export interface IFactSyncOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  store: Pick<IFactStore, 'listFacts' | 'watchFacts'>;
}

/**
 * How much sooner than `storeContactMs` a watch ends. Time limits bind the host from `storeContactMs` after an outage
 * of the store on. Before that, a lost watch has to time out, 500 ms after its end, the next call has to bring the
 * changes, and these have to be put in force.
 */
const WATCH_TIMEOUT_MARGIN_MS: Millis = 1100;

/**
 * Time for which a watch waits after a failed call. It is short, so that a call that is lost just before the store is
 * back does not delay the changes.
 */
const RECOVERY_WAIT_MS: Millis = 100;

/** Defaults while no limits are in force: the limits of the smallest deployments. */
const DEFAULT_CONTACT_MS: Millis = 3000;
const DEFAULT_APPLY_MS: Millis = 2000;

/**
 * Share of `maxApplyDelayMs` for which the controller pauses after a watch that brought changes. Without a pause, endpoints that
 * are added and removed one after another would end the watch of every host once for each of them.
 */
const WATCH_PAUSE_SHARE = 1 / 3;

/** Duration of a watch from which on its changes are new. A shorter one has found them waiting. */
const MIN_WATCH_WAIT_MS: Millis = 50;

const MIN_RETRY_DELAY_MS: Millis = 50;
const MAX_RETRY_DELAY_MS: Millis = 800;

/**
 * Computes the pause after a watch that brought changes. A host reads a change at most this much later than
 * the store has it.
 */
export function computeWatchPause(maxApplyDelayMs: Millis = DEFAULT_APPLY_MS): Millis {
  return maxApplyDelayMs * WATCH_PAUSE_SHARE;
}

/**
 * Keeps the `facts` panel equal to the store: lists all facts once, then watches for changes. After a failed
 * call it watches from the last revision again. If the store has compacted the changes since that revision, or has
 * been restored from a copy, it lists all facts again.
 */
export class FactSyncController extends Disposable {
  private readonly _mirror: FactMirror;
  private _consecutiveFailures = 0;
  private _lastReplyAt: Millis = 0;
  /** When the last call that failed was sent. */
  private _failedCallSentAt: Millis = 0;

  constructor(private readonly _options: IFactSyncOptions) {
    super();
    this._mirror = this._register(new FactMirror(_options));
  }

  /** Fires for each change that the host's copy of the store refuses. */
  public get onRefused(): Event<IRefusedChange> {
    return this._mirror.onRefused;
  }

  /** Lists and watches the store until the controller is disposed. */
  public async run(): Promise<void> {
    let position: IStorePosition | undefined;
    while (!this._isDisposed) {
      position = position === undefined ? await this._listFacts() : await this._watchFacts(position);
      if (this._consecutiveFailures > 0) await this._waitBeforeRetry();
    }
  }

  private async _listFacts(): Promise<IStorePosition | undefined> {
    const startedAt = this._options.clock.now();
    const listed = await this._options.store.listFacts();
    if (listed.isErr) {
      this._handleStoreError(listed.error, startedAt);
      return undefined;
    }
    const { era, revision } = listed.value;
    const position = era === undefined ? { revision } : { revision, era };
    this._handleStoreReply(position, this._options.clock.now());
    this._mirror.replaceFacts(listed.value);
    return position;
  }

  private async _watchFacts(position: IStorePosition): Promise<IStorePosition | undefined> {
    const { board, clock, store } = this._options;
    const startedAt = clock.now();
    const watched = await store.watchFacts(position, this._computeWatchWait());
    if (watched.isErr) {
      this._handleStoreError(watched.error, startedAt);
      return position;
    }
    if (watched.value.kind !== 'changes') return undefined;
    const { changes, revision } = watched.value;
    const nextPosition = { ...position, revision };
    // A watch that had to wait ends with the change; another brings changes made since the reply before.
    const hasWaited = clock.now() - startedAt >= MIN_WATCH_WAIT_MS;
    this._handleStoreReply(nextPosition, hasWaited ? clock.now() : this._lastReplyAt);
    this._mirror.applyChanges(changes, position.era);
    // The next watch reads all changes that are made during the pause in one call.
    if (changes.length > 0) {
      await this._wait(computeWatchPause(board.limits.get('in-force')?.maxApplyDelayMs));
    }
    return nextPosition;
  }

  private _computeWatchWait(): Millis {
    if (this._consecutiveFailures > 0) return RECOVERY_WAIT_MS;
    const storeContactMs = this._options.board.limits.get('in-force')?.storeContactMs ?? DEFAULT_CONTACT_MS;
    return Math.max(RECOVERY_WAIT_MS, storeContactMs - WATCH_TIMEOUT_MARGIN_MS);
  }

  private _handleStoreReply({ era = 0, revision }: IStorePosition, changesSince: Millis): void {
    const { board, clock } = this._options;
    const now = clock.now();
    const previousReplyAt = this._lastReplyAt;
    this._consecutiveFailures = 0;
    this._lastReplyAt = now;
    const known = board.storeConnection.get('store');
    const isRestored = known !== undefined && era > (known.era ?? 0);
    if (known?.state === 'connected')
      board.storeConnection.update('store', {
        revision,
        era,
        changesSince,
        ...(isRestored ? { availableSince: now, restoredAt: now } : {}),
      });
    else {
      const losses = known?.losses ?? 0;
      const restoration = known?.restoredAt === undefined ? {} : { restoredAt: known.restoredAt };
      board.storeConnection.set('store', {
        state: 'connected',
        changedAt: now,
        silentMs: now - previousReplyAt,
        revision,
        era,
        losses,
        changesSince,
        // The store may have been back since the last call that failed was sent. The owners of what a restored store
        // lacks may only now be reaching it.
        ...(known ? { availableSince: isRestored ? now : this._failedCallSentAt } : {}),
        ...(isRestored ? { restoredAt: now } : restoration),
      });
    }
  }

  private _handleStoreError(error: StoreError, sentAt: Millis): void {
    const { board, clock } = this._options;
    this._consecutiveFailures += 1;
    this._failedCallSentAt = sentAt;
    const known = board.storeConnection.get('store');
    if (known?.state === 'lost') return;
    const now = clock.now();
    board.storeConnection.set('store', {
      state: 'lost',
      changedAt: now,
      silentMs: now - this._lastReplyAt,
      revision: known?.revision ?? 0,
      era: known?.era ?? 0,
      losses: (known?.losses ?? 0) + 1,
      changesSince: known?.changesSince ?? clock.now(),
      ...(known?.restoredAt === undefined ? {} : { restoredAt: known.restoredAt }),
      reason: error.kind === 'conflict' ? error.kind : error.message,
    });
  }

  private _waitBeforeRetry(): Promise<void> {
    const factor = 2 ** (this._consecutiveFailures - 1);
    const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * factor);
    return this._wait(maxDelayMs * (0.5 + 0.5 * this._options.random()));
  }

  private _wait(ms: Millis): Promise<void> {
    return new Promise((resolve) => {
      this._options.clock.schedule(ms, resolve);
    });
  }
}

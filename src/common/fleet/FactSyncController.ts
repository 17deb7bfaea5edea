import { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { StoreError } from '../coordination/Types.js';
import type { Event } from '../Event.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import type { NewsLog } from '../news/NewsLog.js';
import type { NewsSources } from '../news/NewsSources.js';
import type {
  AskForNews,
  DecodePassedFact,
  INewsAge,
  NewsContent,
  NewsFailure,
  NewsReply,
} from '../news/Types.js';
import { FactMirror } from './FactMirror.js';
import type {
  FactChange,
  FactSizes,
  IFactEntry,
  IFactStore,
  IRefusedChange,
  IStorePosition,
} from './Types.js';

/** Options of the fact sync controller. */
export interface IFactSyncOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  store: Pick<IFactStore, 'listFacts' | 'watchFacts'>;
  /** News of the store by way of other hosts. Default: this host reads the store itself. */
  peers?: INewsPeers;
}

/** Hosts that pass on news of the store to one another. */
export interface INewsPeers {
  sources: Pick<NewsSources, 'choose' | 'hasReaders' | 'recordFailure' | 'recordSuccess'>;
  askForNews: AskForNews;
  decodeFact: DecodePassedFact;
  /** Log from which other hosts are answered. */
  log: NewsLog;
}

/** What a reply tells beside its changes. Times are those of this host's clock. */
interface IReplyTimes {
  /** When all changes of the store were known. */
  completeAt: Millis;
  /** Earliest time at which the changes can have been made. */
  changesSince: Millis;
  /** Earliest time at which the store can have been back after its last loss, as another host knows it. */
  availableSince?: Millis | undefined;
  /** Host that answered; `undefined` for the store. */
  newsHost?: string | undefined;
  /** Sizes of the values in the reply; `undefined` if it had none. */
  readBytes: FactSizes | undefined;
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

/**
 * The same share while other hosts read the store by way of this one, and the share of `maxApplyDelayMs` after which a
 * reply is due also without changes. Each host waits that long once more for the host that it asks, so that the news of
 * a host whose source has fallen silent are complete again before `maxApplyDelayMs` has passed.
 */
const READER_PAUSE_SHARE = 0.2;
const NEWS_WAIT_SHARE = 0.35;

/**
 * Time beyond the wait of a question after which its host counts as unreachable, whatever the network does. The network
 * ends questions sooner; one that it never ends would keep this host from all news.
 */
const NEWS_REPLY_MARGIN_MS: Millis = 400;

/**
 * Age, as a share of `maxApplyDelayMs`, up to which another host's news count as complete. It allows for the wait of
 * that host's own call.
 */
const MAX_NEWS_AGE_SHARE = 0.5;

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
 * Keeps the `facts` panel equal to the store: lists all facts once, then watches for changes, or asks a host that does. After a failed
 * call it watches from the last revision again. If the store has compacted the changes since that revision, or has
 * been restored from a copy, it lists all facts again.
 */
export class FactSyncController extends Disposable {
  private readonly _mirror: FactMirror;
  private _consecutiveFailures = 0;
  private _lastReplyAt: Millis = 0;
  /** When the last call that failed was sent. */
  private _failedCallSentAt: Millis = 0;
  /** When the last call to the store ended. */
  private _storeCallEndedAt: Millis = 0;

  constructor(private readonly _options: IFactSyncOptions) {
    super();
    this._mirror = this._register(new FactMirror(_options));
  }

  /** Fires for each change that the host's copy of the store refuses. */
  public get onRefused(): Event<IRefusedChange> {
    return this._mirror.onRefused;
  }

  /** Lists and watches the store, or asks other hosts for its changes, until the controller is disposed. */
  public async run(): Promise<void> {
    let position: IStorePosition | undefined;
    while (!this._isDisposed) {
      position = position === undefined ? await this._listFacts() : await this._readNews(position);
      if (this._consecutiveFailures > 0) await this._waitBeforeRetry();
    }
  }

  private _readNews(position: IStorePosition): Promise<IStorePosition | undefined> {
    const { board, peers } = this._options;
    const isLost = board.storeConnection.get('store')?.state === 'lost';
    const source = peers?.sources.choose(isLost) ?? { kind: 'store' };
    return peers && source.kind === 'host'
      ? this._requestNews(peers, source.host, position)
      : this._watchFacts(position);
  }

  private async _listFacts(): Promise<IStorePosition | undefined> {
    const { clock, peers, store } = this._options;
    const startedAt = clock.now();
    const listed = await store.listFacts();
    if (listed.isErr) {
      this._handleStoreError(listed.error, startedAt);
      return undefined;
    }
    const { era, revision } = listed.value;
    const position = era === undefined ? { revision } : { revision, era };
    const now = clock.now();
    const readBytes = measureFactSizes(listed.value.facts);
    this._handleStoreReply(position, { completeAt: now, changesSince: now, readBytes });
    this._mirror.replaceFacts(listed.value);
    peers?.log.recordList(listed.value, { completeAt: now, madeSince: now });
    return position;
  }

  private async _watchFacts(position: IStorePosition): Promise<IStorePosition | undefined> {
    const { clock, peers, store } = this._options;
    const startedAt = clock.now();
    const watched = await store.watchFacts(position, this._computeWatchWait());
    this._storeCallEndedAt = clock.now();
    if (watched.isErr) {
      this._handleStoreError(watched.error, startedAt);
      return position;
    }
    if (watched.value.kind !== 'changes') return undefined;
    const { changes, revision } = watched.value;
    const nextPosition = { ...position, revision };
    // A watch that had to wait ends with the change; another brings changes made since the reply before.
    const now = clock.now();
    const hasWaited = now - startedAt >= MIN_WATCH_WAIT_MS;
    const times = {
      completeAt: now,
      changesSince: hasWaited ? now : this._lastReplyAt,
      readBytes: measureFactSizes(changes),
    };
    this._handleStoreReply(nextPosition, times);
    this._mirror.applyChanges(changes, position.era);
    peers?.log.recordChanges(changes, nextPosition, { completeAt: now, madeSince: times.changesSince });
    // The next watch reads all changes that are made during the pause in one call.
    if (changes.length > 0) await this._wait(this._computePause());
    return nextPosition;
  }

  /** Asks another host for the changes since a position. Returns the position that is reached then. */
  private async _requestNews(
    peers: INewsPeers,
    host: string,
    position: IStorePosition,
  ): Promise<IStorePosition> {
    const { clock } = this._options;
    const asked = await this._requestInTime(peers, host, position);
    const reply: NewsReply = asked.unwrapOr({ kind: 'unavailable' });
    if (reply.kind === 'unavailable' || reply.kind === 'busy') {
      peers.sources.recordFailure(host, asked.isErr ? 'unreachable' : reply.kind);
      return position;
    }
    const completeAt = clock.now() - reply.age.completeMs;
    const failure = this._checkNews(reply, position, completeAt);
    if (failure) peers.sources.recordFailure(host, failure);
    else peers.sources.recordSuccess(host);
    // News that are too old are taken as well, but do not count as contact with the store.
    if (failure && !isAhead(reply, position)) return position;
    const { era, revision } = reply;
    const nextPosition = { era, revision };
    const changes = decodeReply(reply, peers.decodeFact);
    const times = this._readTimes(reply.age, host, measureFactSizes(changes));
    if (!failure) this._handleStoreReply(nextPosition, times);
    const logTimes = { completeAt, madeSince: times.changesSince };
    if (reply.kind === 'list') {
      const facts = changes.filter((change) => change.kind === 'put');
      this._mirror.replaceFacts({ era, revision, facts });
      peers.log.recordList({ era, revision, facts }, logTimes);
    } else {
      this._mirror.applyChanges(changes, era);
      peers.log.recordChanges(changes, nextPosition, logTimes);
    }
    return nextPosition;
  }

  private _requestInTime(
    { askForNews }: INewsPeers,
    host: string,
    position: IStorePosition,
  ): ReturnType<AskForNews> {
    const waitMs = NEWS_WAIT_SHARE * this._maxApplyDelayMs;
    return new Promise((resolve) => {
      const timer = this._options.clock.schedule(waitMs + NEWS_REPLY_MARGIN_MS, () => {
        resolve(Result.err({ kind: 'unknown-outcome', message: 'The host did not reply in time.' }));
      });
      void askForNews(host, position, waitMs).then((reply) => {
        timer.dispose();
        resolve(reply);
      });
    });
  }

  /** Checks whether another host's news can be followed from a position; `undefined` if they can. */
  private _checkNews(
    reply: NewsContent,
    position: IStorePosition,
    completeAt: Millis,
  ): NewsFailure | undefined {
    const era = position.era ?? 0;
    if (reply.era < era || (reply.era === era && reply.revision < position.revision)) return 'outdated';
    if (reply.kind === 'changes' && reply.era !== era) return 'outdated';
    const maxAgeMs = MAX_NEWS_AGE_SHARE * this._maxApplyDelayMs;
    return this._options.clock.now() - completeAt > maxAgeMs ? 'outdated' : undefined;
  }

  private _readTimes(
    { availableMs, completeMs, madeMs }: INewsAge,
    newsHost: string,
    readBytes: FactSizes | undefined,
  ): IReplyTimes {
    const now = this._options.clock.now();
    return {
      completeAt: now - completeMs,
      changesSince: now - madeMs,
      availableSince: availableMs === undefined ? undefined : now - availableMs,
      newsHost,
      readBytes,
    };
  }

  private get _maxApplyDelayMs(): Millis {
    return this._options.board.limits.get('in-force')?.maxApplyDelayMs ?? DEFAULT_APPLY_MS;
  }

  private _computePause(): Millis {
    return this._options.peers?.sources.hasReaders() === true
      ? READER_PAUSE_SHARE * this._maxApplyDelayMs
      : computeWatchPause(this._maxApplyDelayMs);
  }

  private _computeWatchWait(): Millis {
    if (this._consecutiveFailures > 0) return RECOVERY_WAIT_MS;
    const { board, clock, peers } = this._options;
    if (peers?.sources.hasReaders() === true) {
      // After a pause the reply is due sooner, so that the news of this host are never older than without one.
      const pausedMs = clock.now() - this._storeCallEndedAt;
      return Math.max(RECOVERY_WAIT_MS, NEWS_WAIT_SHARE * this._maxApplyDelayMs - pausedMs);
    }
    const storeContactMs = board.limits.get('in-force')?.storeContactMs ?? DEFAULT_CONTACT_MS;
    return Math.max(RECOVERY_WAIT_MS, storeContactMs - WATCH_TIMEOUT_MARGIN_MS);
  }

  private _handleStoreReply({ era = 0, revision }: IStorePosition, times: IReplyTimes): void {
    const { board, clock } = this._options;
    const now = clock.now();
    const previousReplyAt = this._lastReplyAt;
    this._consecutiveFailures = 0;
    this._lastReplyAt = times.completeAt;
    const known = board.storeConnection.get('store');
    const isRestored = known !== undefined && era > (known.era ?? 0);
    const { changesSince, completeAt, newsHost, readBytes } = times;
    const told = times.availableSince ?? -Infinity;
    if (known?.state === 'connected') {
      const availableSince = Math.max(told, known.availableSince ?? -Infinity);
      board.storeConnection.update('store', {
        revision,
        era,
        changesSince,
        completeAt,
        newsHost,
        readBytes,
        ...(availableSince > -Infinity ? { availableSince } : {}),
        ...(isRestored ? { availableSince: now, restoredAt: now } : {}),
      });
    } else {
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
        completeAt,
        newsHost,
        readBytes,
        // The store may have been back since the last call that failed was sent. The owners of what a restored store
        // lacks may only now be reaching it.
        ...(known ? { availableSince: isRestored ? now : Math.max(told, this._failedCallSentAt) } : {}),
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
      ...(known?.completeAt === undefined ? {} : { completeAt: known.completeAt }),
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

/** Decodes the values of another host's news. A list is decoded into a write of each of its facts. */
function decodeReply(reply: NewsContent, decodeFact: DecodePassedFact): FactChange[] {
  const { era } = reply;
  const changes = reply.kind === 'list' ? reply.facts : reply.changes;
  return changes.map(({ encoded, key, revision }): FactChange =>
    encoded === undefined
      ? { kind: 'delete', key, revision }
      : { kind: 'put', key, revision, era, encoded, fact: decodeFact(key, encoded) },
  );
}

/** Adds up the sizes of values by kind of fact; `undefined` if there are none. */
function measureFactSizes(facts: readonly (FactChange | IFactEntry)[]): FactSizes | undefined {
  const sizes: Partial<Record<IFactEntry['fact']['kind'], number>> = {};
  for (const change of facts) {
    if (!('fact' in change)) continue;
    sizes[change.fact.kind] = (sizes[change.fact.kind] ?? 0) + (change.encoded?.length ?? 0);
  }
  return Object.keys(sizes).length === 0 ? undefined : sizes;
}

/** Tells whether another host's news go beyond a position. */
function isAhead(reply: NewsContent, position: IStorePosition): boolean {
  const era = position.era ?? 0;
  if (reply.kind === 'list' && reply.era > era) return true;
  return reply.era === era && reply.revision > position.revision;
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IStorePosition } from '../fleet/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { computeBurst, TokenBucket } from '../request/TokenBucket.js';
import type { IClock, Millis } from '../Types.js';
import type { NewsLog } from './NewsLog.js';
import type { NewsReply } from './Types.js';

/** Options of the news publisher. */
export interface INewsPublisherOptions {
  board: Blackboard;
  clock: IClock;
  log: NewsLog;
  /** Called with each answer and its size. Default: none. */
  onReply?: (kind: NewsReply['kind'], bytes: number) => void;
}

/** Longest time for which a host that asks is kept waiting, whatever it asks for. */
const MAX_WAIT_MS: Millis = 10_000;

/** Default of the rate of this host's link while no limits are in force: that of the narrowest links. */
const DEFAULT_LINK_BYTES_PER_S = 875_000;

/**
 * Share of this host's link that answers may take. The host's own calls to the store and its callers' answers wait behind
 * them; a host that is told `busy` reads the store itself.
 */
const LINK_SHARE = 0.25;

interface IWaitingHost {
  position: IStorePosition;
  timer: IDisposable;
  reply: () => void;
}

/**
 * Answers the hosts that ask this one for news of the store: at once if they lack some, else with the next change, when
 * this host loses the store or has it back, or when their wait is over.
 */
export class NewsPublisher extends Disposable {
  private readonly _waiting = new Set<IWaitingHost>();
  /** Bytes that answers may still take of the link. */
  private readonly _sendBudget: TokenBucket;

  constructor(private readonly _options: INewsPublisherOptions) {
    super();
    const { board, clock, log } = _options;
    const bytesPerS = this._computeSendRate();
    this._sendBudget = new TokenBucket(bytesPerS, computeBurst(bytesPerS), clock.now());
    this._register(
      log.onChange(() => {
        for (const waiting of [...this._waiting]) if (log.hasNews(waiting.position)) waiting.reply();
      }),
    );
    this._register(
      board.storeConnection.onChange(({ before, after }) => {
        if (before && after?.state !== before.state) this._replyToAll();
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._replyToAll();
  }

  /**
   * Answers a host that knows the store up to a position. While this host has lost the store, the answer waits as well,
   * so that those who ask do not ask again at once. A host that cannot be answered within the budget of the link is told
   * so at once and reads the store.
   * @example
   * const reply = await publisher.handleQuestion({ era: 1, revision: 52 }, 800);
   */
  public async handleQuestion(position: IStorePosition, waitMs: Millis): Promise<NewsReply> {
    const found = await this._findReply(position, waitMs);
    const reply: NewsReply = this._takeBudget(found) ? found : { kind: 'busy' };
    this._options.onReply?.(reply.kind, measureReply(reply));
    return reply;
  }

  /** Takes the bytes of an answer from the budget; returns false if it has too few. */
  private _takeBudget(reply: NewsReply): boolean {
    const now = this._options.clock.now();
    this._sendBudget.setRate(this._computeSendRate(), now);
    return this._sendBudget.take(now, measureReply(reply));
  }

  private _computeSendRate(): number {
    const limits = this._options.board.limits.get('in-force');
    return LINK_SHARE * (limits?.linkBytesPerS ?? DEFAULT_LINK_BYTES_PER_S);
  }

  private async _findReply(position: IStorePosition, waitMs: Millis): Promise<NewsReply> {
    const { board, log } = this._options;
    const isConnected = (): boolean => board.storeConnection.get('store')?.state === 'connected';
    if (!(isConnected() && log.hasNews(position)) && !this._isDisposed)
      await this._waitForNews(position, waitMs);
    const connection = board.storeConnection.get('store');
    return isConnected() ? log.buildReply(position, connection?.availableSince) : { kind: 'unavailable' };
  }

  private _waitForNews(position: IStorePosition, waitMs: Millis): Promise<void> {
    return new Promise((resolve) => {
      const waiting: IWaitingHost = {
        position,
        reply: () => {
          this._waiting.delete(waiting);
          waiting.timer.dispose();
          resolve();
        },
        timer: this._options.clock.schedule(Math.min(MAX_WAIT_MS, waitMs), () => {
          waiting.reply();
        }),
      };
      this._waiting.add(waiting);
    });
  }

  private _replyToAll(): void {
    for (const waiting of [...this._waiting]) waiting.reply();
  }
}

/** Measures the values in an answer, in bytes. */
function measureReply(reply: NewsReply): number {
  if (reply.kind !== 'list' && reply.kind !== 'changes') return 0;
  const changes = reply.kind === 'list' ? reply.facts : reply.changes;
  return changes.reduce((sum, { encoded }) => sum + (encoded?.length ?? 0), 0);
}

import type { Millis } from '../Types.js';
import type { IQueuedRequest, IQueueOrder } from './Types.js';

/** Binary heap of the requests of one account, lowest rank first. Removed requests are skipped later. */
class RankHeap {
  private readonly _items: IQueuedRequest[] = [];

  public get first(): IQueuedRequest | undefined {
    return this._items[0];
  }

  public push(item: IQueuedRequest): void {
    const items = this._items;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = items[parent];
      if (!above || above.rank <= item.rank) break;
      items[index] = above;
      index = parent;
    }
    items[index] = item;
  }

  public removeFirst(): void {
    const items = this._items;
    const last = items.pop();
    if (!last || items.length === 0) return;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const child = (items[right]?.rank ?? Infinity) < (items[left]?.rank ?? Infinity) ? right : left;
      const below = items[child];
      if (!below || below.rank >= last.rank) break;
      items[index] = below;
      index = child;
    }
    items[index] = last;
  }
}

interface IAccountQueue {
  heap: RankHeap;
  count: number;
  weight: number;
  /** Virtual time at which the account's last served work ends. */
  finishTag: number;
  /** When the account was last served while more of its requests waited. */
  takenAt: Millis | undefined;
  /** Smoothed time between two starts of the account's requests while others of them waited. */
  startIntervalMs: Millis | undefined;
}

/** Weight of the newest time between two starts. */
const INTERVAL_WEIGHT = 0.1;

/**
 * Queue of one lane: a heap per client account, and start-time fair queueing among the accounts that
 * have waiting requests. Adding and taking costs O(log n) plus one step per waiting account.
 */
export class RequestQueue {
  private readonly _accounts = new Map<string, IAccountQueue>();
  private readonly _members = new Map<string, IQueuedRequest>();
  private _virtualTime = 0;
  private _activeWeight = 0;

  constructor(private readonly _order: IQueueOrder) {}

  public get size(): number {
    return this._members.size;
  }

  /** Adds a request. The weight is the account's share of capacity relative to the others. */
  public add(item: Omit<IQueuedRequest, 'rank' | 'startTag'>, weight: number): void {
    const key = formatAccount(item.request);
    let account = this._accounts.get(key);
    if (!account) {
      account = {
        heap: new RankHeap(),
        count: 0,
        weight,
        finishTag: this._virtualTime,
        takenAt: undefined,
        startIntervalMs: undefined,
      };
      this._accounts.set(key, account);
    }
    if (account.count === 0) this._activeWeight += weight;
    else this._activeWeight += weight - account.weight;
    account.weight = weight;
    account.count += 1;
    const queued: IQueuedRequest = { ...item, rank: this._order.rankQueued(item), startTag: 0 };
    this._members.set(item.request.id, queued);
    account.heap.push(queued);
  }

  /** Returns the request that goes first now, without removing it. */
  public findFirst(now: Millis): IQueuedRequest | undefined {
    let best: IQueuedRequest | undefined;
    for (const account of this._accounts.values()) {
      const head = this._findHead(account);
      if (!head) continue;
      head.startTag = Math.max(this._virtualTime, account.finishTag);
      if (!best || this._order.compareHeads(head, best, now) < 0) best = head;
    }
    return best;
  }

  /** Removes a request that starts and charges its account. */
  public take(item: IQueuedRequest, now: Millis): void {
    const account = this._accounts.get(formatAccount(item.request));
    this.remove(item.request.id);
    if (!account) return;
    this._virtualTime = Math.max(this._virtualTime, item.startTag);
    account.finishTag = item.startTag + item.expectedTokens / account.weight;
    observeStart(account, now);
  }

  /** Removes a request that no longer waits. Returns false when it is not in the queue. */
  public remove(id: string): boolean {
    const item = this._members.get(id);
    if (!item) return false;
    this._members.delete(id);
    const key = formatAccount(item.request);
    const account = this._accounts.get(key);
    if (!account) return true;
    account.count -= 1;
    if (account.count > 0) return true;
    this._activeWeight -= account.weight;
    // An account that has used no more than its share needs no memory of it.
    if (account.finishTag <= this._virtualTime) this._accounts.delete(key);
    return true;
  }

  /** Lists the waiting requests. */
  public list(): IterableIterator<IQueuedRequest> {
    return this._members.values();
  }

  /**
   * Counts the requests that go before a new one of an account: all of them, or fewer when the account's
   * own requests reach its fair share sooner.
   */
  public countAhead(account: string, weight: number): number {
    const own = this._accounts.get(account);
    const count = own?.count ?? 0;
    const activeWeight = this._activeWeight + (count === 0 ? weight : 0);
    return Math.min(this._members.size, (count * activeWeight) / weight);
  }

  /** Estimates the wait of a new request from the pace at which its account's requests have started. */
  public estimateWait(account: string): Millis {
    const { count = 0, startIntervalMs = 0 } = this._accounts.get(account) ?? {};
    return count * startIntervalMs;
  }

  private _findHead(account: IAccountQueue): IQueuedRequest | undefined {
    for (let head = account.heap.first; head; head = account.heap.first) {
      if (this._members.get(head.request.id) === head) return head;
      account.heap.removeFirst();
    }
    return undefined;
  }
}

function observeStart(account: IAccountQueue, now: Millis): void {
  if (account.takenAt !== undefined) {
    const interval = now - account.takenAt;
    const known = account.startIntervalMs ?? interval;
    account.startIntervalMs = known + INTERVAL_WEIGHT * (interval - known);
  }
  account.takenAt = account.count > 0 ? now : undefined;
}

/** Formats the key of a request's client account. */
export function formatAccount(request: { service: string; account: string }): string {
  return `${request.service}/${request.account}`;
}

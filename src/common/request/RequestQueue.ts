import type { Millis } from '../Types.js';
import type { IQueuedRequest, IQueueOrder } from './Types.js';

/**
 * Binary heap of the requests of one account, lowest rank first. A request that is removed from the queue
 * stays in the heap until it reaches the top.
 */
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
      const parentItem = items[parent];
      if (!parentItem || parentItem.rank <= item.rank) break;
      items[index] = parentItem;
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
      const childItem = items[child];
      if (!childItem || childItem.rank >= last.rank) break;
      items[index] = childItem;
      index = child;
    }
    items[index] = last;
  }
}

interface IAccountQueue {
  heap: RankHeap;
  /** Number of waiting requests. The heap may hold more, because removed requests stay in it for a while. */
  count: number;
  weight: number;
  /** Finish tag of the account in start-time fair queueing: virtual time when its last started work ends. */
  finishTag: number;
  /**
   * When a request of the account last started; `undefined` if no other request of the account waited then.
   */
  lastStartAt: Millis | undefined;
  /** Smoothed time between starts of the account's requests, measured only while more of them waited. */
  startIntervalMs: Millis | undefined;
}

/** Weight of the newest sample in the smoothed time between starts. */
const INTERVAL_WEIGHT = 0.1;

/**
 * Queue of one lane: a heap per client account, and start-time fair queueing among the accounts that
 * have waiting requests. Adding and taking costs O(log n) plus one step per waiting account.
 */
export class RequestQueue {
  private readonly _accounts = new Map<string, IAccountQueue>();
  private readonly _itemsById = new Map<string, IQueuedRequest>();
  private _virtualTime = 0;
  private _activeWeight = 0;

  constructor(private readonly _order: IQueueOrder) {}

  public get size(): number {
    return this._itemsById.size;
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
        lastStartAt: undefined,
        startIntervalMs: undefined,
      };
      this._accounts.set(key, account);
    }
    if (account.count === 0) this._activeWeight += weight;
    else this._activeWeight += weight - account.weight;
    account.weight = weight;
    account.count += 1;
    const queued: IQueuedRequest = { ...item, rank: this._order.rankQueued(item), startTag: 0 };
    this._itemsById.set(item.request.id, queued);
    account.heap.push(queued);
  }

  /** Returns the request that goes first at this time, without removing it. */
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

  /** Removes a request that starts, and charges its expected tokens to its account. */
  public take(item: IQueuedRequest, now: Millis): void {
    const account = this._accounts.get(formatAccount(item.request));
    this.remove(item.request.id);
    if (!account) return;
    this._virtualTime = Math.max(this._virtualTime, item.startTag);
    account.finishTag = item.startTag + item.expectedTokens / account.weight;
    recordStartInterval(account, now);
  }

  /** Removes a request from the queue. Returns false if it is not queued. */
  public remove(id: string): boolean {
    const item = this._itemsById.get(id);
    if (!item) return false;
    this._itemsById.delete(id);
    const key = formatAccount(item.request);
    const account = this._accounts.get(key);
    if (!account) return true;
    account.count -= 1;
    if (account.count > 0) return true;
    this._activeWeight -= account.weight;
    // A finish tag that is not ahead of the virtual time has no effect on later start tags, so the account
    // can be dropped.
    if (account.finishTag <= this._virtualTime) this._accounts.delete(key);
    return true;
  }

  /** Lists the waiting requests. */
  public list(): IterableIterator<IQueuedRequest> {
    return this._itemsById.values();
  }

  /**
   * Estimates how many requests would start before a new request of an account. That is the account's queued
   * requests divided by its share of the total weight, and at most the whole queue.
   */
  public countAhead(account: string, weight: number): number {
    const ownQueue = this._accounts.get(account);
    const ownCount = ownQueue?.count ?? 0;
    const activeWeight = this._activeWeight + (ownCount === 0 ? weight : 0);
    return Math.min(this._itemsById.size, (ownCount * activeWeight) / weight);
  }

  /** Estimates the wait of a new request from the recent time between starts of its account's requests. */
  public estimateWait(account: string): Millis {
    const { count = 0, startIntervalMs = 0 } = this._accounts.get(account) ?? {};
    return count * startIntervalMs;
  }

  /** Returns the first queued request of an account, and drops removed requests from the top of its heap. */
  private _findHead(account: IAccountQueue): IQueuedRequest | undefined {
    for (let head = account.heap.first; head; head = account.heap.first) {
      if (this._itemsById.get(head.request.id) === head) return head;
      account.heap.removeFirst();
    }
    return undefined;
  }
}

function recordStartInterval(account: IAccountQueue, now: Millis): void {
  if (account.lastStartAt !== undefined) {
    const intervalMs = now - account.lastStartAt;
    const smoothedMs = account.startIntervalMs ?? intervalMs;
    account.startIntervalMs = smoothedMs + INTERVAL_WEIGHT * (intervalMs - smoothedMs);
  }
  account.lastStartAt = account.count > 0 ? now : undefined;
}

/** Formats the key of a request's client account. */
export function formatAccount(request: { service: string; account: string }): string {
  return `${request.service}/${request.account}`;
}

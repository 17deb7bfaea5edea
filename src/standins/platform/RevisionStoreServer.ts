import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { parseJson, readBody, sendJson, startServer } from '../HttpTools.js';
import type { IStandIn } from '../Types.js';

/**
 * How the store handles calls. `none`: normally. `refuse`: with a 503 response. `silent`: without a response.
 * `lose-replies`: normally, but it closes the connection of a transaction instead of replying.
 */
export type RevisionStoreFault = 'none' | 'refuse' | 'silent' | 'lose-replies';

interface IStoredItem {
  key: string;
  value: string;
  revision: number;
  createRevision: number;
  lease: number;
}

/** Content of the store at one moment. */
export interface IStoreCopy {
  revision: number;
  items: ReadonlyMap<string, Readonly<IStoredItem>>;
}

interface IHistoryEvent {
  key: string;
  revision: number;
  item: IStoredItem | undefined;
}

/** A running fake of the platform's key-value store, which numbers all changes with one revision counter. */
export interface IRevisionStoreStandIn extends IStandIn {
  /** How the store handles calls from now on. */
  fault: RevisionStoreFault;
  /** Number of calls by operation, refused and unanswered calls included. */
  calls: Map<string, number>;
  /** Writes a JSON value, as the operator or an endpoint does, and returns its revision. */
  put: (key: string, value: unknown) => number;
  /** Writes bytes that need not be JSON, as any other writer may, and returns their revision. */
  putBytes: (key: string, value: Buffer) => number;
  remove: (key: string) => void;
  /** Returns the JSON value of a key, or `undefined` when the key does not exist. */
  read: (key: string) => unknown;
  /** Copies the store, so that it can be restored. */
  copy: () => IStoreCopy;
  /** Restores the store from a copy: what was written since is lost, and its revisions are given out again. */
  restore: (copy: IStoreCopy) => void;
  /** Discards the history: a watch from an earlier revision gets a 410 response, and its client must list again. */
  compact: () => void;
}

const TRANSACTION_SCHEMA = z.object({
  expectedRev: z.array(z.object({ key: z.string(), revision: z.number() })),
  setKeys: z.array(z.object({ key: z.string(), value: z.string() })),
  remove: z.array(z.string()),
});

/** Maximum items in one page of a list; small, so that tests need several pages. */
const MAX_ITEMS_PER_PAGE = 100;

class RevisionStore {
  public readonly items = new Map<string, IStoredItem>();
  private _history: IHistoryEvent[] = [];
  private readonly _changeListeners = new Set<() => void>();
  public revision = 1;
  /** How often the store has been restored. */
  public era = 1;
  /** Events up to this revision have been discarded. */
  private _compactedRevision = 0;

  public apply(writes: readonly { key: string; value: string }[], remove: readonly string[]): number {
    this.revision += 1;
    const { revision } = this;
    for (const { key, value } of writes) {
      const createRevision = this.items.get(key)?.createRevision ?? revision;
      const item = { key, value, revision, createRevision, lease: 0 };
      this.items.set(key, item);
      this._history.push({ key, revision, item });
    }
    for (const key of remove) {
      if (this.items.delete(key)) this._history.push({ key, revision, item: undefined });
    }
    for (const notify of [...this._changeListeners]) notify();
    return revision;
  }

  public restore({ items, revision }: IStoreCopy): void {
    this.items.clear();
    for (const [key, item] of items) this.items.set(key, item);
    this.revision = revision;
    this.era += 1;
    this.compactHistory();
  }

  public compactHistory(): void {
    this._history = [];
    this._compactedRevision = this.revision;
    for (const notify of [...this._changeListeners]) notify();
  }

  public listEvents(prefix: string, after: number): IHistoryEvent[] | undefined {
    if (after < this._compactedRevision || after > this.revision) return undefined;
    return this._history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
  }

  public waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this._changeListeners.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this._changeListeners.add(finish);
    });
  }
}

/** Starts a fake key-value store with revisions, transactions and watches on key prefixes. */
export async function startRevisionStoreServer(): Promise<IRevisionStoreStandIn> {
  const store = new RevisionStore();
  const calls = new Map<string, number>();
  const state: { fault: RevisionStoreFault } = { fault: 'none' };
  const server = await startServer((request, response) => {
    const operation = /\/-\/kv-([a-z]+)/.exec(request.url ?? '')?.[1] ?? 'unknown';
    calls.set(operation, (calls.get(operation) ?? 0) + 1);
    if (state.fault === 'silent') return;
    response.setHeader('Store-Era', String(store.era));
    if (state.fault === 'refuse') sendJson(response, 503, {});
    else void serveCall(store, operation, request, response, () => state.fault === 'lose-replies');
  });
  return Object.assign(state, {
    address: server.address,
    close: server.close,
    calls,
    put: (key: string, value: unknown) => store.apply([{ key, value: encodeBase64Json(value) }], []),
    putBytes: (key: string, value: Buffer) => store.apply([{ key, value: value.toString('base64') }], []),
    remove: (key: string) => {
      store.apply([], [key]);
    },
    read: (key: string) => {
      const value = store.items.get(key)?.value;
      return value === undefined ? undefined : parseJson(Buffer.from(value, 'base64'));
    },
    copy: () => ({ revision: store.revision, items: new Map(store.items) }),
    restore: (copy: IStoreCopy) => {
      store.restore(copy);
    },
    compact: () => {
      store.compactHistory();
    },
  });
}

async function serveCall(
  store: RevisionStore,
  operation: string,
  request: IncomingMessage,
  response: ServerResponse,
  isLosingReplies: () => boolean,
): Promise<void> {
  const { searchParams } = new URL(request.url ?? '/', 'http://store');
  const prefix = searchParams.get('prefix') ?? '';
  const after = searchParams.get('after') ?? '';
  if (operation === 'key') {
    const item = store.items.get(searchParams.get('key') ?? '');
    sendJson(response, item ? 200 : 404, item ?? {});
  } else if (operation === 'range') sendRange(store, prefix, after, response);
  else if (operation === 'watch') {
    await sendEvents(store, prefix, Number(after), Number(searchParams.get('waitMs')), response);
  } else if (operation === 'txn') {
    const parsed = TRANSACTION_SCHEMA.safeParse(parseJson(await readBody(request)));
    if (!parsed.success) {
      sendJson(response, 400, { error: 'The write is not valid.' });
      return;
    }
    const transaction = parsed.data;
    const arePreconditionsMet = transaction.expectedRev.every(
      ({ key, revision }) => (store.items.get(key)?.revision ?? 0) === revision,
    );
    const revision = arePreconditionsMet ? store.apply(transaction.setKeys, transaction.remove) : 0;
    if (isLosingReplies()) response.destroy();
    else
      sendJson(response, arePreconditionsMet ? 200 : 412, arePreconditionsMet ? { revision } : { items: [] });
  } else sendJson(response, 404, { error: 'The call is not known.' });
}

function sendRange(store: RevisionStore, prefix: string, after: string, response: ServerResponse): void {
  const matching = [...store.items.values()]
    .filter(({ key }) => key.startsWith(prefix) && key > after)
    .sort((first, second) => (first.key < second.key ? -1 : 1));
  const items = matching.slice(0, MAX_ITEMS_PER_PAGE);
  const truncated = items.length < matching.length;
  sendJson(response, 200, { items, truncated, currentRev: store.revision });
}

async function sendEvents(
  store: RevisionStore,
  prefix: string,
  after: number,
  waitMs: number,
  response: ServerResponse,
): Promise<void> {
  if (store.listEvents(prefix, after)?.length === 0) await store.waitForChange(waitMs);
  const events = store.listEvents(prefix, after);
  if (!events) {
    sendJson(response, 410, {});
    return;
  }
  const eventsToSend = events.map(({ item, key, revision }) => item ?? { key, revision, deleted: true });
  sendJson(response, 200, { events: eventsToSend, currentRev: store.revision });
}

function encodeBase64Json(value: unknown): string {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

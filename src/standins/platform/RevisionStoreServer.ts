import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { parseJson, readBody, sendJson, startServer } from '../HttpTools.js';
import type { IStandIn } from '../Types.js';

/** What the store does with calls: serve them, refuse them, stay silent, or lose the replies of writes. */
export type RevisionStoreFault = 'none' | 'refuse' | 'silent' | 'lose-replies';

interface IItem {
  key: string;
  value: string;
  revision: number;
  createRevision: number;
  lease: number;
}

interface IHistoryEvent {
  key: string;
  revision: number;
  item: IItem | undefined;
}

/** A running stand-in of a store with one revision counter, as the users' platform has it. */
export interface IRevisionStoreStandIn extends IStandIn {
  /** What calls meet. */
  fault: RevisionStoreFault;
  /** Calls by operation, refused ones included. */
  calls: Map<string, number>;
  /** Writes a JSON value as the operator or an endpoint does. */
  put: (key: string, value: unknown) => number;
  remove: (key: string) => void;
  /** Returns the JSON value of a key. */
  read: (key: string) => unknown;
  /** Forgets the history, so that watches have to list again. */
  compact: () => void;
}

const WRITE = z.object({
  expectedRev: z.array(z.object({ key: z.string(), revision: z.number() })),
  setKeys: z.array(z.object({ key: z.string(), value: z.string() })),
  remove: z.array(z.string()),
});

/** Longest list in one page, so that tests meet several. */
const PAGE_ITEMS = 100;

class RevisionStore {
  public readonly items = new Map<string, IItem>();
  private _history: IHistoryEvent[] = [];
  private readonly _waiting = new Set<() => void>();
  public revision = 1;
  private _compactedAt = 0;

  public apply(set: readonly { key: string; value: string }[], remove: readonly string[]): number {
    this.revision += 1;
    const { revision } = this;
    for (const { key, value } of set) {
      const createRevision = this.items.get(key)?.createRevision ?? revision;
      const item = { key, value, revision, createRevision, lease: 0 };
      this.items.set(key, item);
      this._history.push({ key, revision, item });
    }
    for (const key of remove) {
      if (this.items.delete(key)) this._history.push({ key, revision, item: undefined });
    }
    for (const wake of [...this._waiting]) wake();
    return revision;
  }

  public trimHistory(): void {
    this._history = [];
    this._compactedAt = this.revision;
    for (const wake of [...this._waiting]) wake();
  }

  public listEvents(prefix: string, after: number): IHistoryEvent[] | undefined {
    if (after < this._compactedAt) return undefined;
    return this._history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
  }

  public waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        this._waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, waitMs);
      this._waiting.add(end);
    });
  }
}

/** Starts a key-value store with revisions, transactions and watches over prefixes. */
export async function startRevisionStoreServer(): Promise<IRevisionStoreStandIn> {
  const store = new RevisionStore();
  const calls = new Map<string, number>();
  const state: { fault: RevisionStoreFault } = { fault: 'none' };
  const server = await startServer((request, response) => {
    const operation = /\/-\/kv-([a-z]+)/.exec(request.url ?? '')?.[1] ?? 'unknown';
    calls.set(operation, (calls.get(operation) ?? 0) + 1);
    if (state.fault === 'silent') return;
    if (state.fault === 'refuse') sendJson(response, 503, {});
    else void serveCall(store, operation, request, response, () => state.fault === 'lose-replies');
  });
  return Object.assign(state, {
    address: server.address,
    close: server.close,
    calls,
    put: (key: string, value: unknown) => store.apply([{ key, value: encode(value) }], []),
    remove: (key: string) => {
      store.apply([], [key]);
    },
    read: (key: string) => {
      const value = store.items.get(key)?.value;
      return value === undefined ? undefined : parseJson(Buffer.from(value, 'base64'));
    },
    compact: () => {
      store.trimHistory();
    },
  });
}

async function serveCall(
  store: RevisionStore,
  operation: string,
  request: IncomingMessage,
  response: ServerResponse,
  hasLostReplies: () => boolean,
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
    const parsed = WRITE.safeParse(parseJson(await readBody(request)));
    if (!parsed.success) {
      sendJson(response, 400, { error: 'The write is not valid.' });
      return;
    }
    const write = parsed.data;
    const isMet = write.expectedRev.every(
      ({ key, revision }) => (store.items.get(key)?.revision ?? 0) === revision,
    );
    const revision = isMet ? store.apply(write.setKeys, write.remove) : 0;
    if (hasLostReplies()) response.destroy();
    else sendJson(response, isMet ? 200 : 412, isMet ? { revision } : { items: [] });
  } else sendJson(response, 404, { error: 'The call is not known.' });
}

function sendRange(store: RevisionStore, prefix: string, after: string, response: ServerResponse): void {
  const matching = [...store.items.values()]
    .filter(({ key }) => key.startsWith(prefix) && key > after)
    .sort((first, second) => (first.key < second.key ? -1 : 1));
  const items = matching.slice(0, PAGE_ITEMS);
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
  const shown = events.map(({ item, key, revision }) => item ?? { key, revision, deleted: true });
  sendJson(response, 200, { events: shown, currentRev: store.revision });
}

function encode(value: unknown): string {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

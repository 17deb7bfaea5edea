import { createServer } from 'node:http';

/** How the store treats calls: it serves them, refuses them with 503, or does not reply. */
const FAULTS = new Set(['none', 'refuse', 'silent']);

const MAX_PAGE_ITEMS = 500;

/**
 * A small stand-in of the platform's metadata store: items, ranges, watches and transactions with one revision
 * counter, as PROTOCOL.md describes them. Writes of the operator and of the runners are made directly.
 */
export class Store {
  constructor() {
    this.revision = 1;
    this.fault = 'none';
    this.calls = [];
    this._items = new Map();
    this._history = [];
    this._waiting = new Set();
    this._server = createServer((request, response) => void this._serve(request, response));
    this._server.keepAliveTimeout = 60_000;
  }

  async start() {
    await new Promise((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this._server.address().port}`;
    return this;
  }

  stop() {
    for (const wake of [...this._waiting]) wake();
    this._server.close();
    this._server.closeAllConnections();
  }

  setFault(fault) {
    if (!FAULTS.has(fault)) throw new Error(`The fault '${fault}' is not known.`);
    this.fault = fault;
  }

  /** Writes a JSON value. */
  put(key, value) {
    return this._apply([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0 }], []);
  }

  remove(key) {
    return this._apply([], [key]);
  }

  /** Reads a JSON value; `undefined` if there is none. */
  read(key) {
    const item = this._items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  _apply(setKeys, remove) {
    this.revision += 1;
    const { revision } = this;
    for (const { key, lease = 0, value } of setKeys) {
      const createRevision = this._items.get(key)?.createRevision ?? revision;
      const item = { key, value, revision, createRevision, lease };
      this._items.set(key, item);
      this._history.push(item);
    }
    for (const key of remove)
      if (this._items.delete(key)) this._history.push({ key, revision, deleted: true });
    for (const wake of [...this._waiting]) wake();
    return revision;
  }

  async _serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    this.calls.push(pathname);
    if (this.fault === 'silent') return;
    if (this.fault === 'refuse') this._send(response, 503, {});
    else if (pathname === '/-/kv-key') this._sendItem(response, searchParams.get('key'));
    else if (pathname === '/-/kv-range') this._sendRange(response, searchParams);
    else if (pathname === '/-/kv-watch') await this._sendEvents(response, searchParams);
    else if (pathname === '/-/kv-txn')
      this._commit(response, JSON.parse(Buffer.concat(chunks).toString() || '{}'));
    else this._send(response, 404, {});
  }

  _sendItem(response, key) {
    const item = this._items.get(key);
    this._send(response, item ? 200 : 404, { ...item, currentRev: this.revision });
  }

  _sendRange(response, query) {
    const [prefix, after] = [query.get('prefix') ?? '', query.get('after') ?? ''];
    const found = [...this._items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((first, second) => (first.key < second.key ? -1 : 1));
    const items = found.slice(0, MAX_PAGE_ITEMS);
    this._send(response, 200, { items, truncated: items.length < found.length, currentRev: this.revision });
  }

  async _sendEvents(response, query) {
    const [prefix, after] = [query.get('prefix') ?? '', Number(query.get('after'))];
    const find = () =>
      this._history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    if (find().length === 0)
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this._waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Number(query.get('waitMs') ?? 0));
        this._waiting.add(wake);
      });
    if (this.fault === 'silent') return;
    if (this.fault === 'refuse') this._send(response, 503, {});
    else this._send(response, 200, { events: find(), currentRev: this.revision });
  }

  _commit(response, { expectedRev = [], remove = [], setKeys = [] }) {
    const isRevision = ({ key, revision }) => (this._items.get(key)?.revision ?? 0) === revision;
    if (expectedRev.every(isRevision)) this._send(response, 200, { revision: this._apply(setKeys, remove) });
    else
      this._send(response, 412, {
        items: expectedRev.map(({ key }) => this._items.get(key)).filter(Boolean),
      });
  }

  _send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }
}

// Stand-in of the platform's metadata store: items, ranges, watches and transactions with one revision counter.
import { createServer } from 'node:http';

const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_CHARACTERS = 1_000_000;

class Items {
  revision = 1;
  items = new Map();
  history = [];
  waiting = new Set();

  apply(sets, removals) {
    this.revision += 1;
    for (const { key, lease = 0, value } of sets) {
      const createRevision = this.items.get(key)?.createRevision ?? this.revision;
      const item = { key, value, revision: this.revision, createRevision, lease };
      this.items.set(key, item);
      this.history.push(item);
    }
    for (const key of removals)
      if (this.items.delete(key)) this.history.push({ key, revision: this.revision, deleted: true });
    for (const notify of [...this.waiting]) notify();
    return this.revision;
  }

  listPage(prefix, after) {
    const matching = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((first, second) => (first.key < second.key ? -1 : 1));
    const page = [];
    let length = 0;
    for (const item of matching) {
      if (page.length >= MAX_PAGE_ITEMS || length > MAX_PAGE_CHARACTERS) break;
      page.push(item);
      length += item.value.length;
    }
    return { items: page, truncated: page.length < matching.length, currentRev: this.revision };
  }

  listEvents(prefix, after) {
    return this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
  }

  waitForEvent(prefix, after, waitMs) {
    if (this.listEvents(prefix, after).length > 0) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(check);
        resolve();
      };
      const check = () => {
        if (this.listEvents(prefix, after).length > 0) finish();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiting.add(check);
    });
  }
}

function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

async function serveCall(store, { method, url: target }, body, response) {
  const url = new URL(target, 'http://store');
  const query = url.searchParams;
  const prefix = query.get('prefix') ?? '';
  const after = query.get('after') ?? '';
  if (url.pathname === '/-/kv-key') {
    const item = store.items.get(query.get('key') ?? '');
    sendJson(response, item ? 200 : 404, item ?? {});
  } else if (url.pathname === '/-/kv-range') sendJson(response, 200, store.listPage(prefix, after));
  else if (url.pathname === '/-/kv-watch') {
    await store.waitForEvent(prefix, Number(after), Number(query.get('waitMs')));
    sendJson(response, 200, {
      events: store.listEvents(prefix, Number(after)),
      currentRev: store.revision,
    });
  } else if (url.pathname === '/-/kv-txn' && method === 'POST') {
    const { expectedRev = [], remove = [], setKeys = [] } = JSON.parse(body);
    const isMet = expectedRev.every(
      ({ key, revision }) => (store.items.get(key)?.revision ?? 0) === revision,
    );
    const current = expectedRev.flatMap(({ key }) => store.items.get(key) ?? []);
    if (isMet) sendJson(response, 200, { revision: store.apply(setKeys, remove) });
    else sendJson(response, 412, { items: current });
  } else sendJson(response, 404, {});
}

/** Starts the store on a free loopback port. */
export async function startStore() {
  const store = new Items();
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => void serveCall(store, request, Buffer.concat(chunks).toString(), response));
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a value as the operator or a runner does. */
    put: (key, value) => store.apply([{ key, value: encode(value) }], []),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

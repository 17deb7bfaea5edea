import { createServer } from 'node:http';
import { listen, readBody, sendJson } from './net.mjs';

/** Stand-in of the platform's metadata store: keys with revisions, transactions, watches and leases. */
export async function startStore() {
  const items = new Map();
  const history = [];
  const waiting = new Set();
  let revision = 1;
  const apply = (writes, removals) => {
    revision += 1;
    for (const { key, value, lease = 0 } of writes) {
      const createRevision = items.get(key)?.createRevision ?? revision;
      const item = { key, value, revision, createRevision, lease };
      items.set(key, item);
      history.push(item);
    }
    for (const key of removals) if (items.delete(key)) history.push({ key, revision, deleted: true });
    for (const wake of [...waiting]) wake();
    return revision;
  };
  const waitForChange = (waitMs) =>
    new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      waiting.add(wake);
    });
  const handlers = {
    'GET key': ({ query }, response) => {
      const item = items.get(query.get('key') ?? '');
      sendJson(response, item ? 200 : 404, { ...item, currentRev: revision });
    },
    'GET range': ({ query }, response) => {
      const prefix = query.get('prefix') ?? '';
      const after = query.get('after') ?? '';
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((first, second) => (first.key < second.key ? -1 : 1));
      const page = found.slice(0, 500);
      sendJson(response, 200, {
        items: page,
        truncated: page.length < found.length,
        currentRev: revision,
      });
    },
    'GET watch': async ({ query }, response) => {
      const prefix = query.get('prefix') ?? '';
      const after = Number(query.get('after'));
      const list = () => history.filter((event) => event.revision > after && event.key.startsWith(prefix));
      if (list().length === 0) await waitForChange(Number(query.get('waitMs')));
      sendJson(response, 200, { events: list(), currentRev: revision });
    },
    'POST txn': ({ body }, response) => {
      const { expectedRev = [], remove = [], setKeys = [] } = JSON.parse(body);
      const holds = expectedRev.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision);
      if (holds) sendJson(response, 200, { revision: apply(setKeys, remove) });
      else
        sendJson(response, 412, {
          items: expectedRev.flatMap(({ key }) => items.get(key) ?? []),
        });
    },
  };
  const server = createServer(async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const body = (await readBody(request)).toString();
    const name = `${request.method} ${/^\/-\/kv-([a-z]+)/.exec(url.pathname)?.[1]}`;
    const handle = handlers[name];
    if (handle) await handle({ query: url.searchParams, body }, response);
    else sendJson(response, 404, {});
  });
  const address = await listen(server);
  return {
    address,
    /** Writes a JSON value, as the operator or a runner does, and returns its revision. */
    put: (key, value) => apply([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []),
    remove: (key) => apply([], [key]),
    read: (key) => {
      const value = items.get(key)?.value;
      return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString());
    },
    close: () => server.close(),
  };
}

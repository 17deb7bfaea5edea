import test from 'ava';
import { startRawServer, type ConnectionCut } from '../standins/RawServer.js';
import { formatReply, REPLY_FORMS } from '../standins/ReplyForms.js';
import { isListRead, isReadFromPeer, REPLY_READERS, type ReadReply } from '../testing/ReplyReaders.js';

/** Time after which a call counts as one that never ends. */
const UNENDED_MS = 2000;

async function isBelieved(bytes: string, cut: ConnectionCut, read: ReadReply): Promise<boolean> {
  const server = await startRawServer(bytes, cut);
  const result = await read(server.address);
  await server.close();
  return result;
}

// Guards against a reply that is cut, empty or an error and is taken for a list, a page or a change.
test('a reader believes a reply only if it is whole', async (t) => {
  const believed: Record<string, string[]> = {};
  for (const [name, [reply, read]] of Object.entries(REPLY_READERS)) {
    believed[name] = [];
    for (const [form, format] of Object.entries(REPLY_FORMS))
      if (await isBelieved(...format(JSON.stringify(reply)), read)) believed[name].push(form);
  }
  t.snapshot(believed);
});

// Guards against a question to another host that never ends, and against a list of the store that lacks its rest.
test('a reply that is valid JSON but does not answer the call is an error', async (t) => {
  const cases: [name: string, reply: unknown, read: ReadReply][] = [
    ...[{}, [], { jsonrpc: '2.0', id: 2, result: {} }].map(
      (reply) => ['PeerRpc', reply, isReadFromPeer] as [string, unknown, ReadReply],
    ),
    ['StoreClient list', { items: [], truncated: true, currentRev: 3 }, isListRead],
  ];
  const results: unknown[] = [];
  for (const [name, reply, read] of cases) {
    const unended = new Promise((resolve) => setTimeout(resolve, UNENDED_MS, 'never ends'));
    const result = isBelieved(formatReply(200, JSON.stringify(reply)), 'fin', read);
    results.push([name, JSON.stringify(reply), await Promise.race([result, unended])]);
  }
  t.deepEqual(
    results,
    cases.map(([name, reply]) => [name, JSON.stringify(reply), false]),
  );
});

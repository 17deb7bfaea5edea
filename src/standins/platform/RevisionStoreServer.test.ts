import test from 'ava';
import { startRevisionStoreServer } from './RevisionStoreServer.js';

// Guards against a stand-in that ends its test process when a stranger calls: ports of ended tests are used again.
test('calls that the store does not know are refused', async (t) => {
  const store = await startRevisionStoreServer();
  const send = async (path: string, init: RequestInit = {}): Promise<number> => {
    return (await fetch(`${store.address}${path}`, { ...init, signal: AbortSignal.timeout(2000) })).status;
  };
  t.is(await send('/hosts'), 404);
  t.is(await send('/-/kv-other'), 404);
  t.is(await send('/-/kv-txn', { method: 'POST', body: 'no JSON' }), 400);
  await store.close();
});

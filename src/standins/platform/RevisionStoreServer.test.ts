import test from 'ava';
import { startRevisionStoreServer } from './RevisionStoreServer.js';

// Guards against an unhandled error in the stand-in, which would end its test process: the port may have belonged
// to an earlier test, whose clients may still send requests to it.
test('the store refuses unknown operations and malformed transactions', async (t) => {
  const store = await startRevisionStoreServer();
  const send = async (path: string, init: RequestInit = {}): Promise<number> => {
    return (await fetch(`${store.address}${path}`, { ...init, signal: AbortSignal.timeout(2000) })).status;
  };
  t.is(await send('/hosts'), 404);
  t.is(await send('/-/kv-other'), 404);
  t.is(await send('/-/kv-txn', { method: 'POST', body: 'no JSON' }), 400);
  await store.close();
});

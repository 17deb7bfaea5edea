import test from 'ava';
import { startRawServer } from '../standins/RawServer.js';
import { createHttpStore } from './HttpStore.js';

// Guards against a lease that counts as lost because an empty reply is read as the conflict with an absent key.
test('a conflict whose reply is cut before its body does not tell that the key is absent', async (t) => {
  const isConflict: Record<string, boolean> = {};
  for (const cut of ['fin', 'reset'] as const) {
    const server = await startRawServer('HTTP/1.1 409 Conflict\r\n\r\n', cut);
    const written = await createHttpStore(server).put('lease', 'a', { expectedVersion: 3 });
    isConflict[cut] = written.isErr && written.error.kind === 'conflict';
    await server.close();
  }
  t.deepEqual(isConflict, { fin: false, reset: false });
});

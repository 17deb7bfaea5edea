import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';

// Guards against a host that ends, stops to follow the store or fails requests, because another writer has left an odd
// entry among those of the runners.
test('odd entries of other writers neither fail requests nor stop a host from following the store', async (t) => {
  const rig = await RouterRig.startReady();
  const runner = {
    service: 'ledger',
    zone: 'a',
    version: 'v1',
    slots: 1000,
    state: 'ready',
    models: [],
    born: 1,
  };
  const deep = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
  rig.store.put('servers/odd-port', { ...runner, address: '127.0.0.1:99999' });
  rig.store.put('servers/odd-path', { ...runner, address: '127.0.0.1:80/x' });
  rig.store.put('servers/odd-slots', { ...runner, address: '127.0.0.1:1', slots: 1e300 });
  rig.store.putBytes('servers/odd-bytes', Buffer.from([0xff, 0xfe, 0x00]));
  rig.store.putBytes('servers/odd-nesting', Buffer.from(deep));
  rig.store.putBytes('servers/odd-number', Buffer.from('{"born":1e999}'));
  // Over the announcement of an endpoint in use, which the host then knows no better than before.
  rig.store.putBytes('servers/p-1', Buffer.from(deep));
  await rig.waitUntil(() => rig.events.filter(({ kind }) => kind === 'fact.unreadable').length >= 6);
  const statuses = new Set<number>();
  for (let index = 0; index < 30; index += 1) statuses.add((await rig.send(`/post/${index}`)).status);
  await rig.addRunner('p-3', 'ledger');
  await rig.waitUntil(async () => {
    statuses.add((await rig.send('/look/1')).status);
    return rig.runners.some(({ calls, id }) => id === 'p-3' && calls.length > 0);
  });
  const kept = rig.events.filter(
    ({ fields, kind }) => kind === 'fact.refused' && fields.key === 'servers/p-1',
  );
  t.deepEqual([...statuses], [200]);
  t.is(kept.length, 1);
  await rig.close();
});

import test from 'ava';
import { createPeerClient, startPeerServer, type ILamportClock } from './PeerRpc.js';

function createLamportClock(start: number): ILamportClock & { value: number } {
  const clock = {
    value: start,
    read: () => clock.value,
    observe: (lamport: number) => {
      clock.value = Math.max(clock.value, lamport);
    },
  };
  return clock;
}

test('a peer without the shared key is rejected, and accepted calls carry the Lamport time', async (t) => {
  const serverClock = createLamportClock(3);
  const server = await startPeerServer({
    host: 'host-1',
    key: 'a-shared-key-of-hosts',
    lamport: serverClock,
    ip: '127.0.0.1',
    port: 0,
    handlers: { 'host.check': (params, from) => Promise.resolve({ params, from }) },
  });
  const findAddress = (host: string): string | undefined =>
    host === 'host-1' ? `127.0.0.1:${server.port}` : undefined;
  const lamport = createLamportClock(9);
  const trusted = createPeerClient({ host: 'host-2', key: 'a-shared-key-of-hosts', lamport, findAddress });
  const untrusted = createPeerClient({ host: 'host-3', key: 'another-key-of-hosts', lamport, findAddress });
  t.snapshot({
    accepted: await trusted.send('host-1', 'host.check', { target: 'host-4' }),
    rejected: await untrusted.send('host-1', 'host.check', {}),
    unknownMethod: (await trusted.send('host-1', 'journal.append', {})).isErr,
    unknownHost: await trusted.send('host-9', 'host.check', {}),
    serverClock: serverClock.value,
  });
  await Promise.all([trusted.close(), untrusted.close(), server.close()]);
});

// Guards against one message that makes a host start as many calls as a batch has room for.
test('a batch of calls is rejected, and none of them is handled', async (t) => {
  let calls = 0;
  const server = await startPeerServer({
    host: 'host-1',
    lamport: createLamportClock(0),
    ip: '127.0.0.1',
    port: 0,
    handlers: { 'host.check': () => Promise.resolve((calls += 1)) },
  });
  const call = { jsonrpc: '2.0', id: 1, method: 'host.check', params: {} };
  const send = async (message: unknown): Promise<number> =>
    (await fetch(`http://127.0.0.1:${server.port}/rpc`, { method: 'POST', body: JSON.stringify(message) }))
      .status;
  t.deepEqual([await send(call), await send([call, call])], [200, 400]);
  t.is(calls, 1);
  await server.close();
});

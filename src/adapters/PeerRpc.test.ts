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

import test from 'ava';
import { createPeerClient, startPeerServer, type ILamportClock } from './PeerRpc.js';

function createLamport(start: number): ILamportClock & { value: number } {
  const clock = {
    value: start,
    read: () => clock.value,
    observe: (lamport: number) => {
      clock.value = Math.max(clock.value, lamport);
    },
  };
  return clock;
}

test('a peer without the shared key is rejected, and Lamport time travels with accepted calls', async (t) => {
  const serverClock = createLamport(3);
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
  const lamport = createLamport(9);
  const trusted = createPeerClient({ host: 'host-2', key: 'a-shared-key-of-hosts', lamport, findAddress });
  const stranger = createPeerClient({ host: 'host-3', key: 'another-key-of-hosts', lamport, findAddress });
  t.snapshot({
    accepted: await trusted.send('host-1', 'host.check', { target: 'host-4' }),
    rejected: await stranger.send('host-1', 'host.check', {}),
    unknownMethod: (await trusted.send('host-1', 'journal.append', {})).isErr,
    unknownHost: await trusted.send('host-9', 'host.check', {}),
    serverClock: serverClock.value,
  });
  await Promise.all([trusted.close(), stranger.close(), server.close()]);
});

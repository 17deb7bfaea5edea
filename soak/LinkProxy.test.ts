import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import test from 'ava';
import { waitFor } from '../src/standins/HttpTools.js';
import { LinkProxy } from './LinkProxy.js';
import type { LinkMode } from './Types.js';

/** A server that answers each chunk with the same bytes, behind a proxy. */
async function startFixture() {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      received.push(bytes.toString());
      socket.write(bytes);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const proxy = await LinkProxy.start((server.address() as AddressInfo).port);
  const [host, port] = proxy.address.split(':');
  const replies: string[] = [];
  const socket: Socket = connect(Number(port), host);
  let end = 'open';
  socket.on('data', (bytes) => replies.push(bytes.toString()));
  socket.on('error', (error: NodeJS.ErrnoException) => (end = error.code ?? 'error'));
  await once(socket, 'connect');
  const close = (): void => {
    socket.destroy();
    proxy.close();
    server.close();
  };
  return { proxy, socket, received, replies, readEnd: () => end, close };
}

// Guards against a soak whose faults do nothing, or that loses bytes where a link only holds them.
test('each mode does to a connection what it says, and held bytes arrive later in order', async (t) => {
  const seen: Record<string, unknown> = {};
  for (const mode of ['delay', 'mute-request', 'mute-response', 'silent', 'reset'] as LinkMode[]) {
    const rig = await startFixture();
    const fault = rig.proxy.addMode(mode);
    rig.socket.write('1');
    await waitFor(60);
    rig.socket.write('2');
    await waitFor(30);
    const during = [rig.received.join(''), rig.replies.join(''), rig.readEnd()];
    fault.dispose();
    await waitFor(400);
    seen[mode] = { during, after: [rig.received.join(''), rig.replies.join(''), rig.readEnd()] };
    rig.close();
  }
  t.snapshot(seen);
});

// Guards against a fault that ends when another one on the same link does.
test('the last fault that was added counts, and the one before it holds on after its end', async (t) => {
  const rig = await startFixture();
  const first = rig.proxy.addMode('silent');
  const second = rig.proxy.addMode('mute-response');
  rig.socket.write('1');
  await waitFor(50);
  const underBoth = [rig.received.length, rig.replies.length];
  second.dispose();
  rig.socket.write('2');
  await waitFor(50);
  const underFirst = [rig.received.length, rig.replies.length];
  first.dispose();
  await waitFor(50);
  t.snapshot({ underBoth, underFirst, after: [rig.received.length, rig.replies.join('')] });
  rig.close();
});

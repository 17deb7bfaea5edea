import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import test from 'ava';
import { waitFor } from '../src/standins/HttpTools.js';
import { LinkProxy } from './LinkProxy.js';
import type { LinkMode } from './Types.js';

/** Starts an echo server behind a proxy, and a client that is connected to the proxy. */
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
  let connectionState = 'open';
  socket.on('data', (bytes) => replies.push(bytes.toString()));
  socket.on('error', (error: NodeJS.ErrnoException) => (connectionState = error.code ?? 'error'));
  await once(socket, 'connect');
  const close = (): void => {
    socket.destroy();
    proxy.close();
    server.close();
  };
  return { proxy, socket, received, replies, readConnectionState: () => connectionState, close };
}

// Guards against modes without effect, and against the loss of bytes that a mode only holds back.
test('each mode disturbs a connection as described, and bytes held back arrive later in order', async (t) => {
  const seen: Record<string, unknown> = {};
  for (const mode of ['delay', 'mute-request', 'mute-response', 'silent', 'reset', 'close'] as LinkMode[]) {
    const fixture = await startFixture();
    const fault = fixture.proxy.addMode(mode);
    fixture.socket.write('1');
    await waitFor(60);
    fixture.socket.write('2');
    await waitFor(30);
    const during = [fixture.received.join(''), fixture.replies.join(''), fixture.readConnectionState()];
    fault.dispose();
    await waitFor(400);
    seen[mode] = {
      during,
      after: [fixture.received.join(''), fixture.replies.join(''), fixture.readConnectionState()],
    };
    fixture.close();
  }
  t.snapshot(seen);
});

// Guards against a fault that ends when another fault of the same proxy ends.
test('the mode added last takes effect, and the earlier mode applies again after its removal', async (t) => {
  const fixture = await startFixture();
  const first = fixture.proxy.addMode('silent');
  const second = fixture.proxy.addMode('mute-response');
  fixture.socket.write('1');
  await waitFor(50);
  const underBoth = [fixture.received.length, fixture.replies.length];
  second.dispose();
  fixture.socket.write('2');
  await waitFor(50);
  const underFirst = [fixture.received.length, fixture.replies.length];
  first.dispose();
  await waitFor(50);
  t.snapshot({ underBoth, underFirst, after: [fixture.received.length, fixture.replies.join('')] });
  fixture.close();
});

// Guards against a socket that Node.js never closes, because of which the process of the soak does not exit.
test.serial('a connection whose end is being sent is closed when the proxy closes', async (t) => {
  const fixture = await startFixture();
  const closed = once(fixture.socket, 'close');
  const fault = fixture.proxy.addMode('close');
  fixture.proxy.close();
  fault.dispose();
  await closed;
  await waitFor(50);
  const open = process
    .getActiveResourcesInfo()
    .filter((name) => name === 'TCPSocketWrap' || name.includes('Shutdown'));
  fixture.close();
  t.deepEqual(open, []);
});

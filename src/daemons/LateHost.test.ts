import { connect } from 'node:net';
import test from 'ava';
import { RouterRig } from '../standins/platform/RouterRig.js';

/** Blocks the event loop, as a host does that lacks processor time. */
function pauseEventLoop(ms: number): void {
  for (const end = Date.now() + ms; Date.now() < end;);
}

// Guards against GONE: a call is sent on although its caller left before the host came to read it.
test('a call whose caller leaves before the host reads it is not sent on', async (t) => {
  const rig = await RouterRig.startReady();
  const [host = '', port] = rig.frontAddress.split(':');
  const sockets = Array.from({ length: 8 }, () => connect({ host, port: Number(port) }));
  await Promise.all(sockets.map((socket) => new Promise((resolve) => socket.once('connect', resolve))));
  const head =
    'GET /look/1 HTTP/1.1\r\nhost: a.example\r\ndeadline-ms: 4000\r\nauthorization: Token key-north';
  for (const [index, socket] of sockets.entries()) {
    socket.on('error', () => undefined);
    socket.write(`${head}\r\nattempt-id: late-${index}\r\n\r\n`);
  }
  await new Promise((resolve) => setImmediate(resolve));
  for (const socket of sockets) socket.destroy();
  pauseEventLoop(200);
  await new Promise((resolve) => setTimeout(resolve, 500));
  const runs = rig.runners.flatMap(({ calls }) => calls.map(({ path }) => path));
  await rig.close();
  t.deepEqual(runs, []);
});

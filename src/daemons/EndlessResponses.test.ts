import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import test from 'ava';
import { StoreClient } from '../../platform/StoreClient.js';
import { startServer } from '../standins/HttpTools.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { startStream } from '../standins/platform/ScriptedRunner.js';

/** Sends the same bytes without end until the connection is closed. Returns a function that tells how many. */
function sendEndlessly(response: ServerResponse, bytes: Buffer): () => number {
  let sent = 0;
  const send = (): void => {
    while (!response.destroyed) {
      sent += bytes.length;
      if (!response.write(bytes)) break;
    }
  };
  response.on('drain', send);
  send();
  return () => sent;
}

test('a reply of the store without end is an error before it fills the memory', async (t) => {
  let countSent = (): number => 0;
  const server = await startServer((_request, response) => {
    countSent = sendEndlessly(response, Buffer.alloc(65_536, ' '));
  });
  const client = new StoreClient({ address: server.address.replace('http://', '') });
  const watched = await client.watch('', 1, 60_000);
  client.close();
  await server.close();
  t.is(watched.isErr && watched.error.kind, 'unknown-outcome');
  t.true(countSent() < 64_000_000, `${countSent()} bytes`);
});

test('a caller that does not read an endless stream is disconnected', async (t) => {
  const rig = await RouterRig.startReady();
  let countSent = (): number => 0;
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      startStream(call, response);
      countSent = sendEndlessly(response, Buffer.from(`data: ${'x'.repeat(65_000)}\n\n`));
    };
  }
  const [host = '', port] = rig.frontAddress.split(':');
  const socket = connect({ host, port: Number(port) });
  t.teardown(() => socket.destroy());
  socket.pause();
  socket.on('error', () => undefined);
  const head = 'POST /stream/1 HTTP/1.1\r\nhost: a.example\r\nattempt-id: raw\r\ndeadline-ms: 20000\r\n';
  socket.write(`${head}model: *\r\ncontent-length: 0\r\nauthorization: Token key-north\r\n\r\n`);
  await rig.waitUntil(() => rig.events.some(({ kind }) => kind === 'attempt.cancelled'));
  await rig.close();
  t.true(countSent() < 64_000_000, `${countSent()} bytes`);
});

import { connect } from 'node:net';
import type { Writable } from 'node:stream';
import test from 'ava';
import { StoreClient } from '../../platform/StoreClient.js';
import { startServer } from '../standins/HttpTools.js';
import { RouterRig } from '../standins/platform/RouterRig.js';
import { sendEvents, startStream, type AnswerRunnerCall } from '../standins/platform/ScriptedRunner.js';

/** Sends the same bytes without end until the connection is closed. Returns a function that tells how many. */
function sendEndlessly(target: Writable, bytes: Buffer): () => number {
  let sent = 0;
  const send = (): void => {
    while (!target.destroyed) {
      sent += bytes.length;
      if (!target.write(bytes)) break;
    }
  };
  target.on('drain', send);
  send();
  return () => sent;
}

/** Runs a stream whose first runner answers badly, and the others well. */
async function sendToBadRunner(answerBadly: AnswerRunnerCall) {
  const rig = await RouterRig.startReady();
  let isFirst = true;
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      if (isFirst) {
        isFirst = false;
        return answerBadly(call, response);
      }
      startStream(call, response);
      sendEvents(response, 1, 2);
      response.end();
    };
  }
  const startedAt = Date.now();
  const { body, isComplete, status } = await rig.send('/stream/1', { model: '*' });
  const isQuick = Date.now() - startedAt < 2000;
  const errors = rig.events
    .filter(({ kind }) => kind === 'attempt.error')
    .map(({ fields }) => [fields.error, fields.message]);
  await rig.close();
  return { status, isComplete, isQuick, body, errors };
}

test('a stream of comments without end is given up and answered by another runner', async (t) => {
  let countSent = (): number => 0;
  const outcome = await sendToBadRunner((call, response) => {
    startStream(call, response);
    countSent = sendEndlessly(response, Buffer.from(`: ${'x'.repeat(16_000)}\n\n`));
  });
  t.true(countSent() < 32_000_000, `${countSent()} bytes`);
  t.snapshot(outcome);
});

test('a stream that never ends an event is given up and answered by another runner', async (t) => {
  let countSent = (): number => 0;
  const outcome = await sendToBadRunner((call, response) => {
    startStream(call, response);
    countSent = sendEndlessly(response, Buffer.from(`data: ${'x'.repeat(16_000)}\n`));
  });
  t.true(countSent() < 32_000_000, `${countSent()} bytes`);
  t.snapshot(outcome);
});

/** Bytes that are neither head nor body, by what they stand in: the start of the response, and what comes again. */
const OVERHEADS: Record<string, [startResponse: AnswerRunnerCall, bytes: string]> = {
  'a status text': [(_call, response) => void response.socket?.write('HTTP/1.1 200 '), 'x'],
  'empty lines before a response': [() => undefined, '\r\n'],
  'a chunk extension': [
    (call, response) => {
      startStream(call, response);
      response.flushHeaders();
      response.socket?.write('5;');
    },
    'x',
  ],
};

for (const [name, [startResponse, bytes]] of Object.entries(OVERHEADS)) {
  test(`${name} without end is given up and answered by another runner`, async (t) => {
    let countSent = (): number => 0;
    const outcome = await sendToBadRunner(async (call, response) => {
      await startResponse(call, response);
      countSent = sendEndlessly(response.socket as Writable, Buffer.from(bytes.repeat(32_000)));
    });
    t.true(countSent() < 32_000_000, `${countSent()} bytes`);
    t.snapshot(outcome);
  });
}

test('informational responses without end are given up and answered by another runner', async (t) => {
  let timer: NodeJS.Timeout | undefined;
  const outcome = await sendToBadRunner((_call, response) => {
    timer = setInterval(() => response.socket?.write('HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'), 5);
  });
  clearInterval(timer);
  t.snapshot(outcome);
});

test('a reply of the store without end is an error before it fills the memory', async (t) => {
  let countSent = (): number => 0;
  const server = await startServer((_request, response) => {
    countSent = sendEndlessly(response, Buffer.alloc(65_536, ' '));
  });
  const client = new StoreClient({ address: server.address.replace('http://', '') });
  const watched = await client.watch('', { era: 0, revision: 1 }, 60_000);
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

test('a caller that sends a body without end is refused and disconnected', async (t) => {
  const rig = await RouterRig.startReady();
  const [host = '', port] = rig.frontAddress.split(':');
  const socket = connect({ host, port: Number(port) });
  let reply = '';
  socket.on('data', (bytes) => (reply += bytes.toString('latin1')));
  socket.on('error', () => undefined);
  const head = 'POST /stream/1 HTTP/1.1\r\nhost: a.example\r\nattempt-id: raw\r\ndeadline-ms: 20000\r\n';
  socket.write(`${head}model: *\r\ncontent-length: 99999999999\r\nauthorization: Token key-north\r\n\r\n`);
  sendEndlessly(socket, Buffer.alloc(65_536, 'x'));
  const isClosed = await rig
    .waitUntil(() => socket.destroyed)
    .then(
      () => true,
      () => false,
    );
  socket.destroy();
  await rig.close();
  t.true(isClosed);
  t.is(reply.split('\r\n', 1)[0], 'HTTP/1.1 413 Payload Too Large');
  t.true(socket.bytesWritten < 64_000_000, `${socket.bytesWritten} bytes`);
});

import { createServer, type IncomingMessage } from 'node:http';
import { connect, Socket, type AddressInfo } from 'node:net';
import test from 'ava';
import { startListening } from '../adapters/Listening.js';
import { ParseScheduler } from './ParseScheduler.js';

const SLICE_BYTES = 4096;

/** Creates a scheduled connection whose parser calls `onSlice`. */
function createScheduled(scheduler: ParseScheduler, onSlice: (slice: Buffer, socket: Socket) => void) {
  const socket = new Socket();
  const unparsed: number[] = [];
  socket.on('data', (slice: Buffer) => {
    onSlice(slice, socket);
  });
  const scheduled = scheduler.addSocket(socket, { onUnparsedBytes: (bytes) => unparsed.push(bytes) });
  return { socket, scheduled, unparsed };
}

function waitForTurns(count = 20): Promise<void> {
  return new Promise((resolve) => {
    const wait = (left: number): void => {
      if (left === 0) resolve();
      else setImmediate(wait, left - 1);
    };
    wait(count);
  });
}

// Guards against bytes that are lost, doubled or reordered between the connection and the parser.
test('the parser gets all bytes in order, at most a slice at a time', async (t) => {
  const slices: Buffer[] = [];
  const { socket, unparsed } = createScheduled(new ParseScheduler(), (slice) => slices.push(slice));
  const sent = Buffer.from(Array.from({ length: 30_000 }, (_, index) => index % 251));
  await waitForTurns();
  for (const [from, to] of [
    [0, 100],
    [100, 20_000],
    [20_000, 30_000],
  ])
    socket.push(sent.subarray(from, to));
  await waitForTurns();
  t.true(slices.every(({ length }) => length <= SLICE_BYTES));
  t.deepEqual(Buffer.concat(slices), sent);
  t.is(unparsed.at(-1), 0);
  socket.destroy();
});

// Guards against callers that wait until all that another one has sent is parsed.
test('a connection is parsed while another one still has slices', async (t) => {
  const scheduler = new ParseScheduler();
  const order: string[] = [];
  const parseSlowly = (name: string): void => {
    order.push(name);
    const until = performance.now() + 6;
    while (performance.now() < until);
  };
  const crowd = createScheduled(scheduler, () => {
    parseSlowly('crowd');
  });
  const caller = createScheduled(scheduler, () => {
    parseSlowly('caller');
  });
  await waitForTurns();
  crowd.socket.push(Buffer.alloc(10 * SLICE_BYTES));
  caller.socket.push(Buffer.alloc(100));
  await waitForTurns();
  t.is(order.length, 11);
  t.true(order.indexOf('caller') < 5, order.join(' '));
  for (const { socket } of [crowd, caller]) socket.destroy();
});

// Guards against memory for objects of requests that wait: a connection that was paused is parsed on.
test('a paused connection is not parsed before it goes on', async (t) => {
  let count = 0;
  const { socket } = createScheduled(new ParseScheduler(), () => {
    count += 1;
    if (count === 1) socket.pause();
  });
  await waitForTurns();
  socket.push(Buffer.alloc(3 * SLICE_BYTES));
  await waitForTurns();
  const countWhilePaused = count;
  socket.resume();
  await waitForTurns();
  t.deepEqual([countWhilePaused, count], [1, 3]);
  socket.destroy();
});

// Guards against a refusal that is lost: the parser rejects the rest of what was read once more.
test('bytes behind an error of the parser are dropped', async (t) => {
  const scheduler = new ParseScheduler();
  let errors = 0;
  const server = createServer((message: IncomingMessage) => message.resume());
  server.on('connection', (socket) => {
    const scheduled = scheduler.addSocket(socket, { onUnparsedBytes: () => undefined });
    server.once('clientError', () => {
      scheduled.dropUnparsed();
    });
  });
  server.on('clientError', (_error, socket) => {
    errors += 1;
    socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n');
  });
  await startListening(server, '127.0.0.1', 0);
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
  socket.end(`${head}no length\r\n${'x'.repeat(40_000)}`);
  let received = '';
  for await (const bytes of socket) received += String(bytes);
  await new Promise((resolve) => server.close(resolve));
  t.regex(received, /^HTTP\/1.1 400 /);
  t.is(errors, 1);
});

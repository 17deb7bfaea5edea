import type { ServerResponse } from 'node:http';
import test from 'ava';
import { StoreClient } from '../../platform/StoreClient.js';
import { startServer } from '../standins/HttpTools.js';

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


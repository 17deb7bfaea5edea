import test from 'ava';
import { runCrowd } from '../standins/platform/Crowd.js';

const HEADERS =
  'Host: a.example\r\nAttempt-Id: crowd\r\nDeadline-Ms: 4000\r\nAuthorization: Token key-north\r\n';
const CHUNKED_HEAD = `POST /post/x HTTP/1.1\r\n${HEADERS}Transfer-Encoding: chunked\r\n\r\n`;
const CONNECTIONS = 80;
const SMALL_CHUNK = '1\r\nx\r\n';

/** A body within the limit of 4 MiB whose chunks have a byte each. */
const CHUNKS = 4_000_000;
const CHUNKS_PER_WRITE = 10_000;

/** A whole request that is sent ahead, and how often. */
const WHOLE_REQUEST = `${CHUNKED_HEAD}${SMALL_CHUNK.repeat(800)}0\r\n\r\n`;
const REQUESTS = 2000;
const REQUESTS_PER_WRITE = 10;

function* listRepeated(head: string, piece: string, count: number): Iterable<string> {
  yield head;
  for (let sent = 0; sent < count; sent += 1) yield piece;
}

// Guards against a host that hangs: the chunks that have arrived are parsed in one turn of the event loop.
test.serial('a host answers others while bodies in chunks of a byte go on', async (t) => {
  const piece = SMALL_CHUNK.repeat(CHUNKS_PER_WRITE);
  const { measured, outcome } = await runCrowd({
    connections: CONNECTIONS,
    listPieces: () => listRepeated(CHUNKED_HEAD, piece, CHUNKS / CHUNKS_PER_WRITE),
    staysOpen: true,
    comesBack: true,
  });
  t.log(measured);
  t.snapshot(outcome);
});

// Guards against an exhausted heap: Node.js keeps an object for each chunk of a request that waits.
test.serial('a host survives requests that are sent ahead with bodies in chunks of a byte', async (t) => {
  const piece = WHOLE_REQUEST.repeat(REQUESTS_PER_WRITE);
  const { measured, outcome } = await runCrowd({
    connections: CONNECTIONS,
    listPieces: () => listRepeated('', piece, REQUESTS / REQUESTS_PER_WRITE),
    staysOpen: true,
  });
  t.log(measured);
  t.snapshot(outcome);
});

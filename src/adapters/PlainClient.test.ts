import test from 'ava';
import { startRawServer } from '../standins/RawServer.js';
import { createAttemptCall } from '../testing/AttemptCalls.js';
import { runPlainAttempt } from './PlainClient.js';

const ENCODINGS = ['chunked', 'chunke', 'chunked, chunked', 'gzip, chunked'];

// Guards against an answer with chunk sizes in its body that is delivered as a whole one.
test('an answer whose head does not tell clearly where its body ends is malformed', async (t) => {
  const outcomes: [string, string][] = [];
  for (const encoding of ENCODINGS) {
    const head = `HTTP/1.1 200 OK\r\ntransfer-encoding: ${encoding}\r\n\r\n`;
    const server = await startRawServer(`${head}5\r\nhello\r\n0\r\n\r\n`, 'fin');
    const result = await runPlainAttempt({}, createAttemptCall(server.address, 'plain'));
    const body = result.isOk && result.value.kind === 'plain' ? result.value.body : '';
    outcomes.push([encoding, result.isOk ? Buffer.from(body).toString() : result.error.kind]);
    await server.close();
  }
  t.deepEqual(outcomes, [['chunked', 'hello'], ...ENCODINGS.slice(1).map((name) => [name, 'malformed'])]);
});

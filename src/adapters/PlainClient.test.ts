import test from 'ava';
import { startRawServer } from '../standins/RawServer.js';
import { createTestEndpoint } from '../testing/EntryFixtures.js';
import { buildTestRequest } from '../testing/VersionFixtures.js';
import type { IAttemptCall } from '../common/request/Types.js';
import { runPlainAttempt } from './PlainClient.js';

const ENCODINGS = ['chunked', 'chunke', 'chunked, chunked', 'gzip, chunked'];
const TARGET = {
  kind: 'plain',
  plainService: 'l',
  method: 'GET',
  path: '/',
  contentType: undefined,
} as const;

// Guards against an answer with chunk sizes in its body that is delivered as a whole one.
test('an answer whose head does not tell clearly where its body ends is malformed', async (t) => {
  const outcomes: [string, string][] = [];
  for (const encoding of ENCODINGS) {
    const head = `HTTP/1.1 200 OK\r\ntransfer-encoding: ${encoding}\r\n\r\n`;
    const server = await startRawServer(`${head}5\r\nhello\r\n0\r\n\r\n`, 'fin');
    const call = {
      attempt: { id: 'a-1' },
      endpoint: createTestEndpoint('p-1', { address: server.address }),
      request: buildTestRequest({ target: { ...TARGET, body: undefined } }),
      signal: new AbortController().signal,
    } as unknown as IAttemptCall;
    const result = await runPlainAttempt({}, call);
    const body = result.isOk && result.value.kind === 'plain' ? result.value.body : '';
    outcomes.push([encoding, result.isOk ? Buffer.from(body).toString() : result.error.kind]);
    await server.close();
  }
  t.deepEqual(outcomes, [['chunked', 'hello'], ...ENCODINGS.slice(1).map((name) => [name, 'malformed'])]);
});

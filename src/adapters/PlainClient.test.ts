import test from 'ava';
import { startRawServer, type ConnectionCut } from '../standins/RawServer.js';
import { createTestEndpoint } from '../testing/EntryFixtures.js';
import { buildTestRequest } from '../testing/VersionFixtures.js';
import type { IAttemptCall } from '../common/request/Types.js';
import { runPlainAttempt } from './PlainClient.js';

/** Runs a plain attempt that is answered by `text`, whose end is marked only by the end of the connection. */
async function runAttempt(text: string, cut: ConnectionCut) {
  const server = await startRawServer(`HTTP/1.1 200 OK\r\n\r\n${text}`, cut);
  const { address } = server;
  const call: Pick<IAttemptCall, 'endpoint' | 'request' | 'signal'> = {
    endpoint: createTestEndpoint('p-1', { kind: 'plain', address }),
    request: buildTestRequest({
      target: {
        kind: 'plain',
        plainService: 'ledger',
        method: 'GET',
        path: '/',
        contentType: undefined,
        body: undefined,
      },
    }),
    signal: new AbortController().signal,
  };
  const result = await runPlainAttempt({}, call as IAttemptCall);
  await server.close();
  if (result.isErr) return { isError: true, hasNotRun: result.error.ran === 'no' };
  return result.value.kind === 'plain' ? Buffer.from(result.value.body).toString() : result.value.kind;
}

// Guards against half a body that is taken for a whole answer, as undici takes a reset for the end of the body.
test('a plain answer without length or chunks that ends with a reset is an error', async (t) => {
  t.deepEqual(await runAttempt('half an ans', 'reset'), { isError: true, hasNotRun: false });
});

// Guards against whole answers that are rejected because only a close marks their end.
test('a plain answer without length or chunks that ends with an orderly close is an answer', async (t) => {
  t.is(await runAttempt('a whole answer', 'fin'), 'a whole answer');
});

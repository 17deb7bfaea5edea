import type { IAttemptCall } from '../common/request/Types.js';
import type { Millis } from '../common/Types.js';
import { createTestEndpoint } from './EntryFixtures.js';
import { buildTestRequest } from './VersionFixtures.js';

const PLAIN_TARGET = {
  kind: 'plain',
  plainService: 'ledger',
  method: 'GET',
  path: '/',
  contentType: undefined,
  body: undefined,
} as const;

/** Creates the call of an attempt at an endpoint of a kind. It is aborted after `timeoutMs`. */
export function createAttemptCall(
  address: string,
  kind: 'plain' | 'engine',
  timeoutMs: Millis = 5000,
): IAttemptCall {
  return {
    attempt: { id: 'a-1', version: 'small-1' } as IAttemptCall['attempt'],
    endpoint: createTestEndpoint('e-1', { kind, address }),
    request: kind === 'plain' ? buildTestRequest({ target: PLAIN_TARGET }) : buildTestRequest(),
    signal: AbortSignal.timeout(timeoutMs),
  };
}

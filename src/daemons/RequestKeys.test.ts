import test from 'ava';
import { hashFingerprint, hashRequestKey, type RequestIdentity } from './RequestKeys.js';

const REQUEST: RequestIdentity = {
  id: 'r-1',
  service: 'deposits',
  account: 'depot',
  isIdempotent: true,
  idempotencyKey: 'k-1',
  fingerprint: hashFingerprint('depot', 'POST', '/v1/chat/completions', 'one body'),
};

// Guards against an answer that is delivered but not billed because a request with a different body was
// already billed under the same journal key.
test('idempotent requests share a journal key only if both their idempotency keys and their bodies are the same', (t) => {
  const key = hashRequestKey(REQUEST);
  const fingerprint = hashFingerprint('depot', 'POST', '/v1/chat/completions', 'another body');
  const claim = { ...REQUEST, isIdempotent: false };
  t.snapshot({
    repeated: hashRequestKey({ ...REQUEST, id: 'r-2' }) === key,
    otherBody: hashRequestKey({ ...REQUEST, fingerprint }) === key,
    otherAccount: hashRequestKey({ ...REQUEST, account: 'pub' }) === key,
    claimWithOtherBody: hashRequestKey({ ...claim, fingerprint }) === hashRequestKey(claim),
  });
});

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

// Guards against a delivered answer without a bill, because another body was billed under the same key.
test('idempotent requests share a bill only when key and body are the same', (t) => {
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

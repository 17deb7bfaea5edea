import test from 'ava';
import { isBeyondRetention, readKeyTime } from './IdempotencyKeys.js';

// Guards against a request that runs a second time because the journal has removed the record of its key.
test('only keys in UUIDv7 form have a creation time, and they expire after the retention time', (t) => {
  const key = '019a0000-0000-7abc-8def-0123456789ab';
  const at = readKeyTime(key) ?? 0;
  t.snapshot({
    at,
    version4: readKeyTime('019a0000-0000-4abc-8def-0123456789ab'),
    other: readKeyTime('refund-1'),
    young: isBeyondRetention(key, at + 1000, 1000),
    old: isBeyondRetention(key, at + 1001, 1000),
  });
});

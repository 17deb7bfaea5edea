import type { Millis } from '../Types.js';

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Reads the wall-clock time at which a key in UUIDv7 form was created; `undefined` for other keys. */
export function readKeyTime(idempotencyKey: string): Millis | undefined {
  const match = UUID_V7.exec(idempotencyKey);
  return match ? Number.parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16) : undefined;
}

/** Tells whether a key in UUIDv7 form is so old that the journal may have removed its record. */
export function isBeyondRetention(idempotencyKey: string, now: Millis, retentionMs: Millis): boolean {
  const createdAt = readKeyTime(idempotencyKey);
  return createdAt !== undefined && now - createdAt > retentionMs;
}

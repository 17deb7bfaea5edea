import { hashTexts } from '../adapters/Random.js';
import type { IRequestEntry } from '../common/blackboard/Types.js';

/** What the journal key of a request depends on. */
export type RequestIdentity = Pick<
  IRequestEntry,
  'id' | 'service' | 'account' | 'isIdempotent' | 'idempotencyKey' | 'fingerprint'
>;

/**
 * Hashes a request into its journal key. A non-idempotent request is claimed under the caller's key
 * alone. Idempotent requests run whatever their key, so those with one key and different bodies are
 * billed each under their own.
 */
export function hashRequestKey(request: RequestIdentity): string {
  const { account, fingerprint, idempotencyKey, id, isIdempotent, service } = request;
  const identity = idempotencyKey ?? id;
  const body = isIdempotent ? [fingerprint] : [];
  return hashTexts('request', service, account, identity, ...body);
}

/** Hashes a client account and its session into the journal key of the session's pin. */
export function hashSessionKey(request: Pick<IRequestEntry, 'service' | 'account' | 'session'>): string {
  return hashTexts('session', request.service, request.account, request.session ?? '');
}

/** Hashes what a caller sent; the same request sent again has the same fingerprint. */
export function hashFingerprint(account: string, method: string, path: string, body: string): string {
  return hashTexts(account, method, path, body);
}

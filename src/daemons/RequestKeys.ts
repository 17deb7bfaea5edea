import { hashTexts } from '../adapters/Random.js';
import type { IRequestEntry } from '../common/blackboard/Types.js';

/** Fields of a request that its journal key depends on. */
export type RequestIdentity = Pick<
  IRequestEntry,
  'id' | 'service' | 'account' | 'isIdempotent' | 'idempotencyKey' | 'fingerprint'
>;

/**
 * Hashes a request into its journal key. A non-idempotent request is claimed in the journal before it runs.
 * Its key does not include the body, so that an idempotency key is claimed only once. An idempotent request
 * runs without a claim. Its key includes the body, so that requests with the same idempotency key and
 * different bodies are billed separately.
 */
export function hashRequestKey(request: RequestIdentity): string {
  const { account, fingerprint, idempotencyKey, id, isIdempotent, service } = request;
  const identity = idempotencyKey ?? id;
  const body = isIdempotent ? [fingerprint] : [];
  return hashTexts('request', service, account, identity, ...body);
}

/** Hashes a session of a client account into the journal key under which the session's version is stored. */
export function hashSessionKey(request: Pick<IRequestEntry, 'service' | 'account' | 'session'>): string {
  return hashTexts('session', request.service, request.account, request.session ?? '');
}

/** Hashes the content of a request into its fingerprint; a repeated request has the same fingerprint. */
export function hashFingerprint(account: string, method: string, path: string, body: string): string {
  return hashTexts(account, method, path, body);
}

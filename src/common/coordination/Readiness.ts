import type { Blackboard } from '../blackboard/Blackboard.js';
import type { Millis } from '../Types.js';

/**
 * A host that had no contact with the store or a peer for this long is not ready: its configuration may be
 * stale.
 */
const READINESS_CONTACT_TIMEOUT_MS = 10_000;
/**
 * A host is cut off when it had no message or answer from any peer for this long, in which several exchanges
 * fail.
 */
const PEER_CONTACT_TIMEOUT_MS = 3000;
/** With a single peer, a failed exchange does not show which of the two hosts is cut off. */
const MIN_HOSTS_TO_DETECT_CUT_OFF = 3;

/** Tells whether the load balancer should send requests to this host. */
export function isHostReady(board: Blackboard, now: Millis): boolean {
  const phase = board.lifecycle.get('host')?.phase ?? 'serving';
  if (phase !== 'serving' || !board.configuration.has('in-force')) return false;
  const contacts = [...board.contacts.list()].map((contact) => contact.at);
  return contacts.some((at) => now - at <= READINESS_CONTACT_TIMEOUT_MS);
}

/** Tells whether a message or an answer has come from any peer lately. */
export function hasPeerContact(board: Blackboard, now: Millis): boolean {
  const at = board.contacts.get('peer')?.at;
  return at !== undefined && now - at <= PEER_CONTACT_TIMEOUT_MS;
}

/** Tells whether this host is cut off, so that missing answers do not mean that its peers have failed. */
export function isCutOff(board: Blackboard, now: Millis): boolean {
  return board.hosts.size >= MIN_HOSTS_TO_DETECT_CUT_OFF && !hasPeerContact(board, now);
}

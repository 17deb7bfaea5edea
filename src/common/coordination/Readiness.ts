import type { Blackboard } from '../blackboard/Blackboard.js';
import type { Millis } from '../Types.js';

/** A host without any contact for this long reports not ready: its configuration may be out of date. */
const READY_CONTACT_MS = 10_000;
/** Without a peer's message or answer for this long, in which several exchanges fail, a host is cut off. */
const PEER_CONTACT_MS = 3000;
/** With a single peer, a failed exchange tells nothing about which side is cut off. */
const MIN_HOSTS_TO_JUDGE = 3;

/** Tells whether the load balancer should send requests to this host. */
export function isHostReady(board: Blackboard, now: Millis): boolean {
  const phase = board.lifecycle.get('host')?.phase ?? 'serving';
  if (phase !== 'serving' || !board.configuration.has('in-force')) return false;
  const contacts = [...board.contacts.list()].map((contact) => contact.at);
  return contacts.some((at) => now - at <= READY_CONTACT_MS);
}

/** Tells whether any peer has been heard from lately. */
export function hasPeerContact(board: Blackboard, now: Millis): boolean {
  const at = board.contacts.get('peer')?.at;
  return at !== undefined && now - at <= PEER_CONTACT_MS;
}

/** Tells whether this host, rather than the peers that it cannot reach, is the one that is cut off. */
export function isCutOff(board: Blackboard, now: Millis): boolean {
  return board.hosts.size >= MIN_HOSTS_TO_JUDGE && !hasPeerContact(board, now);
}

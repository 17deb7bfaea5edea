import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IUpdateEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import { formatUpdateKey, isNewerUpdate, type PublishUpdate } from './Gossip.js';
import type { GossipUpdate, UpdateUrgency } from './Updates.js';

/** Bounds of the updates in one message. */
export interface IUpdateLimits {
  /** Updates in one message. */
  maxCount: number;
  /** Encoded size of all updates in one message. */
  maxBytes: number;
  /** Number of hosts; an update is sent a multiple of its logarithm times. */
  hostCount: number;
  /** Encoded size of one update. */
  measureUpdate: (update: GossipUpdate) => number;
}

/** Sends per update, as a multiple of log2 of the number of hosts; 3 leaves no host out in practice. */
const SENDS_FACTOR = 3;
/**
 * An update is remembered this long, so that a late copy is not taken for a new one. It is longer than
 * the sends of an update last (27 at 340 hosts, about two a second).
 */
const RETENTION_MS = 60_000;

/** Puts an update on the panel unless it is known already. Returns whether it was new. */
export function publishUpdate(
  board: Blackboard,
  update: GossipUpdate,
  details: { urgency: UpdateUrgency; origin: IUpdateEntry['origin']; now: Millis },
): boolean {
  const key = formatUpdateKey(update);
  const known = board.updates.get(key);
  if (known && !isNewerUpdate(update, known.update)) return false;
  const { now, origin, urgency } = details;
  board.updates.set(key, { update, origin, urgency, sends: 0, changedAt: now });
  return true;
}

/** Creates the function by which other controllers publish what this host has observed. */
export function createPublishUpdate(board: Blackboard, readNow: () => Millis): PublishUpdate {
  return (update, urgency) => {
    publishUpdate(board, update, { urgency, origin: 'own', now: readNow() });
  };
}

/** Takes the updates for one message: the least sent first, within the limits, each counted as sent. */
export function takeUpdates(board: Blackboard, limits: IUpdateLimits): GossipUpdate[] {
  const maxSends = computeMaxSends(limits.hostCount);
  const open = [...board.updates.listPairs()].filter(([, entry]) => entry.sends < maxSends);
  open.sort(([, first], [, second]) => first.sends - second.sends || second.changedAt - first.changedAt);
  const taken: GossipUpdate[] = [];
  let bytes = 0;
  for (const [key, entry] of open) {
    if (taken.length >= limits.maxCount) break;
    const size = limits.measureUpdate(entry.update);
    if (bytes + size > limits.maxBytes) continue;
    bytes += size;
    taken.push(entry.update);
    board.updates.update(key, { sends: entry.sends + 1 });
  }
  return taken;
}

/** Removes updates that have been sent and remembered for long enough. */
export function dropOldUpdates(board: Blackboard, now: Millis): void {
  for (const [key, entry] of [...board.updates.listPairs()]) {
    if (now - entry.changedAt > RETENTION_MS) board.updates.delete(key);
  }
}

function computeMaxSends(hostCount: number): number {
  return SENDS_FACTOR * Math.ceil(Math.log2(hostCount + 1));
}

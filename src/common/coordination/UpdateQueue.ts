import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IGossipUpdateEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import { formatUpdateKey, isNewerUpdate, type PublishUpdate } from './Gossip.js';
import type { GossipUpdate, UpdateUrgency } from './Updates.js';

/** Limits for the updates in one message. */
export interface IUpdateLimits {
  /** Largest number of updates in one message. */
  maxCount: number;
  /** Largest encoded size of all updates in one message. */
  maxBytes: number;
  /** Number of hosts; how often an update is sent grows with its logarithm. */
  hostCount: number;
  /** Computes the encoded size of one update. */
  measureUpdate: (update: GossipUpdate) => number;
}

/**
 * Times that an update is sent, per log2 of the number of hosts. With 3, it reaches all hosts in practice.
 */
const SENDS_PER_LOG2_HOSTS = 3;
/**
 * Time for which an update stays on the panel, so that a copy that arrives late is not taken for a new
 * update. It is longer than sending an update takes (27 times at 340 hosts, about two a second).
 */
const UPDATE_RETENTION_MS = 60_000;

/** Puts an update on the panel, unless the panel has it or a newer one. Returns whether it was new. */
export function publishUpdate(
  board: Blackboard,
  update: GossipUpdate,
  details: { urgency: UpdateUrgency; origin: IGossipUpdateEntry['origin']; now: Millis },
): boolean {
  const key = formatUpdateKey(update);
  const known = board.gossipUpdates.get(key);
  if (known && !isNewerUpdate(update, known.update)) return false;
  const { now, origin, urgency } = details;
  board.gossipUpdates.set(key, { update, origin, urgency, sendCount: 0, changedAt: now });
  return true;
}

/** Creates the function with which other controllers publish what this host has observed. */
export function createPublishUpdate(board: Blackboard, readNow: () => Millis): PublishUpdate {
  return (update, urgency) => {
    publishUpdate(board, update, { urgency, origin: 'own', now: readNow() });
  };
}

/**
 * Takes the updates for one message, within the limits and the least often sent first; counts them as sent.
 */
export function takeUpdates(board: Blackboard, limits: IUpdateLimits): GossipUpdate[] {
  const maxSends = computeMaxSends(limits.hostCount);
  const unfinished = [...board.gossipUpdates.listPairs()].filter(([, entry]) => entry.sendCount < maxSends);
  unfinished.sort(
    ([, first], [, second]) => first.sendCount - second.sendCount || second.changedAt - first.changedAt,
  );
  const taken: GossipUpdate[] = [];
  let bytes = 0;
  for (const [key, entry] of unfinished) {
    if (taken.length >= limits.maxCount) break;
    const size = limits.measureUpdate(entry.update);
    if (bytes + size > limits.maxBytes) continue;
    bytes += size;
    taken.push(entry.update);
    board.gossipUpdates.update(key, { sendCount: entry.sendCount + 1 });
  }
  return taken;
}

/** Removes updates that are older than `UPDATE_RETENTION_MS`. */
export function removeExpiredUpdates(board: Blackboard, now: Millis): void {
  for (const [key, entry] of [...board.gossipUpdates.listPairs()]) {
    if (now - entry.changedAt > UPDATE_RETENTION_MS) board.gossipUpdates.delete(key);
  }
}

function computeMaxSends(hostCount: number): number {
  return SENDS_PER_LOG2_HOSTS * Math.ceil(Math.log2(hostCount + 1));
}

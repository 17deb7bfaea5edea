import type { IHostEntry } from '../blackboard/Types.js';
import type { RandomSource } from '../Types.js';

/** Data that the peers for copies are chosen from. */
export interface ICopyHolderView {
  hosts: Iterable<Readonly<IHostEntry>>;
  /** This host and its availability zone; the copies must survive the loss of both. */
  host: string;
  zone: string;
  /** Peers that already have a copy. */
  holders: ReadonlySet<string>;
}

/** Returns the peers to ask to keep a copy, most suitable first. */
export type ChooseCopyHolders = (view: ICopyHolderView) => readonly Readonly<IHostEntry>[];

/**
 * Creates a function that orders the alive peers: first one random peer of each other availability zone
 * without a copy, then the remaining peers of other zones. Peers of this host's own zone come last, because
 * their copies do not survive the loss of the zone.
 */
export function createChooseCopyHolders(random: RandomSource): ChooseCopyHolders {
  return ({ hosts, host, zone, holders }) => {
    const all = [...hosts];
    const usedZones = new Set(all.filter((peer) => holders.has(peer.id)).map((peer) => peer.zone));
    usedZones.add(zone);
    const ranked = all
      .filter((peer) => peer.state === 'alive' && peer.id !== host && !holders.has(peer.id))
      .map((peer) => ({ peer, order: random() }))
      .sort((first, second) => first.order - second.order)
      .map(({ peer }) => ({ peer, zoneRank: computeZoneRank(peer, zone, usedZones) }));
    return ranked.sort((first, second) => first.zoneRank - second.zoneRank).map(({ peer }) => peer);
  };
}

function computeZoneRank(peer: Readonly<IHostEntry>, zone: string, usedZones: Set<string>): number {
  if (peer.zone === zone) return 2;
  if (usedZones.has(peer.zone)) return 1;
  usedZones.add(peer.zone);
  return 0;
}

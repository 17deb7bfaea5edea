import type { IHostEntry } from '../blackboard/Types.js';
import type { RandomSource } from '../Types.js';

/** What the choice of peers for copies looks at. */
export interface ICopyHolderView {
  hosts: Iterable<Readonly<IHostEntry>>;
  /** Host and availability zone that the copies shall survive. */
  host: string;
  zone: string;
  /** Peers that have a copy already. */
  holders: ReadonlySet<string>;
}

/** Orders the peers that are asked to keep a copy, best first. */
export type ChooseCopyHolders = (view: ICopyHolderView) => readonly Readonly<IHostEntry>[];

/**
 * Creates a choice of random peers with one per other availability zone first, then more of those
 * zones. Peers of the own zone come last: their copies do not survive the loss of the zone.
 */
export function createChooseCopyHolders(random: RandomSource): ChooseCopyHolders {
  return ({ hosts, host, zone, holders }) => {
    const all = [...hosts];
    const usedZones = new Set(all.filter((peer) => holders.has(peer.id)).map((peer) => peer.zone));
    usedZones.add(zone);
    const scored = all
      .filter((peer) => peer.state === 'alive' && peer.id !== host && !holders.has(peer.id))
      .map((peer) => ({ peer, order: random() }))
      .sort((first, second) => first.order - second.order)
      .map(({ peer }) => ({ peer, group: computeGroup(peer, zone, usedZones) }));
    return scored.sort((first, second) => first.group - second.group).map(({ peer }) => peer);
  };
}

function computeGroup(peer: Readonly<IHostEntry>, zone: string, usedZones: Set<string>): number {
  if (peer.zone === zone) return 2;
  if (usedZones.has(peer.zone)) return 1;
  usedZones.add(peer.zone);
  return 0;
}

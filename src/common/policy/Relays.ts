import { RendezvousRanking, type HashTexts } from '../coordination/Rendezvous.js';
import type { ChooseRelays } from '../paths/Types.js';

/** Largest number of relays that are tried for one connection. */
const MAX_RELAYS = 3;

/**
 * Creates the choice of relays by availability zone and hash: the relay that reached the endpoint last, then one host of
 * the own zone, then hosts of the others. The hash depends on the endpoint, so that its callers spread over the hosts.
 * Hosts that failed as relays of late are not chosen. If there is one in the own zone, the others there come last, since a
 * whole zone may have lost its links.
 * @example
 * const chooseRelays = createChooseRelays(hashTexts);
 * const [first] = chooseRelays({ hosts, address: '10.0.0.9:80', zone: 'a', lastRelay: undefined, findRelay, now });
 */
export function createChooseRelays(hashTexts: HashTexts): ChooseRelays {
  const ranking = new RendezvousRanking(hashTexts);
  return ({ address, findRelay, hosts, lastRelay, now, zone }) => {
    const usable = hosts.filter(({ host }) => (findRelay(host)?.avoidedUntil ?? -Infinity) <= now);
    const byId = new Map(usable.map((presence) => [presence.host, presence]));
    const sorted = ranking.sort(address, byId.keys()).flatMap((id) => byId.get(id) ?? []);
    const near = sorted.filter((presence) => presence.zone === zone);
    const far = sorted.filter((presence) => presence.zone !== zone);
    const isZoneSuspect = hosts.some((presence) => presence.zone === zone && !usable.includes(presence));
    const ordered = isZoneSuspect ? [...far, ...near] : [...near.slice(0, 1), ...far, ...near.slice(1)];
    const last = usable.filter(({ host }) => host === lastRelay);
    return [...last, ...ordered.filter(({ host }) => host !== lastRelay)].slice(0, MAX_RELAYS);
  };
}

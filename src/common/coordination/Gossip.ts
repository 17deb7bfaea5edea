import type { Result } from 'true-myth';
import type { IHostEntry } from '../blackboard/Types.js';
import type { PeerError } from './Peers.js';
import type { EndpointCondition, GossipUpdate, HostState, IHostUpdate, UpdateUrgency } from './Updates.js';

/** Request or reply of an exchange between two hosts. */
export interface IGossipMessage {
  /** The sender's own state. */
  from: IHostUpdate;
  updates: readonly GossipUpdate[];
  /** Configuration revision in force at the sender; 0 before the first one. */
  revision: number;
}

/** Sends a message to a peer and resolves with its reply. */
export type ExchangeGossip = (
  host: string,
  message: IGossipMessage,
) => Promise<Result<IGossipMessage, PeerError>>;

/** Asks the peer `via` whether the host `target` answers it. */
export type CheckHost = (via: string, target: string) => Promise<Result<boolean, PeerError>>;

/** Publishes an update to all hosts. */
export type PublishUpdate = (update: GossipUpdate, urgency: UpdateUrgency) => void;

/** Of two updates with the same incarnation, the one whose state has the higher number wins. */
const HOST_STATE_PRECEDENCE: Readonly<Record<HostState, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  gone: 3,
};
/** As `HOST_STATE_PRECEDENCE`, for endpoints. */
const CONDITION_PRECEDENCE: Readonly<Record<EndpointCondition, number>> = { suspect: 0, leaving: 1 };

/**
 * Tells whether an update about a host replaces the known state: its incarnation is higher, or its
 * incarnation is the same and its state takes precedence.
 */
export function isNewerHostState(
  update: Pick<IHostUpdate, 'incarnation' | 'state'>,
  known: Pick<IHostUpdate, 'incarnation' | 'state'>,
): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return HOST_STATE_PRECEDENCE[update.state] > HOST_STATE_PRECEDENCE[known.state];
}

/** Tells whether an update replaces another one of the same key. */
export function isNewerUpdate(update: GossipUpdate, known: GossipUpdate): boolean {
  if (update.kind === 'host') return known.kind === 'host' && isNewerHostState(update, known);
  if (known.kind !== 'endpoint') return false;
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return CONDITION_PRECEDENCE[update.condition] > CONDITION_PRECEDENCE[known.condition];
}

/** Formats the key of an update in the `gossipUpdates` panel. */
export function formatUpdateKey(update: Pick<GossipUpdate, 'kind' | 'id'>): string {
  return `${update.kind}:${update.id}`;
}

/** Builds the update that describes an entry of the `hosts` panel. */
export function buildHostUpdate(host: IHostEntry): IHostUpdate {
  const { address, id, incarnation, state, zone } = host;
  return { kind: 'host', id, address, zone, state, incarnation };
}

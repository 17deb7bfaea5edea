import type { Result } from 'true-myth';
import type { IHostEntry } from '../blackboard/Types.js';
import type { PeerError } from './Peers.js';
import type { EndpointCondition, GossipUpdate, HostState, IHostUpdate, UpdateUrgency } from './Updates.js';

/** Both directions of an exchange between two hosts. */
export interface IGossipMessage {
  /** The sender's own state. */
  from: IHostUpdate;
  updates: readonly GossipUpdate[];
  /** Configuration revision in force at the sender; 0 before the first one. */
  revision: number;
}

/** Exchanges state with a peer. */
export type ExchangeGossip = (
  host: string,
  message: IGossipMessage,
) => Promise<Result<IGossipMessage, PeerError>>;

/** Asks a peer whether it reaches another host. */
export type CheckHost = (via: string, target: string) => Promise<Result<boolean, PeerError>>;

/** Publishes an update to all hosts. */
export type PublishUpdate = (update: GossipUpdate, urgency: UpdateUrgency) => void;

const HOST_STATE_RANK: Readonly<Record<HostState, number>> = { alive: 0, leaving: 1, suspect: 2, gone: 3 };
const CONDITION_RANK: Readonly<Record<EndpointCondition, number>> = { suspect: 0, leaving: 1 };

/** Tells whether a statement about a host replaces the known one: higher incarnation, then worse state. */
export function isNewerHostState(
  update: Pick<IHostUpdate, 'incarnation' | 'state'>,
  known: Pick<IHostUpdate, 'incarnation' | 'state'>,
): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return HOST_STATE_RANK[update.state] > HOST_STATE_RANK[known.state];
}

/** Tells whether an update replaces another one of the same key. */
export function isNewerUpdate(update: GossipUpdate, known: GossipUpdate): boolean {
  if (update.kind === 'host') return known.kind === 'host' && isNewerHostState(update, known);
  if (known.kind !== 'endpoint') return false;
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return CONDITION_RANK[update.condition] > CONDITION_RANK[known.condition];
}

/** Key of an update in the `updates` panel. */
export function formatUpdateKey(update: Pick<GossipUpdate, 'kind' | 'id'>): string {
  return `${update.kind}:${update.id}`;
}

/** Builds the statement that a panel entry makes about its host. */
export function buildHostUpdate(host: IHostEntry): IHostUpdate {
  const { address, id, incarnation, state, zone } = host;
  return { kind: 'host', id, address, zone, state, incarnation };
}

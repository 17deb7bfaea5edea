import type { Blackboard } from '../blackboard/Blackboard.js';
import type { HostState, IHostEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import { buildHostUpdate, isNewerHostState } from './Gossip.js';
import type { IHostUpdate, UpdateUrgency } from './Updates.js';
import { publishUpdate } from './UpdateQueue.js';

/** What a change of the `hosts` panel needs to know. */
export interface IHostStateContext {
  board: Blackboard;
  /** Id of this host. */
  self: string;
  now: Millis;
}

/** States whose hosts take part in exchanges. */
const REACHABLE_STATES: ReadonlySet<HostState> = new Set(['alive', 'leaving', 'suspect']);

/** Lists the other hosts that are not gone. */
export function listPeers(board: Blackboard, self: string): IHostEntry[] {
  return [...board.hosts.list()].filter((host) => host.id !== self && REACHABLE_STATES.has(host.state));
}

/**
 * Applies a statement about a host: from the host itself (`own-word`), from a peer, or from the list.
 * The first word of a host that the list has introduced is not published, as the others have the list;
 * else a common start of 340 hosts would fill every message for minutes.
 */
export function applyHostUpdate(
  context: IHostStateContext,
  update: IHostUpdate,
  source: 'own-word' | 'hearsay' = 'hearsay',
): void {
  const { board, now, self } = context;
  if (update.id === self) {
    rejectUpdate(context, update);
    return;
  }
  const known = board.hosts.get(update.id);
  if (known && !isReplacing(update, known)) return;
  const { address, id, incarnation, state, zone } = update;
  const revision = known?.revision;
  board.hosts.set(id, {
    id,
    address,
    zone,
    state,
    incarnation,
    changedAt: now,
    ...(revision === undefined ? {} : { revision }),
  });
  const isListed = known?.incarnation === 0 && known.state === 'alive' && known.address === address;
  if (source === 'own-word' && isListed && state === 'alive') return;
  publishUpdate(board, update, { urgency: chooseUrgency(update, known), origin: 'peer', now });
}

/** Writes a state that this host has decided on itself. It is published unless this host is cut off. */
export function decideHostState(
  context: IHostStateContext,
  host: IHostEntry,
  state: HostState,
  isCutOff: boolean,
): void {
  const { board, now } = context;
  const isOwnVerdict = isCutOff || host.isOwnVerdict === true;
  const next: IHostEntry = { ...host, state, changedAt: now, isOwnVerdict };
  board.hosts.set(host.id, next);
  if (isOwnVerdict) return;
  const update = buildHostUpdate(next);
  publishUpdate(board, update, { urgency: chooseUrgency(update, host), origin: 'own', now });
}

/** Takes back the states that this host decided on while it was cut off; the checks start afresh. */
export function clearOwnVerdicts({ board, now }: IHostStateContext): void {
  for (const host of [...board.hosts.list()]) {
    if (host.isOwnVerdict === true) {
      board.hosts.set(host.id, { ...host, state: 'alive', changedAt: now, isOwnVerdict: false });
    }
  }
}

/** Changes this host's own entry and publishes it at once. */
export function updateOwnState({ board, now, self }: IHostStateContext, patch: Partial<IHostEntry>): void {
  const own = board.hosts.get(self);
  if (!own) return;
  const next: IHostEntry = { ...own, ...patch, changedAt: now };
  board.hosts.set(self, next);
  publishUpdate(board, buildHostUpdate(next), { urgency: 'now', origin: 'own', now });
}

/** Answers a wrong statement about this host with a higher incarnation. */
function rejectUpdate(context: IHostStateContext, update: IHostUpdate): void {
  const own = context.board.hosts.get(context.self);
  if (!own || own.state === 'gone') return;
  const hasOtherAddress = update.incarnation === own.incarnation && update.address !== own.address;
  if (!isNewerHostState(update, own) && !hasOtherAddress) return;
  updateOwnState(context, { incarnation: update.incarnation + 1 });
}

/** A state that this host decided on while cut off yields to any statement of the same incarnation. */
function isReplacing(update: IHostUpdate, known: IHostEntry): boolean {
  if (known.isOwnVerdict === true) return update.incarnation >= known.incarnation;
  return isNewerHostState(update, known);
}

/**
 * A suspicion travels with the exchanges, so that a refutation overtakes it. So does the arrival of a
 * host, which nothing waits for.
 */
function chooseUrgency(update: IHostUpdate, known: IHostEntry | undefined): UpdateUrgency {
  if (update.state === 'suspect') return 'next-exchange';
  const wasDoubted = known?.state === 'suspect' || known?.state === 'gone';
  return update.state === 'alive' && !wasDoubted ? 'next-exchange' : 'now';
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { HostState, IHostEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import { buildHostUpdate, isNewerHostState } from './Gossip.js';
import type { IHostUpdate, UpdateUrgency } from './Updates.js';
import { publishUpdate } from './UpdateQueue.js';

/** Common parameters of the functions that change the `hosts` panel. */
export interface IHostStateContext {
  board: Blackboard;
  /** Id of this host. */
  self: string;
  now: Millis;
}

/** States of the hosts that take part in exchanges. */
const PEER_STATES: ReadonlySet<HostState> = new Set(['alive', 'leaving', 'suspect']);

/** Lists the other hosts that are not gone. */
export function listPeers(board: Blackboard, self: string): IHostEntry[] {
  return [...board.hosts.list()].filter((host) => host.id !== self && PEER_STATES.has(host.state));
}

/**
 * Applies an update about a host. The source is `own-word` if the host itself sent it, and `hearsay` if it
 * comes from a peer or the host list. The first message of a host that is known from the host list only is
 * not published, because the other hosts have the list too. Otherwise, a simultaneous start of 340 hosts
 * would fill every message for minutes.
 */
export function applyHostUpdate(
  context: IHostStateContext,
  update: IHostUpdate,
  source: 'own-word' | 'hearsay' = 'hearsay',
): void {
  const { board, now, self } = context;
  if (update.id === self) {
    refuteUpdate(context, update);
    return;
  }
  const known = board.hosts.get(update.id);
  if (known && !isSuperseding(update, known)) return;
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
  const isKnownFromListOnly =
    known?.incarnation === 0 && known.state === 'alive' && known.address === address;
  if (source === 'own-word' && isKnownFromListOnly && state === 'alive') return;
  publishUpdate(board, update, { urgency: chooseUrgency(update, known), origin: 'peer', now });
}

/**
 * Writes a state that this host has inferred from missing answers. The state is not published if this host
 * is cut off, or was cut off when it decided on the previous state.
 */
export function decideHostState(
  context: IHostStateContext,
  host: IHostEntry,
  state: HostState,
  isCutOff: boolean,
): void {
  const { board, now } = context;
  const isDecidedWhileCutOff = isCutOff || host.isDecidedWhileCutOff === true;
  const next: IHostEntry = { ...host, state, changedAt: now, isDecidedWhileCutOff };
  board.hosts.set(host.id, next);
  if (isDecidedWhileCutOff) return;
  const update = buildHostUpdate(next);
  publishUpdate(board, update, { urgency: chooseUrgency(update, host), origin: 'own', now });
}

/**
 * Resets the hosts whose state this host decided on while it was cut off to `alive`; the regular exchanges
 * then check them again.
 */
export function revertStatesDecidedWhileCutOff({ board, now }: IHostStateContext): void {
  for (const host of [...board.hosts.list()]) {
    if (host.isDecidedWhileCutOff === true) {
      board.hosts.set(host.id, { ...host, state: 'alive', changedAt: now, isDecidedWhileCutOff: false });
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

/** Refutes a wrong update about this host: raises the incarnation and publishes it. */
function refuteUpdate(context: IHostStateContext, update: IHostUpdate): void {
  const own = context.board.hosts.get(context.self);
  if (!own || own.state === 'gone') return;
  const hasOtherAddress = update.incarnation === own.incarnation && update.address !== own.address;
  if (!isNewerHostState(update, own) && !hasOtherAddress) return;
  updateOwnState(context, { incarnation: update.incarnation + 1 });
}

/**
 * Tells whether an update replaces a known state. A state that this host decided on while it was cut off is
 * replaced by any update of the same or a higher incarnation.
 */
function isSuperseding(update: IHostUpdate, known: IHostEntry): boolean {
  if (known.isDecidedWhileCutOff === true) return update.incarnation >= known.incarnation;
  return isNewerHostState(update, known);
}

/**
 * A suspicion is sent with the regular exchanges, so that a refutation, which is pushed, overtakes it. The
 * arrival of a host is sent with them too, because nothing waits for it.
 */
function chooseUrgency(update: IHostUpdate, known: IHostEntry | undefined): UpdateUrgency {
  if (update.state === 'suspect') return 'next-exchange';
  const wasSuspectOrGone = known?.state === 'suspect' || known?.state === 'gone';
  return update.state === 'alive' && !wasSuspectOrGone ? 'next-exchange' : 'now';
}

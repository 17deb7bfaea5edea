import type { Millis } from '../src/common/Types.js';
import type { SoakBoard } from './SoakBoard.js';
import type { IFaultEntry, SoakFaultKind } from './Types.js';

/** Scopes of faults that hit every router. */
export const STORE_SCOPE = 'store';
export const ALL_ROUTERS_SCOPE = 'routers';

/** Scope of what the operator does. */
export const OPERATOR_SCOPE = 'operator';

/** Time for which a router and the store must be undisturbed before bounds on time hold. */
export const SETTLING_MS: Millis = 3000;

/** Planned work that does not interrupt a router. */
const NON_INTERRUPTING_KINDS: readonly SoakFaultKind[] = ['reload-router'];

/** A stretch of time and what it concerns. */
export interface IDisturbanceQuery {
  scopes: readonly string[];
  from: Millis;
  to: Millis;
}

/** Finds a fault or planned work that a filter takes and that lasted at some time of a stretch. */
export function findDisturbance(
  board: SoakBoard,
  { from, scopes, to }: IDisturbanceQuery,
  filter: (fault: Readonly<IFaultEntry>) => boolean = () => true,
): Readonly<IFaultEntry> | undefined {
  for (const fault of board.faults.list()) {
    const overlapsQuery = fault.startedAt <= to && (fault.endedAt ?? Infinity) >= from;
    if (overlapsQuery && scopes.includes(fault.scope) && filter(fault)) return fault;
  }
  return undefined;
}

/** Tells whether a router and the store were undisturbed over a stretch and long enough before it. */
export function isRouterUndisturbed(
  board: SoakBoard,
  router: string,
  from: Millis,
  to: Millis = from,
): boolean {
  const scopes = [router, ALL_ROUTERS_SCOPE, STORE_SCOPE];
  const query = { scopes, from: from - SETTLING_MS, to };
  return !findDisturbance(board, query, ({ kind }) => !NON_INTERRUPTING_KINDS.includes(kind));
}

/** Tells whether a runner and the links to it were undisturbed over a stretch and long enough before it. */
export function isRunnerUndisturbed(board: SoakBoard, runner: string, from: Millis, to: Millis): boolean {
  const query = { scopes: [runner], from: from - SETTLING_MS, to };
  return !findDisturbance(board, query, ({ isPlannedWork }) => !isPlannedWork);
}

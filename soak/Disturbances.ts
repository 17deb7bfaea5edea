import type { Millis } from '../src/common/Types.js';
import type { SoakBoard } from './SoakBoard.js';
import type { IFaultEntry, SoakFaultKind } from './Types.js';

/** Scopes of faults that affect every router. */
export const STORE_SCOPE = 'store';
export const ALL_ROUTERS_SCOPE = 'routers';

/** Scope of the operator's planned work. */
export const OPERATOR_SCOPE = 'operator';

/**
 * Scope of the link of a router to the runners. A router that has lost it stays bound by all time limits, since it still
 * reaches its callers, the store and the other routers.
 */
export function formatLinkScope(router: string): string {
  return `${router}-link`;
}

/** Time for which a router and the store must be undisturbed before time limits apply. */
export const SETTLING_MS: Millis = 3000;

/** Planned work that does not interrupt a router. */
const NON_INTERRUPTING_KINDS: readonly SoakFaultKind[] = ['reload-router'];

/** A period of time, and the scopes in which to look for faults and planned work. */
export interface IDisturbanceQuery {
  scopes: readonly string[];
  from: Millis;
  to: Millis;
}

/** Finds a fault or planned work that was active during the period of a query and that the filter accepts. */
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

/** Tells whether a router and the store were undisturbed during a period and for `SETTLING_MS` before it. */
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

/**
 * Tells whether no fault disturbed a runner or its connections during a period and `SETTLING_MS` before it.
 */
export function isRunnerUndisturbed(board: SoakBoard, runner: string, from: Millis, to: Millis): boolean {
  const query = { scopes: [runner], from: from - SETTLING_MS, to };
  return !findDisturbance(board, query, ({ isPlannedWork }) => !isPlannedWork);
}

import type { Millis } from '../src/common/Types.js';
import type { ICheck } from './CheckController.js';
import { findDisturbance, formatLinkScope, isRouterUndisturbed, SETTLING_MS } from './Disturbances.js';
import type { SoakBoard } from './SoakBoard.js';
import type { ICallEntry, IFaultEntry } from './Types.js';

/** Calls at the cut router, and at the others, below which nothing is concluded from a cut. */
const MIN_CALLS = 20;

/** Limits that the platform sets: share of the others' rate of served calls, and failed calls that are allowed. */
const MIN_RELATIVE_RATE = 2 / 3;
const FAILED_SLACK = 10;
const FAILED_SHARE = 1 / 50;

/** Checks of routers that have lost their link to the runners. */
export const LINK_CHECKS: readonly ICheck[] = [{ promise: 'lost-links', checkAll: checkLostLinks }];

function checkLostLinks(board: SoakBoard): string[] {
  const cuts = [...board.faults.list()].filter(
    ({ kind }) => kind === 'hang-router-link' || kind === 'refuse-router-link',
  );
  return cuts.flatMap((cut) => checkCut(board, cut) ?? []);
}

/** Compares the calls at a router without link with those at routers that have one, from `SETTLING_MS` after the cut. */
function checkCut(
  board: SoakBoard,
  { endedAt = Infinity, kind, scope, startedAt }: Readonly<IFaultEntry>,
): string | undefined {
  const calls = listCountedCalls(board, startedAt + SETTLING_MS, endedAt);
  const cutOff = calls.filter(({ router }) => formatLinkScope(router) === scope);
  const others = calls.filter(({ router }) => !hasLostLink(board, router, startedAt, endedAt));
  if (cutOff.length < MIN_CALLS || others.length < MIN_CALLS) return undefined;
  const [served, servedElsewhere] = [countServed(cutOff), countServed(others)];
  const isWorse = served / cutOff.length < (MIN_RELATIVE_RATE * servedElsewhere) / others.length;
  const hasFailed = cutOff.length - served > FAILED_SLACK + FAILED_SHARE * cutOff.length;
  return isWorse && hasFailed
    ? `${scope}, ${kind}: ${served} of ${cutOff.length} calls were served, ${servedElsewhere} of ${others.length} elsewhere`
    : undefined;
}

/** Lists the calls sent in a period, at routers that were undisturbed, whose callers waited for their end. */
function listCountedCalls(board: SoakBoard, from: Millis, to: Millis): Readonly<ICallEntry>[] {
  return [...board.calls.list()].filter(
    ({ disconnectedAt, endedAt, router, sentAt }) =>
      sentAt >= from &&
      sentAt < to &&
      endedAt !== undefined &&
      disconnectedAt === undefined &&
      isRouterUndisturbed(board, router, sentAt, endedAt),
  );
}

function hasLostLink(board: SoakBoard, router: string, from: Millis, to: Millis): boolean {
  return findDisturbance(board, { scopes: [formatLinkScope(router)], from, to }) !== undefined;
}

function countServed(calls: readonly Readonly<ICallEntry>[]): number {
  return calls.filter(({ isComplete, status }) => isComplete === true && status === 200).length;
}

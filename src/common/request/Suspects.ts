import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRefusal, ICrashSuspectEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import type { DecideAdmission, DecideRetry } from './Types.js';

/** Time since its last change after which a suspect is removed from the panel. */
export const SUSPECT_RETENTION_MS = 3_600_000;

/**
 * Several hosts may report the same crash of an endpoint. Reports within this time of each other count as one
 * crash.
 */
const CRASH_REPORT_WINDOW_MS = 1000;

/** One request that a host had in flight at an endpoint when the endpoint crashed. */
export interface ICrashObservation {
  fingerprint: string;
  endpoint: string;
  /** Whether the request ran on trial and no other known suspect ran at the endpoint. */
  isOnTrial: boolean;
}

/**
 * Computes the entry of a request after a crash that it may have caused. Only a crash on trial blocks the
 * request, because only then was it the only suspect.
 */
export function computeSuspect(
  known: ICrashSuspectEntry | undefined,
  { endpoint, fingerprint, isOnTrial }: ICrashObservation,
  now: Millis,
): ICrashSuspectEntry {
  if (known?.state === 'blocked') return known;
  const previous = known?.state === 'cleared' ? undefined : known;
  const isSameCrash =
    previous?.endpoints.at(-1) === endpoint &&
    now - previous.changedAt < CRASH_REPORT_WINDOW_MS &&
    !isOnTrial;
  if (previous && isSameCrash) return previous;
  return {
    fingerprint,
    state: isOnTrial ? 'blocked' : 'suspected',
    crashes: (previous?.crashes ?? 0) + 1,
    endpoints: [...(previous?.endpoints ?? []), endpoint].slice(-3),
    changedAt: now,
  };
}

/** Tells whether a request is a suspect, which may run only on trial. */
export function needsTrial(board: Blackboard, fingerprint: string): boolean {
  const state = board.crashSuspects.get(fingerprint)?.state;
  return state === 'suspected' || state === 'on-trial';
}

/** Tells whether a request must be refused because it crashed an endpoint on trial. */
export function isBlocked(board: Blackboard, fingerprint: string): boolean {
  return board.crashSuspects.get(fingerprint)?.state === 'blocked';
}

/** Wraps an admission decision so that a blocked request is refused where it would be admitted. */
export function withBlockedRefusal(board: Blackboard, decideAdmission: DecideAdmission): DecideAdmission {
  return (view) => {
    const decision = decideAdmission(view);
    const isAdmittedButBlocked = decision.kind === 'admit' && isBlocked(board, view.request.fingerprint);
    return isAdmittedButBlocked ? { kind: 'refuse', refusal: BLOCKED_REFUSAL } : decision;
  };
}

/** Wraps a retry decision so that a blocked request is never retried. */
export function withBlockedRetry(board: Blackboard, decideRetry: DecideRetry): DecideRetry {
  return (view) =>
    isBlocked(board, view.request.fingerprint)
      ? { kind: 'refuse', refusal: BLOCKED_REFUSAL }
      : decideRetry(view);
}

const BLOCKED_REFUSAL: IRefusal = {
  code: 'request_crashes_endpoint',
  message: 'The request crashed an endpoint each time it was run, so it is not run again.',
  ran: 'yes',
};

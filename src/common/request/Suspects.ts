import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRefusal, ISuspectEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import type { DecideAdmission, DecideRetry } from './Types.js';

/** Time after which a suspect is forgotten. */
export const SUSPECT_RETENTION_MS = 3_600_000;

/** Reports of one endpoint's crash come from several hosts within this time. */
const SAME_CRASH_MS = 1000;

/** What a host saw of one request at a crash. */
export interface ICrashSight {
  fingerprint: string;
  endpoint: string;
  /** Whether the request was the only suspect known to run there, and ran on trial. */
  isOnTrial: boolean;
}

/** Computes a suspect's entry after a crash; only a crash on trial blocks it. */
export function computeSuspect(
  known: ISuspectEntry | undefined,
  { endpoint, fingerprint, isOnTrial }: ICrashSight,
  now: Millis,
): ISuspectEntry {
  if (known?.state === 'blocked') return known;
  const previous = known?.state === 'cleared' ? undefined : known;
  const isSameCrash =
    previous?.endpoints.at(-1) === endpoint && now - previous.changedAt < SAME_CRASH_MS && !isOnTrial;
  if (previous && isSameCrash) return previous;
  return {
    fingerprint,
    state: isOnTrial ? 'blocked' : 'suspected',
    crashes: (previous?.crashes ?? 0) + 1,
    endpoints: [...(previous?.endpoints ?? []), endpoint].slice(-3),
    changedAt: now,
  };
}

/** Tells whether a request may run only on trial. */
export function needsTrial(board: Blackboard, fingerprint: string): boolean {
  const state = board.suspects.get(fingerprint)?.state;
  return state === 'suspected' || state === 'on-trial';
}

/** Tells whether a request is refused because it crashed an endpoint on trial. */
export function isBlocked(board: Blackboard, fingerprint: string): boolean {
  return board.suspects.get(fingerprint)?.state === 'blocked';
}

/** Refuses blocked requests before the given decision is asked. */
export function withBlockedRefusal(board: Blackboard, decideAdmission: DecideAdmission): DecideAdmission {
  return (view) => {
    const decision = decideAdmission(view);
    const isRefused = decision.kind === 'admit' && isBlocked(board, view.request.fingerprint);
    return isRefused ? { kind: 'refuse', refusal: BLOCKED_REFUSAL } : decision;
  };
}

/** Refuses the retry of blocked requests before the given decision is asked. */
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

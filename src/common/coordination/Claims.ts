import type { Result } from 'true-myth';
import type { IJournal, IJournalRecord, IStoredAnswer, JournalError, Retention } from './Types.js';

/** A claim on a key. */
export interface IClaim {
  /** Hexadecimal hash, of at least 8 digits, that identifies the work that must run at most once. */
  key: string;
  /** Unique id of this attempt to run the work. */
  request: string;
  /** Wall-clock time in milliseconds, for retention. */
  atMs: number;
  /** Default: `long`. */
  retention?: Retention;
}

/** `granted`: this request, and no other one, may run. `taken`: another request holds or held the claim. */
export type ClaimOutcome = { kind: 'granted' } | { kind: 'taken'; record: IJournalRecord };

/**
 * Claims a key durably. After an error of kind `unknown-outcome` the claim may be committed later: do
 * not run, and release it.
 *
 * ```ts
 * const claimed = await claimKey(journal, { key, request, atMs: Date.now() });
 * if (claimed.isOk && claimed.value.kind === 'granted') await runOnce();
 * ```
 */
export async function claimKey(
  journal: IJournal,
  claim: IClaim,
): Promise<Result<ClaimOutcome, JournalError>> {
  const { atMs, key, request, retention = 'long' } = claim;
  const appended = await journal.append(key, [{ kind: 'claim', key, request, atMs, retention }]);
  return appended.map(([outcome]) =>
    outcome?.kind === 'duplicate' ? { kind: 'taken', record: outcome.record } : { kind: 'granted' },
  );
}

/** Releases the claim of a request that provably did not run. */
export async function releaseClaim(
  journal: IJournal,
  { key, request }: Pick<IClaim, 'key' | 'request'>,
): Promise<Result<void, JournalError>> {
  const appended = await journal.append(key, [{ kind: 'release', key, request }]);
  return appended.map(() => undefined);
}

/** Records the outcome of a claimed request, with the answer that a repeat receives. */
export async function finishClaim(
  journal: IJournal,
  { key, request }: Pick<IClaim, 'key' | 'request'>,
  outcome: 'done' | 'failed',
  answer?: IStoredAnswer,
): Promise<Result<void, JournalError>> {
  const appended = await journal.append(key, [{ kind: 'outcome', key, request, outcome, answer }]);
  return appended.map(() => undefined);
}

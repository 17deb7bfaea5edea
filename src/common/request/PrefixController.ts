import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';

/** Prefixes remembered; the oldest are dropped. About 200 bytes each. */
const MAX_PREFIXES = 20_000;

/** Remembers in the `prefixes` panel where each prompt prefix was sent last. */
export class PrefixController extends Disposable {
  constructor(private readonly _board: Blackboard) {
    super();
    this._register(
      _board.attempts.onChange(({ before, after }) => {
        if (!before && after?.version !== undefined) this._record(after, after.version);
      }),
    );
  }

  private _record(attempt: IAttemptEntry, version: string): void {
    const { prefixes, requests } = this._board;
    const target = requests.get(attempt.request)?.target;
    if (target?.kind !== 'model') return;
    for (const hash of target.prefixHashes) {
      const key = formatPrefixKey(version, hash);
      // Deleted first, so that the panel's order of insertion is the order of use.
      prefixes.delete(key);
      prefixes.set(key, { key, endpoint: attempt.endpoint, sentAt: attempt.plannedAt });
    }
    this._trim();
  }

  private _trim(): void {
    const { prefixes } = this._board;
    for (const { key } of prefixes.list()) {
      if (prefixes.size <= MAX_PREFIXES) return;
      prefixes.delete(key);
    }
  }
}

/** Formats the key of a prefix; caches of different versions share nothing. */
export function formatPrefixKey(version: string, hash: string): string {
  return `${version}:${hash}`;
}

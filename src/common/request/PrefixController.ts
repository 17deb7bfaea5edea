import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';

/**
 * Largest number of entries in the `promptPrefixes` panel, at about 200 bytes each. The oldest are removed first.
 */
const MAX_PREFIXES = 20_000;

/** Records in the `promptPrefixes` panel which endpoint each prompt prefix was last sent to. */
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
    const { promptPrefixes, requests } = this._board;
    const target = requests.get(attempt.request)?.target;
    if (target?.kind !== 'model') return;
    for (const hash of target.prefixHashes) {
      const key = formatPrefixKey(version, hash);
      // The entry is deleted first, so that the panel lists entries in order of last use.
      promptPrefixes.delete(key);
      promptPrefixes.set(key, { key, endpoint: attempt.endpoint, sentAt: attempt.plannedAt });
    }
    this._removeOldest();
  }

  private _removeOldest(): void {
    const { promptPrefixes } = this._board;
    for (const { key } of promptPrefixes.list()) {
      if (promptPrefixes.size <= MAX_PREFIXES) return;
      promptPrefixes.delete(key);
    }
  }
}

/** Formats the key of a prefix. It includes the version, because versions do not share prompt caches. */
export function formatPrefixKey(version: string, hash: string): string {
  return `${version}:${hash}`;
}

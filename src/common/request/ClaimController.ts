import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IRequestEntry } from '../blackboard/Types.js';
import { isBeyondRetention } from '../coordination/IdempotencyKeys.js';
import type { IJournal, IJournalRecord, JournalEntry, JournalError } from '../coordination/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { Millis } from '../Types.js';
import { refuseRequest } from './Refusals.js';

/** Options of the claim controller. */
export interface IClaimOptions {
  board: Blackboard;
  journal: IJournal;
  /** Reads the wall-clock time in milliseconds, which the retention of keys is based on. */
  readWallClock: () => number;
  /** Hashes the client account with the idempotency key, or with the request id if there is no key. */
  hashKey: (request: IRequestEntry) => string;
  /** Keeps journal entries that could not be appended, and appends them later. */
  holdEntries: (key: string, entries: readonly JournalEntry[]) => Promise<void>;
  /** Time for which the journal keeps idempotency keys. */
  retentionMs: Millis;
}

/** Time after which a caller may repeat a request that could not be claimed or is still running. */
const STORE_RETRY_AFTER_MS = 2000;

/**
 * Moves requests from `admitted` to `claimed`. A non-idempotent request is first claimed durably in the
 * journal, before anything is sent to an endpoint. A repeat of a claimed request gets the stored answer, or a
 * refusal that says whether the first one is running or may have run.
 */
export class ClaimController extends Disposable {
  constructor(private readonly _options: IClaimOptions) {
    super();
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        if (after?.phase === 'admitted' && before?.phase !== 'admitted') this._handleAdmitted(after);
      }),
    );
  }

  private _handleAdmitted(request: IRequestEntry): void {
    if (this._isKeyBeyondRetention(request)) {
      refuseRequest(this._options.board, request.id, {
        code: 'outcome_unknown',
        message: 'The idempotency key is older than the time for which keys are remembered.',
        ran: 'unknown',
      });
      return;
    }
    if (request.isIdempotent) {
      this._options.board.requests.update(request.id, { phase: 'claimed' });
      return;
    }
    void this._claim(request);
  }

  private _isKeyBeyondRetention({ idempotencyKey }: IRequestEntry): boolean {
    const { readWallClock, retentionMs } = this._options;
    return idempotencyKey !== undefined && isBeyondRetention(idempotencyKey, readWallClock(), retentionMs);
  }

  private async _claim(request: IRequestEntry): Promise<void> {
    const { board, hashKey, journal, readWallClock } = this._options;
    const key = hashKey(request);
    // Without an idempotency key the journal key comes from the request id, which no caller can repeat.
    const retention = request.idempotencyKey === undefined ? 'short' : 'long';
    const result = await journal.append(key, [
      {
        kind: 'claim',
        key,
        request: request.id,
        atMs: readWallClock(),
        retention,
        fingerprint: request.fingerprint,
      },
    ]);
    if (result.isErr) {
      this._refuseUnclaimed(request, key, result.error);
      return;
    }
    const outcome = result.value[0];
    if (outcome?.kind === 'duplicate') this._handleDuplicate(request, outcome.record);
    else if (board.requests.get(request.id)?.phase === 'admitted') {
      board.requests.update(request.id, { phase: 'claimed' });
    } else void this._release(request, key);
  }

  private _refuseUnclaimed(request: IRequestEntry, key: string, error: JournalError): void {
    // The claim may have been committed, or may be committed later. Unless it is released, every repeat would
    // be refused.
    if (error.kind === 'unknown-outcome') void this._release(request, key);
    refuseRequest(this._options.board, request.id, {
      code: 'store_unavailable',
      message: 'The request could not be claimed, so it was not run.',
      ran: 'no',
      retryAfterMs: STORE_RETRY_AFTER_MS,
    });
  }

  private async _release(request: IRequestEntry, key: string): Promise<void> {
    const entries: JournalEntry[] = [{ kind: 'release', key, request: request.id }];
    const released = await this._options.journal.append(key, entries);
    // If the claim stayed in the journal, every repeat of this request, which never ran, would be refused.
    if (released.isErr) await this._options.holdEntries(key, entries);
  }

  private _handleDuplicate(request: IRequestEntry, record: IJournalRecord): void {
    const { board } = this._options;
    if (record.fingerprint !== undefined && record.fingerprint !== request.fingerprint) {
      refuseRequest(board, request.id, {
        code: 'idempotency_conflict',
        message: 'The idempotency key was used before for another request; this one was not run.',
        ran: 'no',
      });
      return;
    }
    if (record.answer) {
      board.requests.update(request.id, { phase: 'billed', answer: { kind: 'stored', ...record.answer } });
      return;
    }
    const isRunning = board.requests.has(record.request ?? '');
    refuseRequest(board, request.id, {
      code: isRunning ? 'already_running' : 'outcome_unknown',
      message: isRunning
        ? 'The first request with this idempotency key is still running.'
        : 'A request with this idempotency key was started before; its answer is not known.',
      ran: record.claim === 'done' ? 'yes' : 'unknown',
      ...(isRunning ? { retryAfterMs: STORE_RETRY_AFTER_MS } : {}),
    });
  }
}

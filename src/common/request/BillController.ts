import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAnswer, IDraft, IRequestEntry } from '../blackboard/Types.js';
import type { IServiceDocument } from '../config/Types.js';
import type { IBill, IJournal, JournalEntry } from '../coordination/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock } from '../Types.js';
import type { EncodeAnswer } from './Types.js';

/** Options of the bill controller. */
export interface IBillOptions {
  board: Blackboard;
  clock: IClock;
  journal: IJournal;
  hashKey: (request: IRequestEntry) => string;
  encodeAnswer: EncodeAnswer;
  readWallClock: () => number;
  /**
   * Keeps a bill that the journal cannot take. Resolves when the bill is safe enough to deliver the answer.
   */
  holdBill: (key: string, entries: readonly JournalEntry[]) => Promise<void>;
}

/** Longest answer, in characters, that is stored for repeats of its request. */
const MAX_STORED_ANSWER_CHARS = 65_536;

/**
 * Moves requests from `answered` to `billed`: makes the bill durable before the last part of the answer is
 * sent to the caller.
 */
export class BillController extends Disposable {
  constructor(private readonly _options: IBillOptions) {
    super();
    this._register(
      _options.board.requests.onChange(({ before, after }) => {
        if (after?.phase === 'answered' && before?.phase !== 'answered' && after.answer) {
          void this._chargeRequest(after, after.answer);
        }
      }),
    );
  }

  private async _chargeRequest(request: IRequestEntry, answer: IAnswer): Promise<void> {
    const { board, hashKey, holdBill, journal } = this._options;
    const key = hashKey(request);
    const entries = this._buildEntries(request, answer, key);
    if (entries.length > 0) {
      const result = await journal.append(key, entries);
      if (result.isErr) await holdBill(key, entries);
    }
    board.requests.update(request.id, { phase: 'billed' });
  }

  private _buildEntries(request: IRequestEntry, answer: IAnswer, key: string): JournalEntry[] {
    const entries: JournalEntry[] = [];
    if (!request.isIdempotent) {
      const stored = this._options.encodeAnswer(request, answer);
      const isStored = stored.body.length <= MAX_STORED_ANSWER_CHARS;
      entries.push({
        kind: 'outcome',
        key,
        request: request.id,
        outcome: 'done',
        answer: isStored ? stored : undefined,
      });
    }
    const bill = this._computeBill(request, answer);
    if (bill) {
      const retention = request.idempotencyKey === undefined ? 'short' : 'long';
      entries.push({ kind: 'bill', key, bill, atMs: this._options.readWallClock(), retention });
    }
    return entries;
  }

  private _computeBill(request: IRequestEntry, answer: IAnswer): IBill | undefined {
    const document = this._options.board.services.get(request.service)?.document;
    const common = { service: request.service, account: request.account, request: request.id };
    if (answer.kind === 'model') {
      const { promptTokens, completionTokens } = answer.usage;
      const drafts = document?.billsDrafts ? request.escalatedFrom : [];
      const cost = [answer, ...drafts].reduce((sum, run) => sum + computeCost(document, run), 0);
      return { ...common, version: answer.version, promptTokens, completionTokens, cost };
    }
    // A response of a plain service with an error status is passed on to the caller but not charged.
    if (answer.kind !== 'plain' || answer.status >= 400 || request.target.kind !== 'plain') return undefined;
    const cost = document?.plainServices[request.target.plainService]?.pricePerCall ?? 0;
    const version = request.target.plainService;
    return { ...common, version, promptTokens: 0, completionTokens: 0, cost };
  }
}

function computeCost(document: IServiceDocument | undefined, run: IDraft): number {
  const price = document?.versions[run.version]?.pricePerThousandTokens ?? 0;
  return ((run.usage.promptTokens + run.usage.completionTokens) * price) / 1000;
}

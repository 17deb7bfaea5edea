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
  /** Holds a bill safely while the journal cannot take it. Resolves when it is safe to answer. */
  holdBill: (key: string, entries: readonly JournalEntry[]) => Promise<void>;
}

/** Longest answer that is kept for repeats, in characters. */
const MAX_STORED_ANSWER = 65_536;

/** Makes the bill durable before the last part of the answer leaves: `answered` to `billed`. */
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
      const isKept = stored.body.length <= MAX_STORED_ANSWER;
      entries.push({
        kind: 'outcome',
        key,
        request: request.id,
        outcome: 'done',
        answer: isKept ? stored : undefined,
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
    // An error status of a plain service is passed on but is no answer that can be charged.
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

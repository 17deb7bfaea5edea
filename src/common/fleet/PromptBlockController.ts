import type { Blackboard } from '../blackboard/Blackboard.js';
import type { ICrashEntry, IPromptBlockEntry, IRefusal, IRequestEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { refuseRequest } from '../request/Refusals.js';
import type { IClock, Millis } from '../Types.js';
import { computeHoldExchangeMs } from './SessionHoldController.js';
import type { FindCrashingParts, IFactStore, IPromptTrial, IStorePosition } from './Types.js';

/** Options of the prompt block controller. */
export interface IPromptBlockOptions {
  board: Blackboard;
  clock: IClock;
  store: Pick<IFactStore, 'writePromptTrial'>;
  findCrashingParts: FindCrashingParts;
  /** Returns the time of day in Unix milliseconds. */
  readWallClock: () => number;
}

/** Delay before the evidence is judged again after a change, so that changes that arrive together count together. */
const UPDATE_DELAY_MS: Millis = 50;

/** Interval at which evidence that does not yet suffice for a block is judged again. */
const RECHECK_DELAY_MS: Millis = 250;

/**
 * Time after the last crash before blocked parts are tried again, and the factor by which it grows with each trial.
 * Each trial of parts that crash endpoints costs one endpoint.
 */
const TRIAL_DELAY_MS: Millis = 30_000;
const TRIAL_DELAY_FACTOR = 10;
const MAX_TRIAL_DELAYS = 3;

interface ITrialRecord {
  trial: IPromptTrial;
  /** Revision of the record in the store; 0 if a restored store lacks it. */
  revision: number;
  /** Era of that revision. */
  era: number;
}

/**
 * Refuses requests whose prompt holds parts that crash endpoints. Every host judges the evidence of all hosts, so
 * all come to the same blocks. From time to time one request of all hosts runs as a trial; an answer to it clears
 * the parts, and the block ends.
 */
export class PromptBlockController extends Disposable {
  private readonly _trialRecords = new Map<string, ITrialRecord>();
  private readonly _claimingTrials = new Set<string>();
  /** Blocks for which this host may run one request. */
  private readonly _grantedTrials = new Set<string>();
  private readonly _requestsOnTrial = new Set<string>();
  /** When an answer last began, by service. */
  private readonly _lastAnswerAt = new Map<string, Millis>();
  private _updateTimer: IDisposable | undefined;

  constructor(private readonly _options: IPromptBlockOptions) {
    super();
    const { board } = _options;
    this._register(
      board.crashes.onChange(() => {
        this._scheduleUpdate(UPDATE_DELAY_MS);
      }),
    );
    this._register(
      board.attempts.onChange(({ before, after }) => {
        if (after?.firstTokenAt === undefined || before?.firstTokenAt !== undefined) return;
        const service = board.requests.get(after.request)?.service;
        if (service !== undefined) this._lastAnswerAt.set(service, after.firstTokenAt);
      }),
    );
    this._register(
      board.facts.onChange(({ before, after }) => {
        const { fact } = after ?? before ?? {};
        if (fact?.kind === 'prompt-trial') this._recordTrial(fact.trial, after);
      }),
    );
    this._register(
      board.requests.onChange(({ key, before, after }) => {
        if (!after) this._requestsOnTrial.delete(key);
        else if (after.phase === 'queued' && before?.phase !== 'queued') this._checkRequest(key);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._updateTimer?.dispose();
  }

  /** Records what the store has of a trial. A restored store may have an earlier one, or none; the count never goes back. */
  private _recordTrial(trial: IPromptTrial, position: IStorePosition | undefined): void {
    const key = formatBlockKey(trial);
    const known = this._trialRecords.get(key)?.trial;
    const storeEra = this._options.board.storeConnection.get('store')?.era ?? 0;
    const { era = storeEra, revision } = position ?? { revision: 0 };
    this._trialRecords.set(key, { trial: known && known.count > trial.count ? known : trial, revision, era });
  }

  private _scheduleUpdate(delayMs: Millis): void {
    if (this._updateTimer || this._isDisposed) return;
    this._updateTimer = this._options.clock.schedule(delayMs, () => {
      this._updateTimer = undefined;
      this._updateBlocks();
    });
  }

  private _updateBlocks(): void {
    const { board, findCrashingParts } = this._options;
    const crashesByService = new Map<string, ICrashEntry[]>();
    for (const crash of board.crashes.list())
      crashesByService.set(crash.service, [...(crashesByService.get(crash.service) ?? []), crash]);
    const blocks = new Map<string, IPromptBlockEntry>();
    for (const [service, crashes] of crashesByService) {
      for (const found of findCrashingParts(crashes.map(selectEvidence))) {
        const block = { service, parts: found.parts, crashes: found.crashes };
        const key = formatBlockKey(block);
        // A block in force stays while its evidence does; only a new one has to wait for the other hosts.
        if (board.promptBlocks.has(key) || this._isEvidenceComplete(block)) blocks.set(key, block);
        else this._scheduleUpdate(RECHECK_DELAY_MS);
      }
    }
    this._replaceBlocks(blocks);
  }

  /**
   * Tells whether the other hosts have had time to clear the parts, and whether answers to other requests have begun
   * since the first crash, here or on the host that cleared another part. Without any answer, nothing tells a sound
   * part from one that crashes endpoints.
   */
  private _isEvidenceComplete({ crashes: ids, service }: IPromptBlockEntry): boolean {
    const { board, clock } = this._options;
    const crashes = ids.map((id) => board.crashes.get(id)).filter((crash) => crash !== undefined);
    const firstSeenAt = Math.min(...crashes.map(({ seenAt }) => seenAt));
    const exchangeMs = computeHoldExchangeMs(board.limits.get('in-force')?.maxApplyDelayMs);
    const hasAnswer =
      (this._lastAnswerAt.get(service) ?? -Infinity) > firstSeenAt ||
      crashes.some(({ clearedParts }) => clearedParts.size > 0);
    return hasAnswer && clock.now() - firstSeenAt >= exchangeMs;
  }

  private _replaceBlocks(blocks: ReadonlyMap<string, IPromptBlockEntry>): void {
    const { board } = this._options;
    for (const [key] of [...board.promptBlocks.listPairs()]) {
      if (blocks.has(key)) continue;
      board.promptBlocks.delete(key);
      this._grantedTrials.delete(key);
    }
    for (const [key, block] of blocks) {
      const known = board.promptBlocks.get(key);
      if (known?.crashes.length !== block.crashes.length) board.promptBlocks.set(key, { ...known, ...block });
      if (!known) for (const id of this._listQueued()) this._checkRequest(id);
    }
  }

  private _listQueued(): string[] {
    return [...this._options.board.requests.list()]
      .filter(({ phase }) => phase === 'queued')
      .map(({ id }) => id);
  }

  /** Refuses a queued request if a block applies to it, unless it may run as a trial. */
  private _checkRequest(id: string): void {
    const { board } = this._options;
    const request = board.requests.get(id);
    if (request?.phase !== 'queued') return;
    const block = this._findBlock(request);
    if (!block) return;
    const key = formatBlockKey(block);
    const isOnTrial = this._requestsOnTrial.has(id) && request.attemptCount === 0;
    if (isOnTrial) return;
    if (request.attemptCount === 0 && this._grantedTrials.delete(key)) {
      this._requestsOnTrial.add(id);
      board.promptBlocks.update(key, { trialRequest: id });
      return;
    }
    refuseRequest(board, id, buildRefusal(request));
    if (this._isTrialDue(block)) void this._claimTrial(block);
  }

  private _findBlock({ service, target }: IRequestEntry): IPromptBlockEntry | undefined {
    const { promptBlocks } = this._options.board;
    if (promptBlocks.size === 0 || target.kind !== 'model') return undefined;
    const shared = target.sharedParts ?? [];
    for (const block of promptBlocks.list()) {
      if (block.service === service && block.parts.every((part) => shared.includes(part))) return block;
    }
    return undefined;
  }

  private _isTrialDue(block: IPromptBlockEntry): boolean {
    const { board, readWallClock } = this._options;
    const { count = 0, startedAt = 0 } = this._trialRecords.get(formatBlockKey(block))?.trial ?? {};
    const crashedAt = block.crashes.map((id) => board.crashes.get(id)?.crashedAt ?? 0);
    const delayMs = TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** Math.min(count, MAX_TRIAL_DELAYS - 1);
    return readWallClock() - Math.max(startedAt, ...crashedAt) >= delayMs;
  }

  /** Claims the next trial of a block. The store grants it to one host. */
  private async _claimTrial({ parts, service }: IPromptBlockEntry): Promise<void> {
    const { board, readWallClock, store } = this._options;
    const key = formatBlockKey({ parts, service });
    if (this._claimingTrials.has(key)) return;
    this._claimingTrials.add(key);
    const known = this._trialRecords.get(key);
    const trial = { service, parts, count: (known?.trial.count ?? 0) + 1, startedAt: readWallClock() };
    const written = await store.writePromptTrial(trial, known?.revision ?? 0, known?.era);
    this._claimingTrials.delete(key);
    if (written.isErr) return;
    this._recordTrial(
      trial,
      known ? { revision: written.value, era: known.era } : { revision: written.value },
    );
    if (board.promptBlocks.has(key)) this._grantedTrials.add(key);
  }
}

function selectEvidence({ clearedParts, crashedAt, id, prompts }: ICrashEntry) {
  const suspectPrompts = prompts
    .map((parts) => parts.filter((part) => !clearedParts.has(part)))
    .filter((parts) => parts.length > 0);
  return { id, crashedAt, prompts: suspectPrompts };
}

function buildRefusal({ ran }: IRequestEntry): IRefusal {
  const message = 'A part of the prompt crashed endpoints, so the request is not run.';
  return { code: 'request_crashes_endpoint', message, ran };
}

function formatBlockKey({ parts, service }: Pick<IPromptBlockEntry, 'parts' | 'service'>): string {
  return `${service}/${parts.join('+')}`;
}

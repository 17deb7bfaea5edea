import type { Blackboard } from '../blackboard/Blackboard.js';
import type { ICrashEntry, IRequestEntry } from '../blackboard/Types.js';
import type { Event } from '../Event.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { IDetectedCrash } from './CrashDetector.js';
import type { ICrashEvidenceReport, ICrashRecord, IFactStore, IPartClearance } from './Types.js';

/** Options of the crash evidence controller. */
export interface ICrashEvidenceOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  host: string;
  store: Pick<IFactStore, 'writeCrashEvidence'>;
  /** Crashes that this host detects. */
  onCrash: Event<IDetectedCrash>;
  /** Returns the time of day in Unix milliseconds. */
  readWallClock: () => number;
}

/** Time for which a crash counts against the parts of prompts that were in flight at it. */
const CRASH_RETENTION_MS: Millis = 3_600_000;

/** Largest number of entries in the `crashes` panel. */
const MAX_CRASHES = 256;

/** Largest number of crashes that a host publishes, and of prompts and parts that it publishes of each. */
const MAX_PUBLISHED_CRASHES = 32;
const MAX_PROMPTS = 16;
const MAX_PARTS = 16;

/** Delay before evidence is published, so that what arrives together is written together. */
const PUBLISH_DELAY_MS: Millis = 100;

/** Delay before a write that failed is repeated. Other hosts need the evidence soon after the store is back. */
const PUBLISH_RETRY_MS: Millis = 500;

/**
 * Collects the evidence on parts of prompts that crash endpoints, from all hosts. A part may have caused a crash if
 * an attempt with it was in flight at the crash without output. It is cleared of the crashes that a host knows when
 * an answer to a request with it begins there.
 */
export class CrashEvidenceController extends Disposable {
  private readonly _ownCrashes = new Map<string, ICrashRecord>();
  /** Parts that this host has cleared, by crash. */
  private readonly _ownClearances = new Map<string, Set<string>>();
  /** Parts that any host has cleared, by crash. A clearance may arrive before its crash. */
  private readonly _clearedByCrash = new Map<string, Set<string>>();
  /** Crashes that a part may have caused, by service and part. */
  private readonly _crashesByPart = new Map<string, Set<string>>();
  private _publishTimer: IDisposable | undefined;
  private _isPublishing = false;

  constructor(private readonly _options: ICrashEvidenceOptions) {
    super();
    const { board, onCrash } = _options;
    this._register(
      onCrash((crash) => {
        this._handleCrash(crash);
      }),
    );
    this._register(
      board.facts.onChange(({ after }) => {
        if (after?.fact.kind === 'crash-evidence') this._applyReport(after.fact.report);
      }),
    );
    this._register(
      board.attempts.onChange(({ before, after }) => {
        if (after?.firstTokenAt === undefined || before?.firstTokenAt !== undefined) return;
        const request = board.requests.get(after.request);
        if (request) this._clearParts(request);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._publishTimer?.dispose();
  }

  private _handleCrash({ attempts, id, service }: IDetectedCrash): void {
    const prompts = attempts
      .filter(({ hasOutput, sharedParts }) => !hasOutput && sharedParts.length > 0)
      .map(({ sharedParts }) => sharedParts.slice(0, MAX_PARTS));
    if (prompts.length === 0) return;
    const record = { id, service, crashedAt: this._options.readWallClock(), prompts };
    const merged = mergeRecords(this._ownCrashes.get(id), record);
    this._ownCrashes.set(id, { ...merged, prompts: merged.prompts.slice(0, MAX_PROMPTS) });
    this._addCrash(record);
    this._schedulePublish(PUBLISH_DELAY_MS);
  }

  private _applyReport({ clearances, crashes, host }: ICrashEvidenceReport): void {
    const isOwnBeforeRestart = host === this._options.host && this._ownCrashes.size === 0;
    for (const { crashes: ids, part } of clearances) for (const id of ids) this._applyClearance(id, part);
    for (const crash of crashes) {
      if (isOwnBeforeRestart) this._ownCrashes.set(crash.id, crash);
      this._addCrash(crash);
    }
  }

  private _addCrash(record: ICrashRecord): void {
    const { board, clock } = this._options;
    const now = clock.now();
    const known = board.crashes.get(record.id);
    const merged = mergeRecords(known, record);
    if (known && merged === known) return;
    if (!known) this._removeOldCrashes(now);
    const clearedParts = new Set(this._clearedByCrash.get(record.id));
    const entry: ICrashEntry = { ...merged, seenAt: known?.seenAt ?? now, clearedParts };
    board.crashes.set(record.id, entry);
    for (const part of listSuspectParts(entry)) {
      const key = formatPartKey(entry.service, part);
      this._crashesByPart.set(key, (this._crashesByPart.get(key) ?? new Set()).add(entry.id));
    }
  }

  private _clearParts({ service, target }: IRequestEntry): void {
    if (target.kind !== 'model' || this._crashesByPart.size === 0) return;
    let hasCleared = false;
    for (const part of target.sharedParts ?? []) {
      for (const id of [...(this._crashesByPart.get(formatPartKey(service, part)) ?? [])]) {
        this._ownClearances.set(id, (this._ownClearances.get(id) ?? new Set()).add(part));
        this._applyClearance(id, part);
        hasCleared = true;
      }
    }
    if (hasCleared) this._schedulePublish(PUBLISH_DELAY_MS);
  }

  private _applyClearance(id: string, part: string): void {
    const { board } = this._options;
    const cleared = this._clearedByCrash.get(id) ?? new Set();
    if (cleared.has(part)) return;
    this._clearedByCrash.set(id, cleared.add(part));
    const entry = board.crashes.get(id);
    if (!entry) return;
    board.crashes.update(id, { clearedParts: new Set(cleared) });
    this._removeFromIndex(entry.service, part, id);
  }

  private _removeFromIndex(service: string, part: string, id: string): void {
    const key = formatPartKey(service, part);
    const ids = this._crashesByPart.get(key);
    ids?.delete(id);
    if (ids?.size === 0) this._crashesByPart.delete(key);
  }

  /** Removes expired crashes and, if the panel is full, the oldest one. */
  private _removeOldCrashes(now: Millis): void {
    const { crashes } = this._options.board;
    for (const entry of [...crashes.list()]) {
      if (now - entry.seenAt <= CRASH_RETENTION_MS && crashes.size < MAX_CRASHES) return;
      crashes.delete(entry.id);
      for (const part of listSuspectParts(entry)) this._removeFromIndex(entry.service, part, entry.id);
      this._clearedByCrash.delete(entry.id);
      this._ownClearances.delete(entry.id);
      this._ownCrashes.delete(entry.id);
    }
  }

  private _schedulePublish(delayMs: Millis): void {
    if (this._publishTimer || this._isPublishing || this._isDisposed) return;
    this._publishTimer = this._options.clock.schedule(delayMs, () => {
      this._publishTimer = undefined;
      void this._publish();
    });
  }

  private async _publish(): Promise<void> {
    const { store } = this._options;
    const report = this._buildReport();
    this._isPublishing = true;
    const written = await store.writeCrashEvidence(report);
    this._isPublishing = false;
    if (written.isErr) this._schedulePublish(PUBLISH_RETRY_MS);
    else if (JSON.stringify(this._buildReport()) !== JSON.stringify(report))
      this._schedulePublish(PUBLISH_DELAY_MS);
  }

  private _buildReport(): ICrashEvidenceReport {
    const idsByPart = new Map<string, string[]>();
    for (const [id, parts] of this._ownClearances) {
      for (const part of parts) idsByPart.set(part, [...(idsByPart.get(part) ?? []), id]);
    }
    const clearances: IPartClearance[] = [...idsByPart].map(([part, crashes]) => ({ part, crashes }));
    const crashes = [...this._ownCrashes.values()].slice(-MAX_PUBLISHED_CRASHES);
    return { host: this._options.host, crashes, clearances };
  }
}

/** Lists the parts that may have caused a crash: those in flight at it that are not cleared. */
function listSuspectParts({ clearedParts, prompts }: ICrashEntry): string[] {
  return [...new Set(prompts.flat())].filter((part) => !clearedParts.has(part));
}

/** Merges two reports of one crash. Returns `known` itself if `added` tells nothing new. */
function mergeRecords<T extends ICrashRecord>(known: T | undefined, added: ICrashRecord): T | ICrashRecord {
  if (!known) return added;
  const knownPrompts = new Set(known.prompts.map((parts) => parts.join()));
  const newPrompts = added.prompts.filter((parts) => !knownPrompts.has(parts.join()));
  if (newPrompts.length === 0 && added.crashedAt >= known.crashedAt) return known;
  return {
    ...known,
    crashedAt: Math.min(known.crashedAt, added.crashedAt),
    prompts: [...known.prompts, ...newPrompts],
  };
}

function formatPartKey(service: string, part: string): string {
  return `${service}/${part}`;
}

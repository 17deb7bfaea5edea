import type { Blackboard } from '../blackboard/Blackboard.js';
import type {
  AttemptErrorKind,
  IAttemptEntry,
  IQualityEntry,
  IRequestEntry,
  IServiceEntry,
} from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { formatPlan } from '../policy/Plans.js';
import type { Millis } from '../Types.js';
import { formatQualityKey, formatRolloutKind, listComparedRollouts, updateQuality } from './Quality.js';

/**
 * Failures that the version may have caused. An endpoint that refuses an attempt or cannot be reached says
 * nothing about the version.
 */
const VERSION_FAULT_KINDS: ReadonlySet<AttemptErrorKind> = new Set([
  'crashed',
  'silent',
  'malformed',
  'timed-out',
]);
/** An attempt is slow when its time per token exceeds this multiple of the stable version's smoothed one. */
const SLOW_FACTOR = 2;
/** Weight of a new sample in the exponentially smoothed time per token. */
const LATENCY_SMOOTHING_FACTOR = 0.05;

/** Counts finished, failed and slow attempts and checked drafts per version in the `quality` panel. */
export class VersionCountsController extends Disposable {
  constructor(private readonly _board: Blackboard) {
    super();
    this._register(
      _board.attempts.onChange(({ before, after }) => {
        if (!after || before?.phase === after.phase) return;
        if (after.phase === 'finished') this._countFinished(after);
        if (after.phase === 'failed' && after.error && VERSION_FAULT_KINDS.has(after.error.kind)) {
          this._countError(this._board.requests.get(after.request), after.version);
        }
      }),
    );
    this._register(
      _board.requests.onChange(({ before, after }) => {
        // When a version hangs, its attempts do not fail: they are cancelled at the deadline of the request.
        // The expired request is therefore counted as an error of the version.
        const isTimedOut = after?.phase === 'refused' && after.refusal?.code === 'deadline_exceeded';
        if (isTimedOut && before?.phase === 'running') this._countError(after, after.version);
      }),
    );
  }

  /**
   * Counts a checked draft in two places: for the choice of plans, in the entry of the plan's steps up to
   * the draft's version, and for the rollouts in whose comparison the attempt counts.
   */
  public recordDraft(request: IRequestEntry, attempt: IAttemptEntry, isAccepted: boolean): void {
    const { kind, service } = request;
    const { version } = attempt;
    if (!request.plan || version === undefined) return;
    const stepIndex = request.plan.steps.indexOf(version);
    const countDraft = (entry: IQualityEntry): Partial<IQualityEntry> =>
      isAccepted
        ? { draftsAccepted: entry.draftsAccepted + 1 }
        : { draftsRejected: entry.draftsRejected + 1 };
    const planPrefix = formatPlan(request.plan.steps.slice(0, stepIndex + 1));
    updateQuality(this._board, { service, kind, version: planPrefix }, countDraft);
    this._updateComparisons(request, version, countDraft);
  }

  private _countFinished(attempt: IAttemptEntry): void {
    const request = this._board.requests.get(attempt.request);
    const { endedAt, plannedAt, version } = attempt;
    if (!request || version === undefined || endedAt === undefined) return;
    const msPerToken = (endedAt - plannedAt) / Math.max(1, attempt.tokens);
    const service = this._board.services.get(request.service);
    for (const rollout of listComparedRollouts(this._board, request, version)) {
      const referenceMsPerToken = this._findReferenceLatency(service, rollout);
      const isSlow = referenceMsPerToken > 0 && msPerToken > SLOW_FACTOR * referenceMsPerToken;
      this._updateComparison(request.service, rollout, version, (entry) => ({
        finished: entry.finished + 1,
        slow: entry.slow + (isSlow ? 1 : 0),
        latencyMs: computeSmoothedLatency(entry, msPerToken),
      }));
    }
  }

  private _countError(request: IRequestEntry | undefined, version: string | undefined): void {
    if (!request || version === undefined) return;
    this._updateComparisons(request, version, (entry) => ({ errors: entry.errors + 1 }));
  }

  private _updateComparisons(
    request: IRequestEntry,
    version: string,
    change: (entry: IQualityEntry) => Partial<IQualityEntry>,
  ): void {
    for (const rollout of listComparedRollouts(this._board, request, version)) {
      this._updateComparison(request.service, rollout, version, change);
    }
  }

  private _updateComparison(
    service: string,
    rollout: string,
    version: string,
    change: (entry: IQualityEntry) => Partial<IQualityEntry>,
  ): void {
    updateQuality(this._board, { service, kind: formatRolloutKind(rollout), version }, change);
  }

  /** Finds the smoothed time per token of the stable version of the same model, in milliseconds; 0 while unknown. */
  private _findReferenceLatency(service: IServiceEntry | undefined, rollout: string): Millis {
    if (!service) return 0;
    const { versions } = service.document;
    const model = versions[rollout]?.model;
    const stable = Object.values(versions).find((spec) => spec.model === model && spec.stage === 'stable');
    if (!stable) return 0;
    const key = formatQualityKey(service.name, formatRolloutKind(rollout), stable.name);
    return this._board.quality.get(key)?.latencyMs ?? 0;
  }
}

function computeSmoothedLatency(entry: IQualityEntry, sample: number): number {
  if (entry.finished === 0) return sample;
  return entry.latencyMs + LATENCY_SMOOTHING_FACTOR * (sample - entry.latencyMs);
}

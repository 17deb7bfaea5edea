import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { classifyLoad, LatencyJudge, type ILatencySample } from './LatencyJudge.js';
import type { IFactStore, IRolloutEntry, ISymptomCounts, LatencySymptom, Symptom } from './Types.js';
import { RateMeter } from './RateMeter.js';
import { copyEvidence, countAnswer, sumCounts } from './SymptomCounts.js';
import { parseVersion } from './Versions.js';

/** Options of the rollout evidence controller. */
export interface IRolloutEvidenceOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host. */
  host: string;
  store: Pick<IFactStore, 'writeRolloutEvidence' | 'writeReleaseBaseline'>;
}

/** Interval at which waiting attempts are judged and reports are sent during a rollout. */
const CHECK_INTERVAL_MS: Millis = 250;

/** Shortest time between two writes of a host's evidence on one rollout. */
const MIN_REPORT_INTERVAL_MS: Millis = 500;

/**
 * A host without new bad answers reports its counts again once they have grown by this factor and this number.
 * Without the good answers of all hosts, the share of bad answers would be overstated.
 */
const REPORT_GROWTH_FACTOR = 1.5;
const REPORT_GROWTH_MARGIN = 4;

/**
 * A host publishes its durations again during a canary stage once their number has grown by this factor and this
 * number.
 */
const BASELINE_GROWTH_FACTOR = 2;
const BASELINE_GROWTH_MARGIN = 4;

/** Number of answers of a route at which its history is halved, so that old answers lose their weight. */
const MAX_HISTORY_ANSWERS = 400;

/** The evidence of this host on one rollout, and what other hosts have of it. */
interface ICollectedEvidence {
  order: number;
  oldCounts: ISymptomCounts[];
  newCounts: ISymptomCounts[];
  reportedBad: number;
  reportedTotal: number;
  reportedAt: Millis;
}

/**
 * Collects evidence on the release of a rollout: answers that fail, begin late or come slowly, by route. Keeps
 * this host's evidence on the `rolloutEvidence` panel and reports it to the other hosts. Durations are judged
 * by those of the old release on all hosts, which exchange them at the start of a rollout, and as soon as
 * they are known: a slow release would be noticed late by the answers that have ended.
 */
export class RolloutEvidenceController extends Disposable {
  private readonly _judge = new LatencyJudge();
  /** Rates of attempts, by service. */
  private readonly _rates = new Map<string, RateMeter>();
  /** Failures of the release in force before a rollout, by service. */
  private readonly _failureHistory = new Map<string, ISymptomCounts[]>();
  /** By service. */
  private readonly _collected = new Map<string, ICollectedEvidence>();
  /** Attempts whose wait was judged before it was over. */
  private readonly _judgedWaits = new Set<string>();
  /** Number of this host's durations when it last published its baseline. */
  private _publishedSampleCount = 0;
  /** Whether baselines of other hosts have arrived that are not applied yet. */
  private _hasNewBaselines = false;
  private _checkTimer: IDisposable | undefined;

  constructor(private readonly _options: IRolloutEvidenceOptions) {
    super();
    const { board } = _options;
    this._register(
      board.attempts.onChange(({ after, before, key }) => {
        if (!after) this._judgedWaits.delete(key);
        else if (before) this._handleProgress(before, after);
      }),
    );
    this._register(
      board.rollouts.onChange(({ after, before }) => {
        if (after && isActive(after) && (before?.stage !== after.stage || before.order !== after.order))
          this._handleStage(after);
      }),
    );
    this._register(
      board.facts.onChange(({ after }) => {
        if (after?.fact.kind === 'release-baseline') this._hasNewBaselines = true;
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._checkTimer?.dispose();
  }

  private _handleStage(rollout: IRolloutEntry): void {
    if (rollout.stage === 'canary') this._publishBaseline(rollout);
    this._scheduleCheck();
  }

  private _publishBaseline({ order, service }: IRolloutEntry): void {
    const { clock, host, store } = this._options;
    this._publishedSampleCount = this._judge.ownSampleCount;
    const entries = this._judge.listOwnEntries(service);
    const attemptsPerS = this._rates.get(service)?.computeRate(clock.now()) ?? 0;
    void store.writeReleaseBaseline({ service, host, order, attemptsPerS, entries });
  }

  private _publishBaselineIfGrown(rollout: IRolloutEntry): void {
    const nextCount = BASELINE_GROWTH_FACTOR * this._publishedSampleCount + BASELINE_GROWTH_MARGIN;
    if (rollout.stage === 'canary' && this._judge.ownSampleCount >= nextCount) this._publishBaseline(rollout);
  }

  private _scheduleCheck(): void {
    const { board, clock } = this._options;
    this._checkTimer ??= clock.schedule(CHECK_INTERVAL_MS, () => {
      this._checkTimer = undefined;
      const rollouts = [...board.rollouts.list()].filter(isActive);
      if (rollouts.length === 0) return;
      if (this._hasNewBaselines) this._applyBaselines();
      this._checkUnfinishedWaits();
      for (const rollout of rollouts) {
        this._publishBaselineIfGrown(rollout);
        void this._reportIfDue(rollout);
      }
      this._scheduleCheck();
    });
  }

  private _applyBaselines(): void {
    const { board, host } = this._options;
    this._hasNewBaselines = false;
    const remoteEntries = [];
    for (const { fact } of board.facts.list()) {
      if (fact.kind !== 'release-baseline' || fact.baseline.host === host) continue;
      const { entries, order, service } = fact.baseline;
      if (board.rollouts.get(service)?.order === order) remoteEntries.push(entries);
    }
    this._judge.applyRemoteEntries(remoteEntries);
  }

  private _handleProgress(before: IAttemptEntry, after: IAttemptEntry): void {
    if (!hasBegunAnswer(before) && hasBegunAnswer(after)) this._classifyWait(after);
    if (before.paceMs === undefined && after.paceMs !== undefined)
      this._classifyDuration(after, 'slow-pace', after.paceMs);
    if (before.phase === after.phase) return;
    if (after.phase === 'sent') this._countSent(after);
    if (after.phase === 'finished' || after.isAnswerDiscarded) this._count(after, 'failure', false);
    // A failure of the connection or the machine allows no conclusion about the release.
    const isFailure = after.error?.kind === 'failed' || after.error?.kind === 'malformed';
    if (after.phase === 'failed' && isFailure) this._count(after, 'failure', true);
  }

  private _countSent({ version }: IAttemptEntry): void {
    const service = parseVersion(version ?? '')?.service;
    if (service === undefined) return;
    const rate = this._rates.get(service) ?? new RateMeter();
    this._rates.set(service, rate);
    rate.countEvent(this._options.clock.now());
  }

  private _classifyWait(attempt: IAttemptEntry): void {
    if (this._judgedWaits.has(attempt.id)) return;
    this._classifyDuration(attempt, 'late-start', this._options.clock.now() - attempt.plannedAt);
  }

  private _checkUnfinishedWaits(): void {
    const { board, clock } = this._options;
    for (const attempt of board.attempts.list()) {
      if (attempt.phase !== 'sent' || hasBegunAnswer(attempt) || this._judgedWaits.has(attempt.id)) continue;
      const sample = this._buildSample(attempt, 'late-start', clock.now() - attempt.plannedAt);
      if (!sample || !this._judge.isUnfinishedTooLong(sample)) continue;
      this._judgedWaits.add(attempt.id);
      this._count(attempt, 'late-start', true);
    }
  }

  private _classifyDuration(attempt: IAttemptEntry, symptom: LatencySymptom, ms: Millis): void {
    const sample = this._buildSample(attempt, symptom, ms);
    if (!sample) return;
    const isTooLong = this._judge.isTooLong(sample);
    if (isTooLong !== undefined) this._count(attempt, symptom, isTooLong);
    if (this._findRolloutOf(attempt)?.isNewRelease !== true) this._judge.addSample(sample);
  }

  /** Describes a duration; `undefined` if the endpoint has just started and is still expected to be slow. */
  private _buildSample(
    { endpoint: id, plannedAt, request, version }: IAttemptEntry,
    symptom: LatencySymptom,
    ms: Millis,
  ): ILatencySample | undefined {
    const { board } = this._options;
    const parts = parseVersion(version ?? '');
    const endpoint = board.endpoints.get(id);
    if (!parts || !endpoint || plannedAt < (endpoint.warmAt ?? -Infinity)) return undefined;
    const route = symptom === 'late-start' ? (board.requests.get(request)?.route ?? '') : '';
    const pool = `${route} ${parts.model ?? ''}`;
    return { symptom, service: parts.service, pool, loadClass: classifyLoad(endpoint), ms };
  }

  private _count(attempt: IAttemptEntry, symptom: Symptom, isBad: boolean): void {
    const { board, host } = this._options;
    const found = this._findRolloutOf(attempt);
    const request = board.requests.get(attempt.request);
    const route = request?.route ?? '';
    if (!found || !isActive(found.rollout)) {
      if (symptom === 'failure' && request) this._countHistory(request.service, route, isBad);
      return;
    }
    const { order, service } = found.rollout;
    const collected = this._getCollected(found.rollout);
    const counts = found.isNewRelease ? collected.newCounts : collected.oldCounts;
    countAnswer(counts, { symptom, route, endpoint: attempt.endpoint, isBad });
    const { newCounts, oldCounts } = collected;
    board.rolloutEvidence.set(service, { service, host, order, newCounts, oldCounts });
  }

  private _countHistory(service: string, route: string, isBad: boolean): void {
    const history = this._failureHistory.get(service) ?? [];
    this._failureHistory.set(service, history);
    const entry = countAnswer(history, { symptom: 'failure', route, endpoint: '', isBad });
    if (entry.good + entry.bad < MAX_HISTORY_ANSWERS) return;
    entry.good /= 2;
    entry.bad /= 2;
  }

  private _findRolloutOf({
    version,
  }: IAttemptEntry): { rollout: IRolloutEntry; isNewRelease: boolean } | undefined {
    const parts = parseVersion(version ?? '');
    const rollout = parts && this._options.board.rollouts.get(parts.service);
    if (!rollout) return undefined;
    return { rollout, isNewRelease: parts.release === rollout.release && rollout.stage !== 'succeeded' };
  }

  private async _reportIfDue(rollout: IRolloutEntry): Promise<void> {
    const { board, clock, store } = this._options;
    const evidence = board.rolloutEvidence.get(rollout.service);
    const collected = this._getCollected(rollout);
    if (evidence?.order !== rollout.order) return;
    if (clock.now() - collected.reportedAt < MIN_REPORT_INTERVAL_MS) return;
    const { bad, total } = sumCounts(collected.newCounts);
    const hasGrown = total >= REPORT_GROWTH_FACTOR * collected.reportedTotal + REPORT_GROWTH_MARGIN;
    if (bad === collected.reportedBad && !hasGrown) return;
    Object.assign(collected, { reportedAt: clock.now(), reportedBad: bad, reportedTotal: total });
    await store.writeRolloutEvidence(copyEvidence(evidence));
  }

  private _getCollected({ order, service }: IRolloutEntry): ICollectedEvidence {
    const known = this._collected.get(service);
    if (known?.order === order) return known;
    const initial: ICollectedEvidence = {
      order,
      oldCounts: (this._failureHistory.get(service) ?? []).map((entry) => ({ ...entry })),
      newCounts: [],
      reportedBad: 0,
      reportedTotal: 0,
      reportedAt: -Infinity,
    };
    this._collected.set(service, initial);
    return initial;
  }
}

function isActive({ stage }: IRolloutEntry): boolean {
  return stage === 'canary' || stage === 'full';
}

/** Tells whether any part of an answer has arrived. An endpoint sends the confidence with its first output. */
function hasBegunAnswer({ confidence, firstTokenAt, phase }: IAttemptEntry): boolean {
  return confidence !== undefined || firstTokenAt !== undefined || phase === 'finished';
}

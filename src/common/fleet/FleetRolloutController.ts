import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { DecideReleaseRollout } from '../policy/ReleaseRollouts.js';
import {
  computeCanaryShare,
  computeMaxExposureShare,
  computeRolloutSchedule,
} from '../policy/RolloutSchedule.js';
import { findWorseSymptom } from '../policy/ReleaseVerdict.js';
import { computeWatchPause } from './FactSyncController.js';
import { isAcceptingWork, listServiceEndpoints } from '../request/Candidates.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import type {
  IFactEntry,
  IFactStore,
  IRolloutEntry,
  IRolloutEvidence,
  IRolloutOrder,
  IRolloutRecord,
  IStorePosition,
  RolloutStage,
} from './Types.js';

/** Options of the fleet rollout controller. */
export interface IFleetRolloutOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  /** Id of this host. */
  host: string;
  store: Pick<IFactStore, 'readRolloutRecord' | 'writeRolloutRecord'>;
  decideRollout: DecideReleaseRollout;
}

/** Interval at which unfinished rollouts are checked. */
const CHECK_INTERVAL_MS: Millis = 250;

/**
 * Longest random delay before a host writes a stage. Other hosts can read the first write and omit their own.
 */
const MAX_WRITE_DELAY_MS: Millis = 250;

/** Time after a restoration of the store within which the operator writes lost orders again. */
const REWRITE_PERIOD_MS: Millis = 10_000;

/** Exposure that is allowed while no limits are in force. */
const DEFAULT_EXPOSURE_SHARE = 0.1;

/**
 * Keeps the `rollouts` panel up to date and advances rollouts to their next stages. Any host may write the
 * next stage. The record is written by compare-and-swap, so that only one write succeeds and no leader is
 * needed.
 */
export class FleetRolloutController extends Disposable {
  /** Services for which the write of a stage is scheduled or in progress. */
  private readonly _pendingWrites = new Set<string>();
  private _checkTimer: IDisposable | undefined;

  constructor(private readonly _options: IFleetRolloutOptions) {
    super();
    const { board } = _options;
    this._register(
      board.facts.onChange(({ after, before }) => {
        if (after) this._handleFact(after);
        else if (before?.fact.kind === 'rollout-order') board.rollouts.delete(before.fact.order.service);
        else if (before?.fact.kind === 'rollout-record')
          this._handleMissingRecord(before.fact.record.service);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._checkTimer?.dispose();
  }

  /** Checks rollouts at intervals until the store has a final stage for each, also after a local rollback. */
  private _scheduleCheck(): void {
    this._checkTimer ??= this._options.clock.schedule(CHECK_INTERVAL_MS, () => {
      this._checkTimer = undefined;
      const unfinished = [...this._options.board.rollouts.list()].filter(isUnfinished);
      for (const rollout of unfinished) this._checkRollout(rollout);
      if (unfinished.length > 0) this._scheduleCheck();
    });
  }

  private _handleFact(entry: IFactEntry): void {
    const { fact } = entry;
    if (fact.kind === 'rollout-order') this._handleOrder(fact.order, entry);
    if (fact.kind === 'rollout-record') this._handleRecord(fact.record, entry);
  }

  private _handleOrder(order: IRolloutOrder, { era = 0, revision }: IStorePosition): void {
    const { board, clock } = this._options;
    const { durationMs, release, service } = order;
    const current = board.rollouts.get(service);
    if (current && isKnownPosition(current, { era, revision })) return;
    if (current && this._isRewrittenOrder(current, order, era)) {
      board.rollouts.update(service, { orderPosition: { era, revision } });
      return;
    }
    const now = clock.now();
    board.rollouts.set(service, {
      service,
      release,
      stage: 'ordered',
      recordedStage: undefined,
      order: revision,
      orderEra: era,
      isSuccessor: current !== undefined,
      recordRevision: current?.recordRevision ?? 0,
      recordEra: current?.recordEra ?? 0,
      canaryShare: 0,
      maxExposureShare: readMaxExposureShare(board),
      durationMs,
      orderSeenAt: now,
      orderedAt: this._estimateOrderTime(),
      stageSeenAt: now,
    });
    this._scheduleCheck();
    // The rollout record may have been read before the order that it belongs to.
    for (const entry of board.facts.list()) {
      if (entry.fact.kind === 'rollout-record' && entry.fact.record.service === service)
        this._handleRecord(entry.fact.record, entry);
    }
  }

  /** Tells whether an order is the current one, which the store has under another revision since it was restored. */
  private _isRewrittenOrder(
    { durationMs, orderEra = 0, orderPosition, release }: IRolloutEntry,
    order: IRolloutOrder,
    era: number,
  ): boolean {
    const { board, clock } = this._options;
    if (order.release !== release || order.durationMs !== durationMs) return false;
    if (era > (orderPosition?.era ?? orderEra)) return true;
    const { restoredAt = -Infinity } = board.storeConnection.get('store') ?? {};
    return era > orderEra && clock.now() - restoredAt < REWRITE_PERIOD_MS;
  }

  private _handleRecord(record: IRolloutRecord, { era = 0, revision }: IStorePosition): void {
    const { board, clock } = this._options;
    const current = board.rollouts.get(record.service);
    if (!current || isOlderRecord(current, { era, revision })) return;
    const { order, orderEra = current.orderEra ?? 0, stage } = record;
    const match = matchOrder(record, current);
    // The record of an order that this host has not read yet must not be replaced.
    if (match === 'other' && orderEra === current.orderEra && order > current.order) return;
    const known = match === 'other' ? undefined : current.stage;
    const isNewStage = match !== 'other' && known !== 'rolled-back' && isTransitionAllowed(known, stage);
    const hasSucceeded = match !== 'other' && stage === 'succeeded';
    board.rollouts.update(record.service, {
      recordRevision: revision,
      recordEra: era,
      recordedStage: match === 'other' ? undefined : stage,
      ...(match === 'other' ? {} : { canaryShare: record.canaryShare }),
      ...(match === 'renumbered' ? { order, orderEra } : {}),
      ...(isNewStage || hasSucceeded ? { stage, stageSeenAt: clock.now() } : {}),
    });
    // The copy of a restored store may have an earlier stage, which is then written again.
    if (match !== 'other' && stage !== board.rollouts.get(record.service)?.stage) this._scheduleCheck();
  }

  /** Prepares to write the record of a rollout again that the store has lost. */
  private _handleMissingRecord(service: string): void {
    const { board } = this._options;
    const recordEra = board.storeConnection.get('store')?.era ?? 0;
    if (board.rollouts.update(service, { recordRevision: 0, recordEra, recordedStage: undefined }))
      this._scheduleCheck();
  }

  private _checkRollout(rollout: IRolloutEntry): void {
    const { board, clock, decideRollout, random } = this._options;
    const { service } = rollout;
    if (this._pendingWrites.has(service)) return;
    const endpoints = listServiceEndpoints(board, service);
    const evidence = this._listEvidence(rollout);
    const oldCounts = evidence.flatMap((entry) => entry.oldCounts);
    const newCounts = evidence.flatMap((entry) => entry.newCounts);
    const newEndpointCount = endpoints.filter(
      (endpoint) => endpoint.release === rollout.release && isAcceptingWork(endpoint),
    ).length;
    const verdict = findWorseSymptom({ newCounts, oldCounts, newEndpointCount });
    const unrecordedStage = findUnrecordedStage(rollout);
    const decidedStage = decideRollout({
      rollout,
      schedule: computeRolloutSchedule(this._applyExposureSlack(rollout)),
      verdict,
      newEndpointCount,
      now: clock.now(),
    });
    const nextStage = unrecordedStage ?? decidedStage;
    if (verdict?.symptom !== rollout.suspicion?.symptom) {
      board.rollouts.update(service, { suspicion: verdict });
    }
    if (nextStage === undefined) return;
    this._pendingWrites.add(service);
    const hostCount = evidence.length;
    const elapsedMs = clock.now() - rollout.orderedAt;
    board.rollouts.update(service, {
      decision: { stage: nextStage, verdict, oldCounts, newCounts, hostCount, elapsedMs },
    });
    const delayMs = nextStage === 'rolled-back' ? 0 : MAX_WRITE_DELAY_MS * random();
    clock.schedule(delayMs, () => void this._writeStage(service, rollout.order, nextStage));
  }

  private async _writeStage(service: string, orderRevision: number, stage: RolloutStage): Promise<void> {
    const { board, store } = this._options;
    const rollout = board.rollouts.get(service);
    if (rollout?.order === orderRevision && isTransitionAllowed(rollout.recordedStage, stage)) {
      // A rollback takes effect on this host before it is recorded. If the write fails, the next check
      // repeats it.
      if (stage === 'rolled-back') board.rollouts.update(service, { stage });
      await this._refreshRecord(service);
      const current = board.rollouts.get(service);
      if (current?.order === orderRevision && isTransitionAllowed(current.recordedStage, stage)) {
        const canaryShare = current.canaryShare > 0 ? current.canaryShare : this._computeCanaryShare(current);
        const { orderEra, recordEra, recordRevision } = current;
        const record = {
          service,
          release: rollout.release,
          stage,
          order: orderRevision,
          orderEra,
          canaryShare,
        };
        const written = await store.writeRolloutRecord(record, recordRevision, recordEra);
        if (written.isOk) this._handleRecord(record, { revision: written.value, era: recordEra ?? 0 });
      }
    }
    this._pendingWrites.delete(service);
  }

  /**
   * Reads the rollout record again, as another host may have written it since the last watch. A read is
   * cheap, while a write ends the watches of all hosts.
   */
  private async _refreshRecord(service: string): Promise<void> {
    const found = await this._options.store.readRolloutRecord(service);
    if (found.isErr) return;
    if (!found.value) this._handleMissingRecord(service);
    else if (found.value.fact.kind === 'rollout-record')
      this._handleRecord(found.value.fact.record, found.value);
  }

  /** Estimates the earliest time at which an order can have been written that this host reads now. */
  private _estimateOrderTime(): Millis {
    const { board, clock } = this._options;
    const now = clock.now();
    const maxLagMs = computeWatchPause(board.limits.get('in-force')?.maxApplyDelayMs);
    return Math.max(now - maxLagMs, board.storeConnection.get('store')?.changesSince ?? now);
  }

  /** Adds the slack to the allowed exposure once hosts have published their rates of requests. */
  private _applyExposureSlack(rollout: IRolloutEntry): IRolloutEntry {
    const { board } = this._options;
    let attemptsPerS = 0;
    for (const { fact } of board.facts.list()) {
      if (fact.kind !== 'release-baseline' || fact.baseline.service !== rollout.service) continue;
      if (fact.baseline.order === rollout.order) attemptsPerS += fact.baseline.attemptsPerS;
    }
    const maxExposureShare = computeMaxExposureShare({
      exposureShare: readMaxExposureShare(board),
      exposureSlack: board.limits.get('in-force')?.exposureSlack ?? 0,
      attemptsPerS,
      durationMs: rollout.durationMs,
    });
    if (maxExposureShare !== rollout.maxExposureShare)
      board.rollouts.update(rollout.service, { maxExposureShare });
    return { ...rollout, maxExposureShare };
  }

  private _computeCanaryShare({ release, service }: IRolloutEntry): number {
    const { board } = this._options;
    const oldEndpoints = listServiceEndpoints(board, service).filter(
      (endpoint) => endpoint.release !== release && isAcceptingWork(endpoint),
    );
    const maxExposureShare = readMaxExposureShare(board);
    return computeCanaryShare({ maxExposureShare, oldEndpointCount: oldEndpoints.length });
  }

  /** Lists the evidence of this host and what the others have reported. */
  private _listEvidence({ order, service }: IRolloutEntry): IRolloutEvidence[] {
    const { board, host } = this._options;
    const own = board.rolloutEvidence.get(service);
    const found: IRolloutEvidence[] = own?.order === order ? [own] : [];
    for (const { fact } of board.facts.list()) {
      if (fact.kind !== 'rollout-evidence') continue;
      const { evidence } = fact;
      if (evidence.service === service && evidence.order === order && evidence.host !== host)
        found.push(evidence);
    }
    return found;
  }
}

function readMaxExposureShare(board: Blackboard): number {
  return board.limits.get('in-force')?.maxExposureShare ?? DEFAULT_EXPOSURE_SHARE;
}

function isUnfinished({ recordedStage }: IRolloutEntry): boolean {
  return recordedStage !== 'succeeded' && recordedStage !== 'rolled-back';
}

const STAGE_ORDER: readonly RolloutStage[] = ['canary', 'full', 'succeeded', 'rolled-back'];

/**
 * Whether a record belongs to an order: it names the `same` revision, the order was `renumbered` because the store was
 * restored, or the record is of an `other` order.
 */
type OrderMatch = 'same' | 'renumbered' | 'other';

function matchOrder(
  record: IRolloutRecord,
  { isSuccessor = false, order, orderEra = 0, release }: IRolloutEntry,
): OrderMatch {
  const recordEra = record.orderEra ?? orderEra;
  if (record.order === order && recordEra === orderEra) return 'same';
  if (isSuccessor && recordEra < orderEra) return 'other';
  return recordEra !== orderEra && record.release === release ? 'renumbered' : 'other';
}

/** Tells whether an order at a position of the store is known, or earlier than the one known. */
function isKnownPosition(
  { order, orderEra = 0, orderPosition }: IRolloutEntry,
  position: IStorePosition,
): boolean {
  const { era = 0, revision } = orderPosition ?? { revision: order, era: orderEra };
  return position.era === era ? position.revision <= revision : (position.era ?? 0) < era;
}

function isOlderRecord(
  { recordEra = 0, recordRevision }: IRolloutEntry,
  { era = 0, revision }: IStorePosition,
): boolean {
  return era === recordEra ? revision < recordRevision : era < recordEra;
}

/** Finds the stage in force on this host if the store has no record of it, or of an earlier stage only. */
function findUnrecordedStage({ recordedStage, stage }: IRolloutEntry): RolloutStage | undefined {
  return stage !== 'ordered' && isTransitionAllowed(recordedStage, stage) ? stage : undefined;
}

/** Tells whether the stage of a rollout may change to another. Final stages may not change. */
function isTransitionAllowed(from: RolloutStage | 'ordered' | undefined, to: RolloutStage): boolean {
  if (from === undefined || from === 'ordered') return true;
  if (from === 'succeeded') return false;
  return STAGE_ORDER.indexOf(from) < STAGE_ORDER.indexOf(to);
}

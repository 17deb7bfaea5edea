import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { DecideRollout } from '../policy/RolloutVerdicts.js';
import { isAcceptingWork, listServiceEndpoints } from '../request/Candidates.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import { AnswerQuality } from './AnswerQuality.js';
import type {
  FleetFact,
  IAnswerCounts,
  IFactStore,
  IRolloutEntry,
  IRolloutEvidence,
  IRolloutOrder,
  IRolloutRecord,
  RolloutStage,
} from './Types.js';
import { parseVersion } from './Versions.js';

/** Options of the rollout controller of a fleet. */
export interface IFleetRolloutOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  /** Id of this host. */
  self: string;
  store: Pick<IFactStore, 'readRecord' | 'writeRecord' | 'writeEvidence'>;
  decideRollout: DecideRollout;
}

/** Interval at which a rollout that is under way is looked at. */
const CHECK_INTERVAL_MS: Millis = 250;

/** Longest random delay of a write that any host may make, so that one makes it and the others see it. */
const WRITE_SPREAD_MS: Millis = 250;

/** Shortest time between two reports of a host about one rollout. */
const EVIDENCE_INTERVAL_MS: Millis = 500;

interface IOwnEvidence {
  order: number;
  oldCounts: IAnswerCounts;
  newCounts: IAnswerCounts;
  reportedBad: number;
  reportedAt: Millis;
}

/**
 * Follows rollouts on the `rollouts` panel and moves them on. Every host may write the next stage; a
 * compare-and-swap on the record lets one write win, so no host has to be elected.
 */
export class FleetRolloutController extends Disposable {
  private readonly _quality = new AnswerQuality();
  private readonly _evidence = new Map<string, IOwnEvidence>();
  private readonly _writing = new Set<string>();
  private _timer: IDisposable | undefined;

  constructor(private readonly _options: IFleetRolloutOptions) {
    super();
    const { board } = _options;
    this._register(
      board.facts.onChange(({ after, before }) => {
        if (after) this._handleFact(after.fact, after.revision);
        else if (before?.fact.kind === 'rollout-order') board.rollouts.delete(before.fact.order.service);
      }),
    );
    this._register(
      board.attempts.onChange(({ before, after }) => {
        if (after && before?.phase !== after.phase) this._observe(after);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  /** Looks at rollouts while one is under way, or a verdict of this host is not recorded. */
  private _schedule(): void {
    this._timer ??= this._options.clock.schedule(CHECK_INTERVAL_MS, () => {
      this._timer = undefined;
      const open = [...this._options.board.rollouts.list()].filter(isOpen);
      for (const rollout of open) this._check(rollout);
      if (open.length > 0) this._schedule();
    });
  }

  private _handleFact(fact: FleetFact, revision: number): void {
    if (fact.kind === 'rollout-order') this._handleOrder(fact.order, revision);
    if (fact.kind === 'rollout-record') this._handleRecord(fact.record, revision);
  }

  private _handleOrder({ durationMs, release, service }: IRolloutOrder, order: number): void {
    const { board, clock } = this._options;
    const known = board.rollouts.get(service);
    if (known && known.order >= order) return;
    const now = clock.now();
    const recordRevision = known?.recordRevision ?? 0;
    board.rollouts.set(service, {
      service,
      release,
      stage: 'ordered',
      recordedStage: undefined,
      order,
      recordRevision,
      durationMs,
      seenAt: now,
      stageSeenAt: now,
    });
    this._schedule();
    // The record may have been read before its order.
    for (const { fact, revision } of board.facts.list()) {
      if (fact.kind === 'rollout-record' && fact.record.service === service)
        this._handleRecord(fact.record, revision);
    }
  }

  private _handleRecord(record: IRolloutRecord, revision: number): void {
    const { board, clock } = this._options;
    const known = board.rollouts.get(record.service);
    if (!known || known.recordRevision > revision) return;
    const isCurrent = record.order === known.order;
    const isNewStage = isCurrent && record.stage !== known.stage && known.stage !== 'rolled-back';
    const isFinal = isCurrent && record.stage === 'succeeded';
    board.rollouts.update(record.service, {
      recordRevision: revision,
      recordedStage: isCurrent ? record.stage : undefined,
      ...(isNewStage || isFinal ? { stage: record.stage, stageSeenAt: clock.now() } : {}),
    });
  }

  private _check(rollout: IRolloutEntry): void {
    const { board, clock, decideRollout, random } = this._options;
    const { service } = rollout;
    if (this._writing.has(service)) return;
    const endpoints = listServiceEndpoints(board, service);
    const own = this._getEvidence(rollout);
    const others = this._listOthers(rollout);
    const isUnrecorded = rollout.stage === 'rolled-back' && rollout.recordedStage !== 'rolled-back';
    const decided = decideRollout({
      rollout,
      oldCounts: sumCounts([own.oldCounts, ...others.map(({ oldCounts }) => oldCounts)]),
      newCounts: sumCounts([own.newCounts, ...others.map(({ newCounts }) => newCounts)]),
      oldInFlight: endpoints
        .filter(({ release }) => release !== rollout.release)
        .reduce((sum, { inFlight }) => sum + inFlight, 0),
      newEndpoints: endpoints.filter(
        (endpoint) => endpoint.release === rollout.release && isAcceptingWork(endpoint),
      ).length,
      now: clock.now(),
    });
    const stage = isUnrecorded ? 'rolled-back' : decided;
    if (stage === undefined) {
      void this._reportEvidence(rollout, own);
      return;
    }
    this._writing.add(service);
    const spreadMs = stage === 'rolled-back' ? 0 : WRITE_SPREAD_MS * random();
    clock.schedule(spreadMs, () => void this._writeStage(service, rollout.order, stage));
  }

  private async _writeStage(service: string, order: number, stage: RolloutStage): Promise<void> {
    const { board, store } = this._options;
    const rollout = board.rollouts.get(service);
    if (rollout?.order === order && isBefore(rollout.recordedStage, stage)) {
      // A rollback holds on this host at once. The next check repeats a write that the store did not take.
      if (stage === 'rolled-back') board.rollouts.update(service, { stage });
      await this._refreshRecord(service);
      const current = board.rollouts.get(service);
      if (current?.order === order && isBefore(current.recordedStage, stage)) {
        const record = { service, release: rollout.release, stage, order };
        const written = await store.writeRecord(record, current.recordRevision);
        if (written.isOk) this._handleRecord(record, written.value);
      }
    }
    this._writing.delete(service);
  }

  /** Reads what another host may have written since the last watch: reads are cheap, and writes wake all. */
  private async _refreshRecord(service: string): Promise<void> {
    const found = await this._options.store.readRecord(service);
    if (found.isOk && found.value?.fact.kind === 'rollout-record') {
      this._handleRecord(found.value.fact.record, found.value.revision);
    }
  }

  private _observe(attempt: IAttemptEntry): void {
    const { board } = this._options;
    if (attempt.phase !== 'finished' && attempt.phase !== 'failed') return;
    const parts = parseVersion(attempt.version ?? '');
    const request = board.requests.get(attempt.request);
    if (!parts || !request) return;
    const rollout = board.rollouts.get(parts.service);
    const isOld = parts.release !== rollout?.release;
    const verdict = this._quality.classify(request, attempt, isOld);
    if (!rollout || verdict === 'none') return;
    const own = this._getEvidence(rollout);
    const counts = isOld ? own.oldCounts : own.newCounts;
    counts[verdict] += 1;
  }

  private async _reportEvidence(rollout: IRolloutEntry, own: IOwnEvidence): Promise<void> {
    const { clock, self, store } = this._options;
    const isUnderWay = rollout.stage === 'canary' || rollout.stage === 'full';
    const isDue = clock.now() - own.reportedAt >= EVIDENCE_INTERVAL_MS;
    if (!isUnderWay || !isDue || own.newCounts.bad === own.reportedBad) return;
    own.reportedAt = clock.now();
    own.reportedBad = own.newCounts.bad;
    const { newCounts, oldCounts, order } = own;
    // A lost report is made up for by the next bad answer.
    await store.writeEvidence({ service: rollout.service, host: self, order, oldCounts, newCounts });
  }

  private _getEvidence({ order, service }: IRolloutEntry): IOwnEvidence {
    const known = this._evidence.get(service);
    if (known?.order === order) return known;
    const created: IOwnEvidence = {
      order,
      oldCounts: { good: 0, bad: 0 },
      newCounts: { good: 0, bad: 0 },
      reportedBad: 0,
      reportedAt: -Infinity,
    };
    this._evidence.set(service, created);
    return created;
  }

  private _listOthers({ order, service }: IRolloutEntry): IRolloutEvidence[] {
    const { board, self } = this._options;
    const others: IRolloutEvidence[] = [];
    for (const { fact } of board.facts.list()) {
      if (fact.kind !== 'rollout-evidence') continue;
      const { evidence } = fact;
      if (evidence.service === service && evidence.order === order && evidence.host !== self)
        others.push(evidence);
    }
    return others;
  }
}

function isOpen({ recordedStage }: IRolloutEntry): boolean {
  return recordedStage !== 'succeeded' && recordedStage !== 'rolled-back';
}

const STAGE_ORDER: readonly RolloutStage[] = ['canary', 'full', 'succeeded', 'rolled-back'];

function isBefore(stage: RolloutStage | undefined, next: RolloutStage): boolean {
  if (stage === undefined) return true;
  if (stage === 'succeeded') return false;
  return STAGE_ORDER.indexOf(stage) < STAGE_ORDER.indexOf(next);
}

function sumCounts(counts: readonly IAnswerCounts[]): IAnswerCounts {
  return {
    good: counts.reduce((sum, { good }) => sum + good, 0),
    bad: counts.reduce((sum, { bad }) => sum + bad, 0),
  };
}

import { Result } from 'true-myth';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import { FleetRolloutController } from '../common/fleet/FleetRolloutController.js';
import { RolloutEvidenceController } from '../common/fleet/RolloutEvidenceController.js';
import type { IFactEntry, IFactStore, IRolloutRecord } from '../common/fleet/Types.js';
import { decideReleaseRollout } from '../common/policy/ReleaseRollouts.js';
import { planAttempt, releaseAttempt } from '../common/request/AttemptPlan.js';
import type { RandomSource } from '../common/Types.js';
import { createTestEndpoint, createTestRequest } from './EntryFixtures.js';
import type { ManualClock } from './ManualClock.js';

/** Fake store of facts that several hosts share. */
export class InMemoryFactStore {
  public readonly acceptedRecords: string[] = [];
  public isDown = false;
  /** Number of writes of baselines. */
  public baselineWriteCount = 0;
  /** Number of writes of rollout records, including rejected ones. */
  public recordWriteCount = 0;
  /** Time after which hosts read a written rollout record. */
  public recordDelayMs = 0;
  private _record: IFactEntry | undefined;
  private _revision = 10;
  private _era = 1;
  private _recordRevision = 0;
  private readonly _boards: Blackboard[] = [];

  constructor(private readonly _clock: ManualClock) {}

  public attachBoard(board: Blackboard): void {
    this._boards.push(board);
  }

  public publishOrder(durationMs: number): void {
    this._revision += 1;
    const fact = { kind: 'rollout-order' as const, order: { service: 'drafts', release: 'v2', durationMs } };
    for (const board of this._boards)
      board.facts.set('order', { key: 'order', revision: this._revision, era: this._era, fact });
  }

  /** Restores the store from a copy with this record; all hosts learn of it at once. */
  public restore(record: IRolloutRecord | undefined): void {
    this._era += 1;
    this._revision -= 1;
    this._recordRevision = record ? this._revision : 0;
    const restoredAt = this._clock.now();
    for (const board of this._boards) {
      const connection = {
        state: 'connected' as const,
        changedAt: 0,
        revision: 1,
        losses: 0,
        changesSince: 0,
      };
      board.storeConnection.set('store', { ...connection, era: this._era, restoredAt });
    }
    if (record) this._publishRecord(record);
    else {
      this._record = undefined;
      for (const board of this._boards) board.facts.delete('record');
    }
  }

  /** Last record that was accepted. */
  public get record(): IRolloutRecord | undefined {
    return this._record?.fact.kind === 'rollout-record' ? this._record.fact.record : undefined;
  }

  public readonly readRolloutRecord: IFactStore['readRolloutRecord'] = () =>
    Promise.resolve(
      this.isDown ? Result.err({ kind: 'unavailable', message: 'down' }) : Result.ok(this._record),
    );

  public readonly writeRolloutRecord: IFactStore['writeRolloutRecord'] = (record, expected, era = 0) => {
    this.recordWriteCount += 1;
    if (era !== this._era && expected !== 0)
      return Promise.resolve(Result.err({ kind: 'conflict', current: undefined }));
    if (this.isDown) return Promise.resolve(Result.err({ kind: 'unavailable', message: 'down' }));
    if (expected !== this._recordRevision)
      return Promise.resolve(Result.err({ kind: 'conflict', current: undefined }));
    this._revision += 1;
    this._recordRevision = this._revision;
    this.acceptedRecords.push(`${Math.round(this._clock.now() / 1000)} s ${record.stage}`);
    this._publishRecord(record);
    return Promise.resolve(Result.ok(this._revision));
  };

  public readonly writeRolloutEvidence: IFactStore['writeRolloutEvidence'] = (evidence) => {
    this._revision += 1;
    const key = `evidence/${evidence.host}`;
    const fact = { kind: 'rollout-evidence' as const, evidence: structuredClone(evidence) };
    for (const board of this._boards) board.facts.set(key, { key, revision: this._revision, fact });
    return Promise.resolve(Result.ok(this._revision));
  };

  public readonly writeReleaseBaseline: IFactStore['writeReleaseBaseline'] = (baseline) => {
    this._revision += 1;
    this.baselineWriteCount += 1;
    const key = `baseline/${baseline.host}`;
    const fact = { kind: 'release-baseline' as const, baseline };
    for (const board of this._boards) board.facts.set(key, { key, revision: this._revision, fact });
    return Promise.resolve(Result.ok(this._revision));
  };

  private _publishRecord(record: IRolloutRecord): void {
    const entry = {
      key: 'record',
      revision: this._revision,
      era: this._era,
      fact: { kind: 'rollout-record' as const, record },
    };
    this._record = entry;
    this._clock.schedule(this.recordDelayMs, () => {
      for (const board of this._boards) board.facts.set('record', entry);
    });
  }
}

/** A host that takes part in rollouts, without the request path. */
export interface IRolloutTestHost {
  board: Blackboard;
  /** Ends one attempt on a release with a good or a failed answer. */
  finishAttempt: (release: string, isGood: boolean) => void;
  /** Sends an attempt to a release and leaves it without an answer. Returns its id. */
  startAttempt: (release: string) => string;
  /** Ends an attempt with a good answer. */
  endAttempt: (id: string) => void;
}

/** Creates a host with one endpoint of each of the releases `v1` and `v2`. */
export function createRolloutTestHost(
  clock: ManualClock,
  factStore: InMemoryFactStore,
  host: string,
  random: RandomSource = () => 0.5,
): IRolloutTestHost {
  const board = new Blackboard();
  factStore.attachBoard(board);
  new RolloutEvidenceController({ board, clock, host, store: factStore });
  new FleetRolloutController({
    board,
    clock,
    random,
    host,
    store: factStore,
    decideRollout: decideReleaseRollout,
  });
  for (const release of ['v1', 'v2']) {
    board.endpoints.set(
      release,
      createTestEndpoint(release, { release, versions: [`drafts/small@${release}`] }),
    );
  }
  let count = 0;
  const startAttempt = (release: string): string => {
    count += 1;
    const id = `${host}-${count}`;
    const request = createTestRequest(id, { version: `drafts/small@${release}` });
    board.requests.set(id, request);
    const expected = { expectedTokens: 1, lengthClass: 'short' as const };
    planAttempt(board, { id, role: 'primary', request, endpoint: release, ...expected, now: clock.now() });
    board.attempts.update(id, { phase: 'sent' });
    return id;
  };
  const endAttempt = (id: string, isGood = true): void => {
    const error = { kind: 'failed' as const, ran: 'yes' as const, message: 'bad' };
    board.attempts.update(
      id,
      isGood ? { phase: 'finished', endedAt: clock.now() } : { phase: 'failed', error },
    );
    releaseAttempt(board, id);
    board.requests.delete(id);
  };
  const finishAttempt = (release: string, isGood: boolean): void => {
    endAttempt(startAttempt(release), isGood);
  };
  return { board, finishAttempt, startAttempt, endAttempt };
}

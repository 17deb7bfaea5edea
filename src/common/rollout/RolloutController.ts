import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IServiceEntry } from '../blackboard/Types.js';
import type { IRolloutState, IVersionSpec } from '../config/Types.js';
import type { SendToPeer } from '../coordination/Peers.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { addOutcomes, createProgress, ROLLOUT_SHARES, type DecideRollout } from '../policy/Rollouts.js';
import type { IClock, Millis } from '../Types.js';
import { listRolloutCounts } from './Quality.js';
import { ReportBook } from './ReportBook.js';
import type {
  IOwnerLease,
  IRolloutProgress,
  IRolloutReport,
  RolloutDecision,
  WriteRolloutState,
} from './Types.js';

/** Options of the rollout controller. */
export interface IRolloutOptions {
  board: Blackboard;
  clock: IClock;
  /** Id of this host in the `hosts` panel. */
  host: string;
  /** Changes when this host restarts. */
  run: string;
  /** Lease on the rollouts of a service. */
  findLease: (service: string) => IOwnerLease | undefined;
  sendToPeer: SendToPeer;
  /** Validates a peer's reply to `rollout.report`. */
  decodeReport: (reply: unknown) => IRolloutReport | undefined;
  decideRollout: DecideRollout;
  writeState: WriteRolloutState;
  /** Reads the progress that an earlier owner kept. */
  readProgress: (service: string, version: string) => Promise<IRolloutProgress | undefined>;
  /** Keeps the progress for the next owner; a failed write is made up for by the next one. */
  writeProgress: (service: string, version: string, progress: IRolloutProgress) => Promise<void>;
  /** Shortest time between two decisions. Default 1000. */
  intervalMs?: Millis;
  /** Time between decisions per live host, which bounds the owner's traffic. Default 100. */
  intervalPerHostMs?: Millis;
  /** Time between two writes of the progress. Default 10,000. */
  saveIntervalMs?: Millis;
}

interface ITrackedRollout {
  progress: IRolloutProgress;
  savedAt: Millis;
  updatedAt: Millis;
}

/**
 * Raises the share of new versions step by step while this host holds the service's lease, and halts a
 * version that the sequential test finds to be worse. All hosts take the state from the `services` panel.
 */
export class RolloutController extends Disposable {
  private readonly _options: Required<IRolloutOptions>;
  private readonly _tracked = new Map<string, ITrackedRollout>();
  private readonly _books = new Map<string, ReportBook>();
  private _timer: IDisposable | undefined;

  constructor(options: IRolloutOptions) {
    super();
    this._options = { intervalMs: 1000, intervalPerHostMs: 100, saveIntervalMs: 10_000, ...options };
  }

  /** Starts to decide at the interval. */
  public start(): void {
    const { board, clock, intervalMs, intervalPerHostMs } = this._options;
    this._timer = clock.schedule(Math.max(intervalMs, intervalPerHostMs * board.hosts.size), () => {
      void this.run().finally(() => {
        if (!this._isDisposed) this.start();
      });
    });
  }

  /** Decides once on every rollout that this host owns. */
  public async run(): Promise<void> {
    for (const service of [...this._options.board.services.list()]) {
      if (this._options.findLease(service.name)?.isHeld()) await this._runService(service);
      else this._drop(service.name);
    }
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  private _drop(service: string): void {
    this._books.delete(service);
    for (const key of [...this._tracked.keys()]) {
      if (key.startsWith(`${service}|`)) this._tracked.delete(key);
    }
  }

  private async _runService(service: IServiceEntry): Promise<void> {
    const versions = Object.values(service.document.versions);
    const rolling = versions.filter((version) => version.stage === 'rolling-out');
    if (rolling.length === 0) return;
    await this._collectReports(service.name);
    for (const version of rolling) await this._runVersion(service, version);
    this._books.get(service.name)?.clear();
  }

  private async _collectReports(service: string): Promise<void> {
    const { board, decodeReport, host, run, sendToPeer } = this._options;
    const book = this._books.get(service) ?? new ReportBook();
    this._books.set(service, book);
    book.add(host, { run, counts: listRolloutCounts(board, service) });
    const peers = [...board.hosts.list()].filter((entry) => entry.id !== host && entry.state !== 'gone');
    await Promise.all(
      peers.map(async ({ id }) => {
        const reply = await sendToPeer(id, 'rollout.report', { service });
        const report = reply.isOk ? decodeReport(reply.value) : undefined;
        // A host that does not answer is read later; its counts only grow.
        if (report) book.add(id, report);
      }),
    );
  }

  private async _runVersion(service: IServiceEntry, version: IVersionSpec): Promise<void> {
    const state = service.rollouts[version.name];
    if (!state || state.attempt < version.rolloutAttempt) {
      await this._startAttempt(service, version, state);
      return;
    }
    if (state.verdict === 'halted') return;
    const tracked = await this._update(service, version, state);
    const { document } = service;
    const decision = this._options.decideRollout({ document, state, progress: tracked.progress });
    await this._apply(service, state, decision, tracked);
  }

  private async _startAttempt(
    service: IServiceEntry,
    version: IVersionSpec,
    state: IRolloutState | undefined,
  ): Promise<void> {
    const share = Math.min(ROLLOUT_SHARES[0] ?? 0, service.document.rolloutMaxShare);
    const attempt = version.rolloutAttempt;
    const reason = `attempt ${attempt} started`;
    await this._writeState(service.name, state, {
      version: version.name,
      verdict: 'ramping',
      share,
      reason,
      attempt,
    });
  }

  /** Adds the outcomes since the last decision to the rollout's progress. */
  private async _update(
    service: IServiceEntry,
    version: IVersionSpec,
    state: IRolloutState,
  ): Promise<ITrackedRollout> {
    const { clock } = this._options;
    const key = `${service.name}|${version.name}`;
    const known = this._tracked.get(key) ?? (await this._restore(service.name, version.name, state));
    const isSameAttempt = known.progress.attempt === state.attempt;
    let progress = isSameAttempt ? known.progress : createProgress(state.attempt, state.share);
    if (progress.share !== state.share) {
      progress = { ...progress, share: state.share, elapsedMs: 0, ratings: 0 };
    }
    const { fresh, stable } = this._sumOutcomes(service, version);
    const now = clock.now();
    // The time since a halt is no time at the first share of the next attempt.
    progress = addOutcomes(progress, fresh, stable, isSameAttempt ? now - known.updatedAt : 0);
    const tracked = { ...known, progress, updatedAt: now };
    this._tracked.set(key, tracked);
    return tracked;
  }

  private async _restore(service: string, version: string, state: IRolloutState): Promise<ITrackedRollout> {
    const now = this._options.clock.now();
    const kept = await this._options.readProgress(service, version);
    return { progress: kept ?? createProgress(state.attempt, state.share), savedAt: now, updatedAt: now };
  }

  private _sumOutcomes(service: IServiceEntry, version: IVersionSpec): ReturnType<ReportBook['sum']> {
    const { versions } = service.document;
    const isStable = (name: string): boolean => versions[name]?.stage === 'stable';
    return (this._books.get(service.name) ?? new ReportBook()).sum(version.name, isStable);
  }

  private async _apply(
    service: IServiceEntry,
    state: IRolloutState,
    decision: RolloutDecision,
    tracked: ITrackedRollout,
  ): Promise<void> {
    if (decision.kind !== 'wait') {
      const next = buildState(state, decision);
      await this._writeState(service.name, state, next);
    }
    await this._save(service.name, state.version, tracked, decision.kind !== 'wait');
  }

  private async _save(
    service: string,
    version: string,
    tracked: ITrackedRollout,
    isUrgent: boolean,
  ): Promise<void> {
    const { clock, findLease, saveIntervalMs, writeProgress } = this._options;
    const now = clock.now();
    if (!isUrgent && now - tracked.savedAt < saveIntervalMs) return;
    if (!findLease(service)?.isHeld()) return;
    this._tracked.set(`${service}|${version}`, { ...tracked, savedAt: now });
    await writeProgress(service, version, tracked.progress);
  }

  private async _writeState(
    service: string,
    expected: IRolloutState | undefined,
    next: Omit<IRolloutState, 'fencingToken'>,
  ): Promise<void> {
    const lease = this._options.findLease(service);
    const fencingToken = lease?.fencingToken();
    if (!lease?.isHeld() || fencingToken === undefined) return;
    await this._options.writeState(service, expected, { ...next, fencingToken });
  }
}

function buildState(
  state: IRolloutState,
  decision: Exclude<RolloutDecision, { kind: 'wait' }>,
): Omit<IRolloutState, 'fencingToken'> {
  const { attempt, version } = state;
  const { reason } = decision;
  switch (decision.kind) {
    case 'halt':
      return { version, attempt, verdict: 'halted', share: 0, reason };
    case 'pass':
      return { version, attempt, verdict: 'passed', share: decision.share, reason };
    case 'advance':
    case 'retreat':
      return { version, attempt, verdict: 'ramping', share: decision.share, reason };
  }
}

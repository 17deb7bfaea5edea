import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IServiceEntry } from '../blackboard/Types.js';
import type { IRolloutState, IVersionSpec } from '../config/Types.js';
import type { SendToPeer } from '../coordination/Peers.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import { addOutcomes, createProgress, ROLLOUT_SHARES, type DecideRollout } from '../policy/Rollouts.js';
import type { IClock, Millis } from '../Types.js';
import { listRolloutCounts } from './Quality.js';
import { ReportAggregator } from './ReportAggregator.js';
import type {
  IServiceLease,
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
  /** Identifies this run of the host's process; changes when the host restarts. */
  hostRunId: string;
  /** Finds the lease on the rollouts of a service. */
  findLease: (service: string) => IServiceLease | undefined;
  sendToPeer: SendToPeer;
  /** Validates a peer's reply to `rollout.report`. */
  decodeReport: (reply: unknown) => IRolloutReport | undefined;
  decideRollout: DecideRollout;
  writeState: WriteRolloutState;
  /** Reads the progress that an earlier owner stored. */
  readProgress: (service: string, version: string) => Promise<IRolloutProgress | undefined>;
  /** Stores the progress for the next owner. A failed write is not retried: the next one replaces it. */
  writeProgress: (service: string, version: string, progress: IRolloutProgress) => Promise<void>;
  /** Minimum time between two rounds of decisions. Default 1000. */
  intervalMs?: Millis;
  /**
   * Minimum time between two rounds of decisions for each host in the `hosts` panel. It bounds the rate at
   * which the owner requests reports. Default 100.
   */
  intervalPerHostMs?: Millis;
  /** Minimum time between two writes of the progress while the state does not change. Default 10,000. */
  saveIntervalMs?: Millis;
}

interface ITrackedRollout {
  progress: IRolloutProgress;
  savedAt: Millis;
  updatedAt: Millis;
}

/**
 * Controls the rollouts of the services whose lease this host holds: raises the share of a new version step
 * by step, and halts a version that the sequential test finds to be worse than the stable one. It writes
 * the states to the configuration index; all hosts read them from the `services` panel.
 */
export class RolloutController extends Disposable {
  private readonly _options: Required<IRolloutOptions>;
  private readonly _trackedRollouts = new Map<string, ITrackedRollout>();
  private readonly _reportAggregators = new Map<string, ReportAggregator>();
  private _timer: IDisposable | undefined;

  constructor(options: IRolloutOptions) {
    super();
    this._options = { intervalMs: 1000, intervalPerHostMs: 100, saveIntervalMs: 10_000, ...options };
  }

  /** Starts the periodic rounds of decisions. */
  public start(): void {
    const { board, clock, intervalMs, intervalPerHostMs } = this._options;
    this._timer = clock.schedule(Math.max(intervalMs, intervalPerHostMs * board.hosts.size), () => {
      void this.run().finally(() => {
        if (!this._isDisposed) this.start();
      });
    });
  }

  /** Decides once on every rollout of the services whose lease this host holds. */
  public async run(): Promise<void> {
    for (const service of [...this._options.board.services.list()]) {
      if (this._options.findLease(service.name)?.isHeld()) await this._runService(service);
      else this._dropService(service.name);
    }
  }

  public override dispose(): void {
    super.dispose();
    this._timer?.dispose();
  }

  private _dropService(service: string): void {
    this._reportAggregators.delete(service);
    for (const key of [...this._trackedRollouts.keys()]) {
      if (key.startsWith(`${service}|`)) this._trackedRollouts.delete(key);
    }
  }

  private async _runService(service: IServiceEntry): Promise<void> {
    const versions = Object.values(service.document.versions);
    const rollingOut = versions.filter((version) => version.stage === 'rolling-out');
    if (rollingOut.length === 0) return;
    await this._collectReports(service.name);
    for (const version of rollingOut) await this._runVersion(service, version);
    this._reportAggregators.get(service.name)?.clear();
  }

  private async _collectReports(service: string): Promise<void> {
    const { board, decodeReport, host, hostRunId, sendToPeer } = this._options;
    const aggregator = this._reportAggregators.get(service) ?? new ReportAggregator();
    this._reportAggregators.set(service, aggregator);
    aggregator.add(host, { run: hostRunId, counts: listRolloutCounts(board, service) });
    const peers = [...board.hosts.list()].filter((entry) => entry.id !== host && entry.state !== 'gone');
    await Promise.all(
      peers.map(async ({ id }) => {
        const reply = await sendToPeer(id, 'rollout.report', { service });
        const report = reply.isOk ? decodeReport(reply.value) : undefined;
        // If a host does not answer, its next report makes up for this one: the counts are cumulative.
        if (report) aggregator.add(id, report);
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
    const tracked = await this._updateProgress(service, version, state);
    const { document } = service;
    const decision = this._options.decideRollout({ document, state, progress: tracked.progress });
    await this._applyDecision(service, state, decision, tracked);
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
  private async _updateProgress(
    service: IServiceEntry,
    version: IVersionSpec,
    state: IRolloutState,
  ): Promise<ITrackedRollout> {
    const { clock } = this._options;
    const key = `${service.name}|${version.name}`;
    const previous =
      this._trackedRollouts.get(key) ?? (await this._restoreProgress(service.name, version.name, state));
    const isSameAttempt = previous.progress.attempt === state.attempt;
    let progress = isSameAttempt ? previous.progress : createProgress(state.attempt, state.share);
    if (progress.share !== state.share) {
      progress = { ...progress, share: state.share, elapsedMs: 0, ratings: 0 };
    }
    const { newVersion, stable } = this._sumOutcomes(service, version);
    const now = clock.now();
    // In a new attempt, the time since the last update belongs to the previous attempt and is not counted.
    progress = addOutcomes(progress, newVersion, stable, isSameAttempt ? now - previous.updatedAt : 0);
    const tracked = { ...previous, progress, updatedAt: now };
    this._trackedRollouts.set(key, tracked);
    return tracked;
  }

  private async _restoreProgress(
    service: string,
    version: string,
    state: IRolloutState,
  ): Promise<ITrackedRollout> {
    const now = this._options.clock.now();
    const saved = await this._options.readProgress(service, version);
    return { progress: saved ?? createProgress(state.attempt, state.share), savedAt: now, updatedAt: now };
  }

  private _sumOutcomes(service: IServiceEntry, version: IVersionSpec): ReturnType<ReportAggregator['sum']> {
    const { versions } = service.document;
    const isStable = (name: string): boolean => versions[name]?.stage === 'stable';
    return (this._reportAggregators.get(service.name) ?? new ReportAggregator()).sum(version.name, isStable);
  }

  private async _applyDecision(
    service: IServiceEntry,
    state: IRolloutState,
    decision: RolloutDecision,
    tracked: ITrackedRollout,
  ): Promise<void> {
    if (decision.kind !== 'wait') {
      const next = buildState(state, decision);
      await this._writeState(service.name, state, next);
    }
    await this._saveProgress(service.name, state.version, tracked, decision.kind !== 'wait');
  }

  private async _saveProgress(
    service: string,
    version: string,
    tracked: ITrackedRollout,
    ignoresInterval: boolean,
  ): Promise<void> {
    const { clock, findLease, saveIntervalMs, writeProgress } = this._options;
    const now = clock.now();
    if (!ignoresInterval && now - tracked.savedAt < saveIntervalMs) return;
    if (!findLease(service)?.isHeld()) return;
    this._trackedRollouts.set(`${service}|${version}`, { ...tracked, savedAt: now });
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

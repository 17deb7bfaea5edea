import type { IRolloutCounts, IRolloutReport, QualityCounts } from './Types.js';

const NO_COUNTS: QualityCounts = {
  good: 0,
  bad: 0,
  errors: 0,
  finished: 0,
  slow: 0,
  draftsAccepted: 0,
  draftsRejected: 0,
};

/**
 * Computes the outcomes within an interval from the cumulative counts that the hosts report. A repeated
 * report adds nothing, and the report after a missed one includes what was missed. The first report of a
 * host is only the base of the next one, because an earlier owner may have added its counts already.
 */
export class ReportAggregator {
  private readonly _lastReports = new Map<string, IRolloutReport>();
  private _deltas: IRolloutCounts[] = [];

  /** Adds what a host has counted since its previous report. After a restart, it counts from zero. */
  public add(host: string, report: IRolloutReport): void {
    const previous = this._lastReports.get(host);
    this._lastReports.set(host, report);
    if (!previous) return;
    const previousCounts = previous.run === report.run ? previous.counts : [];
    for (const counts of report.counts) {
      const before = previousCounts.find(
        (old) => old.rollout === counts.rollout && old.version === counts.version,
      );
      this._deltas.push({ ...counts, ...computeIncrease(counts, before ?? NO_COUNTS) });
    }
  }

  /** Sums the interval's counts of the new version, and of the stable versions that it is compared with. */
  public sum(
    rollout: string,
    isStable: (version: string) => boolean,
  ): { newVersion: QualityCounts; stable: QualityCounts } {
    const counts = this._deltas.filter((entry) => entry.rollout === rollout);
    const newVersion = counts.filter((entry) => entry.version === rollout);
    const stable = counts.filter((entry) => entry.version !== rollout && isStable(entry.version));
    return {
      newVersion: newVersion.reduce(addCounts, NO_COUNTS),
      stable: stable.reduce(addCounts, NO_COUNTS),
    };
  }

  /** Starts the next interval with no counts; the last reports of the hosts remain its base. */
  public clear(): void {
    this._deltas = [];
  }
}

function addCounts(first: QualityCounts, second: QualityCounts): QualityCounts {
  return combineCounts(first, second, (left, right) => left + right);
}

function computeIncrease(current: QualityCounts, previous: QualityCounts): QualityCounts {
  return combineCounts(current, previous, (left, right) => Math.max(0, left - right));
}

function combineCounts(
  first: QualityCounts,
  second: QualityCounts,
  combine: (left: number, right: number) => number,
): QualityCounts {
  return {
    good: combine(first.good, second.good),
    bad: combine(first.bad, second.bad),
    errors: combine(first.errors, second.errors),
    finished: combine(first.finished, second.finished),
    slow: combine(first.slow, second.slow),
    draftsAccepted: combine(first.draftsAccepted, second.draftsAccepted),
    draftsRejected: combine(first.draftsRejected, second.draftsRejected),
  };
}

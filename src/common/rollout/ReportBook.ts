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
 * Turns the hosts' running counts into the counts of one interval. A repeated or skipped report changes
 * nothing. The first report of a host is only a starting point: an earlier owner may have counted it.
 */
export class ReportBook {
  private readonly _last = new Map<string, IRolloutReport>();
  private _fresh: IRolloutCounts[] = [];

  /** Adds a host's report. */
  public add(host: string, report: IRolloutReport): void {
    const last = this._last.get(host);
    this._last.set(host, report);
    if (!last) return;
    const base = last.run === report.run ? last.counts : [];
    for (const counts of report.counts) {
      const before = base.find((old) => old.rollout === counts.rollout && old.version === counts.version);
      this._fresh.push({ ...counts, ...compareCounts(counts, before ?? NO_COUNTS) });
    }
  }

  /** Sums the interval's counts of the new version and of the versions that it is compared with. */
  public sum(
    rollout: string,
    isStable: (version: string) => boolean,
  ): { fresh: QualityCounts; stable: QualityCounts } {
    const counts = this._fresh.filter((entry) => entry.rollout === rollout);
    const fresh = counts.filter((entry) => entry.version === rollout);
    const stable = counts.filter((entry) => entry.version !== rollout && isStable(entry.version));
    return { fresh: fresh.reduce(addCounts, NO_COUNTS), stable: stable.reduce(addCounts, NO_COUNTS) };
  }

  /** Ends the interval. */
  public clear(): void {
    this._fresh = [];
  }
}

function addCounts(first: QualityCounts, second: QualityCounts): QualityCounts {
  return combineCounts(first, second, (left, right) => left + right);
}

function compareCounts(first: QualityCounts, second: QualityCounts): QualityCounts {
  return combineCounts(first, second, (left, right) => Math.max(0, left - right));
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

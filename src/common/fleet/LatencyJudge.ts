import type { IEndpointEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';
import { LatencyBaseline } from './LatencyBaseline.js';
import type { IBaselineEntry, LatencySymptom } from './Types.js';

/** A measured or elapsed duration of an attempt. */
export interface ILatencySample {
  symptom: LatencySymptom;
  service: string;
  /** What the duration depends on besides the load of the endpoint, such as the route and the model. */
  pool: string;
  /** Load of the endpoint, see `classifyLoad`. */
  loadClass: number;
  ms: Millis;
}

/** Share of the answers of the old release whose duration counts as normal. */
const NORMAL_SHARE = 0.9;

/** Highest load class at which an endpoint answers about as quickly as an idle one. */
const LIGHT_LOAD_CLASS = 1;

/** Share of the answers of the old release that were about as quick as those of an idle endpoint. */
const QUICK_SHARE = 0.1;

/**
 * Limits on the durations at a lightly loaded endpoint, as multiples of the quick answers of the old release.
 * While the new release has a small share of the requests, its endpoints have less load than the old ones
 * ever have, and answers several times slower would still seem normal.
 */
const LIGHT_LOAD_FACTORS: Readonly<Record<LatencySymptom, number>> = { 'late-start': 3, 'slow-pace': 2.5 };

/** Highest load class. A class holds the loads up to twice those of the class below it. */
const MAX_LOAD_CLASS = 8;

/** Load class of the samples of all loads together. */
const ANY_LOAD = -1;

/**
 * A wait that is not over yet counts as too long when it exceeds the normal wait, whatever the load, by this
 * factor. The load that the endpoint reports with its answer is not known then.
 */
const UNFINISHED_WAIT_FACTOR = 2;

/** Judges durations of attempts by those of the old release, as this host and others have measured them. */
export class LatencyJudge {
  private readonly _ownBaseline = new LatencyBaseline();
  private _fleetBaseline = new LatencyBaseline();
  private _ownSampleCount = 0;

  /** Adds a duration of the old release. */
  public addSample(sample: ILatencySample): void {
    this._ownSampleCount += 1;
    for (const loadClass of [sample.loadClass, ANY_LOAD]) {
      this._ownBaseline.addSample(formatKey({ ...sample, loadClass }), sample.ms);
      this._fleetBaseline.addSample(formatKey({ ...sample, loadClass }), sample.ms);
    }
  }

  /** Number of samples that this host has added. */
  public get ownSampleCount(): number {
    return this._ownSampleCount;
  }

  /** Lists what this host has measured for a service. */
  public listOwnEntries(service: string): IBaselineEntry[] {
    return this._ownBaseline.listEntries(`${service} `);
  }

  /** Replaces what the other hosts have measured. */
  public applyRemoteEntries(remoteEntries: readonly (readonly IBaselineEntry[])[]): void {
    this._fleetBaseline = new LatencyBaseline();
    this._fleetBaseline.addEntries(this._ownBaseline.listEntries(''));
    for (const entries of remoteEntries) this._fleetBaseline.addEntries(entries);
  }

  /**
   * Tells whether a duration is longer than normal for an endpoint of at least the same load; `undefined`
   * without enough samples.
   */
  public isTooLong(sample: ILatencySample): boolean | undefined {
    if (sample.loadClass <= LIGHT_LOAD_CLASS) {
      const quickMs = this._estimateQuantile({ ...sample, loadClass: ANY_LOAD }, QUICK_SHARE);
      return quickMs === undefined ? undefined : sample.ms > LIGHT_LOAD_FACTORS[sample.symptom] * quickMs;
    }
    for (let { loadClass } = sample; loadClass <= MAX_LOAD_CLASS; loadClass += 1) {
      const limitMs = this._estimateLimit({ ...sample, loadClass });
      if (limitMs !== undefined) return sample.ms > limitMs;
    }
    return undefined;
  }

  /** Tells whether an unfinished wait is already too long under any load that the old release has had. */
  public isUnfinishedTooLong(sample: ILatencySample): boolean {
    const limitMs = this._estimateLimit({ ...sample, loadClass: ANY_LOAD });
    return limitMs !== undefined && sample.ms > UNFINISHED_WAIT_FACTOR * limitMs;
  }

  private _estimateLimit(sample: ILatencySample): Millis | undefined {
    return this._estimateQuantile(sample, NORMAL_SHARE);
  }

  private _estimateQuantile(sample: ILatencySample, share: number): Millis | undefined {
    return this._fleetBaseline.estimateQuantile(formatKey(sample), share);
  }
}

/**
 * Classifies the load of an endpoint by the requests that it runs and holds back.
 * @example
 * classifyLoad({ inFlight: 3, report: undefined }); // 1, as for any load of 2 or 3 requests
 */
export function classifyLoad({ inFlight, report }: Pick<IEndpointEntry, 'inFlight' | 'report'>): number {
  const load = report ? report.running + report.waiting : inFlight;
  return Math.min(MAX_LOAD_CLASS, Math.floor(Math.log2(Math.max(1, load))));
}

function formatKey({ loadClass, pool, service, symptom }: ILatencySample): string {
  return `${service} ${symptom} ${loadClass} ${pool}`;
}

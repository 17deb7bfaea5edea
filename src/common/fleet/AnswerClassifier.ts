import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';

/** What an attempt shows about the release that it ran on; `none` if it allows no conclusion. */
export type AnswerVerdict = 'good' | 'bad' | 'none';

/** An answer is bad if its pace exceeds the mean pace of the old release by more than this factor. */
const SLOW_FACTOR = 4;

/** Answers of the old release that the baseline needs before answers are judged by their pace. */
const MIN_BASELINE_SAMPLES = 8;

/** Weight of a new sample in the moving mean of the pace. */
const NEW_SAMPLE_WEIGHT = 0.1;

/** Usual pace of the old release for one route and one model of a service. */
interface IPaceBaseline {
  sampleCount: number;
  /** Exponential moving mean of the pace, see `measurePace`. */
  meanMs: Millis;
}

/** Judges answers by failures, and by their pace compared with that of the old release. */
export class AnswerClassifier {
  private readonly _baselines = new Map<string, IPaceBaseline>();

  /** Judges an attempt that has ended. Answers of the old release also update the baseline. */
  public classify(request: IRequestEntry, attempt: IAttemptEntry, isOldRelease: boolean): AnswerVerdict {
    if (attempt.phase === 'failed') return classifyFailure(attempt);
    if (attempt.phase !== 'finished') return 'none';
    const paceMs = measurePace(attempt);
    const key = `${request.route ?? ''}/${attempt.version?.replace(/@.*$/, '') ?? ''}`;
    const baseline = this._baselines.get(key);
    if (isOldRelease) this._updateBaseline(key, paceMs);
    const hasBaseline = baseline !== undefined && baseline.sampleCount >= MIN_BASELINE_SAMPLES;
    return hasBaseline && paceMs > SLOW_FACTOR * baseline.meanMs ? 'bad' : 'good';
  }

  private _updateBaseline(key: string, paceMs: Millis): void {
    const baseline = this._baselines.get(key) ?? { sampleCount: 0, meanMs: paceMs };
    const meanMs = baseline.meanMs + NEW_SAMPLE_WEIGHT * (paceMs - baseline.meanMs);
    this._baselines.set(key, { sampleCount: baseline.sampleCount + 1, meanMs });
  }
}

/** A failure of the connection or the machine allows no conclusion about the release. */
function classifyFailure({ error }: IAttemptEntry): AnswerVerdict {
  return error?.kind === 'failed' || error?.kind === 'malformed' ? 'bad' : 'none';
}

/** Measures the time per token of a stream, or the total time of any other answer. */
function measurePace({ endedAt, firstTokenAt, plannedAt, tokens }: IAttemptEntry): Millis {
  const endAt = endedAt ?? plannedAt;
  if (firstTokenAt === undefined || tokens < 2) return endAt - plannedAt;
  return (endAt - firstTokenAt) / (tokens - 1);
}

import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import type { Millis } from '../Types.js';

/** How an attempt speaks of the release that it ran on. `none` says nothing. */
export type AnswerVerdict = 'good' | 'bad' | 'none';

/** Duration relative to the usual of the old release from which an answer counts as bad. */
const SLOW_FACTOR = 4;

/** Answers of the old release that must be known before a duration is judged. */
const MIN_SAMPLES = 8;

/** Weight of the newest sample in the usual duration. */
const SAMPLE_WEIGHT = 0.1;

interface IUsualTime {
  count: number;
  meanMs: Millis;
}

/** Judges answers by failure, and by their pace against the usual of the old release. */
export class AnswerQuality {
  private readonly _usual = new Map<string, IUsualTime>();

  /** Judges an ended attempt. Answers of the old release also set what is usual. */
  public classify(request: IRequestEntry, attempt: IAttemptEntry, isOld: boolean): AnswerVerdict {
    if (attempt.phase === 'failed') return classifyFailure(attempt);
    if (attempt.phase !== 'finished') return 'none';
    const durationMs = measurePace(attempt);
    const key = `${request.route ?? ''}/${attempt.version?.replace(/@.*$/, '') ?? ''}`;
    const usual = this._usual.get(key);
    if (isOld) this._observe(key, durationMs);
    const isKnown = usual !== undefined && usual.count >= MIN_SAMPLES;
    return isKnown && durationMs > SLOW_FACTOR * usual.meanMs ? 'bad' : 'good';
  }

  private _observe(key: string, durationMs: Millis): void {
    const known = this._usual.get(key) ?? { count: 0, meanMs: durationMs };
    const meanMs = known.meanMs + SAMPLE_WEIGHT * (durationMs - known.meanMs);
    this._usual.set(key, { count: known.count + 1, meanMs });
  }
}

/** Failures of the connection or the machine say nothing about the release. */
function classifyFailure({ error }: IAttemptEntry): AnswerVerdict {
  return error?.kind === 'failed' || error?.kind === 'malformed' ? 'bad' : 'none';
}

/** Time per token of a stream; the whole time of other answers. */
function measurePace({ endedAt, firstTokenAt, plannedAt, tokens }: IAttemptEntry): Millis {
  const end = endedAt ?? plannedAt;
  if (firstTokenAt === undefined || tokens < 2) return end - plannedAt;
  return (end - firstTokenAt) / (tokens - 1);
}

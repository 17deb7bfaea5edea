import { Result } from 'true-myth';
import { request as sendRequest, type Dispatcher } from 'undici';
import * as z from 'zod';
import type { ScoreDraft } from '../common/request/EscalationController.js';
import type { FetchRatings, IRatingError, SubmitAnswer } from '../common/rollout/Types.js';
import type { IClock, Millis } from '../common/Types.js';
import { DEFAULT_AGENT } from './HttpAgent.js';
import { readLimitedText } from './LimitedBody.js';
import { limitList } from './LimitedList.js';

/** Options of the client of the rating service. */
export interface IRatingClientOptions {
  address: string;
  /** Name under which this host submits answers and reads the ratings of them. */
  source: string;
  clock: IClock;
  dispatcher?: Dispatcher;
  /** Time after which submitting an answer or reading a page of ratings fails. Default 2000. */
  timeoutMs?: Millis;
  /** Time after a failed check of a draft during which no drafts are to be checked. Default 5000. */
  checkRetryDelayMs?: Millis;
}

/** Client of the rating service. */
export interface IRatingClient {
  submitAnswer: SubmitAnswer;
  fetchRatings: FetchRatings;
  scoreDraft: ScoreDraft;
  /**
   * Tells whether drafts can be checked: a rating service is configured, and no check has failed within the
   * last `checkRetryDelayMs`.
   */
  isCheckAvailable: () => boolean;
}

/** Largest reply that is read, a page of ratings among them. */
const MAX_REPLY_BYTES = 8_388_608;

const PAGE_SCHEMA = z.object({
  next: z.number().int(),
  ratings: limitList(z.object({ request: z.string(), score: z.enum(['good', 'bad']) })),
});
const CHECK_REPLY_SCHEMA = z.object({ score: z.number().min(0).max(1) });

/**
 * Creates the client of the rating service. `POST /ratings` submits an answer, which is rated later.
 * `GET /ratings` with `source` and `after` reads the ratings after a position. `POST /checks` scores a draft
 * and replies with the score.
 */
export function createRatingClient(options: IRatingClientOptions): IRatingClient {
  const { address, clock, source, checkRetryDelayMs = 5000, timeoutMs = 2000 } = options;
  let checksPausedUntil: Millis = -Infinity;
  return {
    submitAnswer: async (submission) => {
      const body = JSON.stringify({ source, ...submission });
      const sent = await sendToRatingService(options, 'POST', '/ratings', body, timeoutMs);
      return sent.map(() => undefined);
    },
    fetchRatings: async (after) => {
      const query = new URLSearchParams({ source, after: String(after) }).toString();
      const reply = await sendToRatingService(options, 'GET', `/ratings?${query}`, null, timeoutMs);
      return reply.andThen((value) => decodeReply(PAGE_SCHEMA, value));
    },
    scoreDraft: async (request, attempt, checkTimeoutMs) => {
      const { id, kind, service } = request;
      const { answer, version } = attempt;
      const body = JSON.stringify({ source, request: id, service, kind, version, answer });
      const reply = await sendToRatingService(options, 'POST', '/checks', body, checkTimeoutMs);
      const score = reply.andThen((value) => decodeReply(CHECK_REPLY_SCHEMA, value));
      if (score.isErr) checksPausedUntil = clock.now() + checkRetryDelayMs;
      return score.isOk ? score.value.score : undefined;
    },
    isCheckAvailable: () => address !== '' && clock.now() >= checksPausedUntil,
  };
}

async function sendToRatingService(
  options: IRatingClientOptions,
  method: 'GET' | 'POST',
  path: string,
  body: string | null,
  timeoutMs: Millis,
): Promise<Result<unknown, IRatingError>> {
  try {
    const reply = await sendRequest(options.address + path, {
      method,
      body,
      headers: { 'content-type': 'application/json' },
      signal: AbortSignal.timeout(timeoutMs),
      dispatcher: options.dispatcher ?? DEFAULT_AGENT,
    });
    const text = await readLimitedText(reply.body, { maxBytes: MAX_REPLY_BYTES });
    if (reply.statusCode < 300) return Result.ok(JSON.parse(text) as unknown);
    return Result.err({ kind: 'unavailable', message: `The rating service replied ${reply.statusCode}.` });
  } catch (error) {
    return Result.err({ kind: 'unavailable', message: String(error) });
  }
}

function decodeReply<T extends z.ZodType>(schema: T, value: unknown): Result<z.output<T>, IRatingError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  return Result.err({ kind: 'malformed', message: parsed.error.message });
}

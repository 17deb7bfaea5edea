import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { readBody, sendJson, startServer } from './HttpTools.js';
import type { IStandIn } from './Types.js';

const SUBMISSION_SCHEMA = z.object({
  source: z.string(),
  request: z.string(),
  service: z.string(),
  kind: z.string(),
  version: z.string(),
});

/** Share of the submitted answers that get a rating. */
const DEFAULT_RATED_SHARE = 0.6;

/** An answer that a host submits to the rating service. */
export type RatedSubmission = z.output<typeof SUBMISSION_SCHEMA>;

/** Options of the rating stand-in. */
export interface IRatingServerOptions {
  port?: number;
  /** Ground truth: whether an answer is good. Hosts see it only through ratings and draft scores. */
  isGood: (submission: RatedSubmission) => boolean;
  /** Random numbers, 0 to 1, that decide which answers are rated and which draft scores are wrong. */
  random: () => number;
  /** Whether a submitted answer gets a rating. Default: 60 % of the answers, at random. */
  isRated?: (submission: RatedSubmission) => boolean;
  /** Time between the submission of an answer and the availability of its rating. Default 2000. */
  delayMs?: number;
  /** Share of draft checks, 0 to 1, that return the wrong score. Default 0.05. */
  checkErrorShare?: number;
}

/** Faults of the rating stand-in. */
export interface IRatingFaults {
  /** Every request gets a 503 response. */
  isDown: boolean;
}

/** A running rating stand-in. */
export interface IRatingStandIn extends IStandIn {
  faults: IRatingFaults;
  /** Submitted answers, those without a rating included. */
  submissions: RatedSubmission[];
}

interface IStoredRating {
  source: string;
  request: string;
  score: 'good' | 'bad';
  readyAt: number;
}

/** Starts a fake rating service. It scores drafts at once, and rates part of the submitted answers after a delay. */
export async function startRatingServer(options: IRatingServerOptions): Promise<IRatingStandIn> {
  const faults: IRatingFaults = { isDown: false };
  const submissions: RatedSubmission[] = [];
  const ratings: IStoredRating[] = [];
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://ratings');
    const body = await readBody(request);
    if (faults.isDown) sendJson(response, 503, { error: { message: 'down' } });
    else if (request.method === 'GET') sendJson(response, 200, listReadyRatings(ratings, url));
    else handleSubmission(options, url, body, response, { submissions, ratings });
  };
  const server = await startServer((request, response) => {
    void handle(request, response);
  }, options.port);
  return { ...server, faults, submissions };
}

function handleSubmission(
  options: IRatingServerOptions,
  url: URL,
  body: Buffer,
  response: ServerResponse,
  records: { submissions: RatedSubmission[]; ratings: IStoredRating[] },
): void {
  const parsed = SUBMISSION_SCHEMA.safeParse(JSON.parse(body.toString()));
  if (!parsed.success) {
    sendJson(response, 400, { error: { message: parsed.error.message } });
    return;
  }
  const { checkErrorShare = 0.05, delayMs = 2000, isGood, random } = options;
  const { isRated = () => random() < DEFAULT_RATED_SHARE } = options;
  const isAnswerGood = isGood(parsed.data);
  if (url.pathname === '/checks') {
    const isCheckCorrect = random() >= checkErrorShare;
    sendJson(response, 200, { score: isAnswerGood === isCheckCorrect ? 0.9 : 0.1 });
    return;
  }
  records.submissions.push(parsed.data);
  const { request, source } = parsed.data;
  const readyAt = performance.now() + delayMs;
  if (isRated(parsed.data))
    records.ratings.push({ source, request, score: isAnswerGood ? 'good' : 'bad', readyAt });
  sendJson(response, 202, {});
}

/**
 * Lists the ratings for one source from the position `after` up to the first rating that is not available yet, so
 * that the position `next` skips no rating.
 */
function listReadyRatings(ratings: readonly IStoredRating[], url: URL): unknown {
  const source = url.searchParams.get('source');
  const startIndex = Number(url.searchParams.get('after') ?? 0);
  const now = performance.now();
  const firstPendingIndex = ratings.findIndex((rating, index) => index >= startIndex && rating.readyAt > now);
  const page = ratings.slice(startIndex, firstPendingIndex < 0 ? undefined : firstPendingIndex);
  const ownRatings = page.filter((rating) => rating.source === source);
  return {
    next: startIndex + page.length,
    ratings: ownRatings.map(({ request, score }) => ({ request, score })),
  };
}

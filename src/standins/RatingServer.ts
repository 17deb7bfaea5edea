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

const RATED_SHARE = 0.6;

/** An answer as the rating service receives it. */
export type RatedSubmission = z.output<typeof SUBMISSION_SCHEMA>;

/** Options of the rating stand-in. */
export interface IRatingServerOptions {
  port?: number;
  /** The hidden truth about an answer. */
  isGood: (submission: RatedSubmission) => boolean;
  random: () => number;
  /** Whether a submitted answer is rated at all. Default: 60 in 100, at random. */
  isRated?: (submission: RatedSubmission) => boolean;
  /** Time until a rating can be read. Default 2000. */
  delayMs?: number;
  /** Share of checked drafts whose score is wrong. Default 0.05. */
  checkErrorShare?: number;
}

/** Faults of the rating stand-in. */
export interface IRatingFaults {
  isDown: boolean;
}

/** A running rating stand-in. */
export interface IRatingStandIn extends IStandIn {
  faults: IRatingFaults;
  /** Answers submitted, whether or not they are rated. */
  submissions: RatedSubmission[];
}

interface IStoredRating {
  source: string;
  request: string;
  score: 'good' | 'bad';
  readyAt: number;
}

/** Starts a small rating service: scores answers from a hidden truth, late and only in part. */
export async function startRatingServer(options: IRatingServerOptions): Promise<IRatingStandIn> {
  const faults: IRatingFaults = { isDown: false };
  const submissions: RatedSubmission[] = [];
  const ratings: IStoredRating[] = [];
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://ratings');
    const body = await readBody(request);
    if (faults.isDown) sendJson(response, 503, { error: { message: 'down' } });
    else if (request.method === 'GET') sendJson(response, 200, listReady(ratings, url));
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
  books: { submissions: RatedSubmission[]; ratings: IStoredRating[] },
): void {
  const parsed = SUBMISSION_SCHEMA.safeParse(JSON.parse(body.toString()));
  if (!parsed.success) {
    sendJson(response, 400, { error: { message: parsed.error.message } });
    return;
  }
  const { checkErrorShare = 0.05, delayMs = 2000, isGood, random } = options;
  const { isRated = () => random() < RATED_SHARE } = options;
  const truth = isGood(parsed.data);
  if (url.pathname === '/checks') {
    const isRight = random() >= checkErrorShare;
    sendJson(response, 200, { score: truth === isRight ? 0.9 : 0.1 });
    return;
  }
  books.submissions.push(parsed.data);
  const { request, source } = parsed.data;
  const readyAt = performance.now() + delayMs;
  if (isRated(parsed.data)) books.ratings.push({ source, request, score: truth ? 'good' : 'bad', readyAt });
  sendJson(response, 202, {});
}

/** Lists ratings by position; the first one that is not ready ends the page. */
function listReady(ratings: readonly IStoredRating[], url: URL): unknown {
  const source = url.searchParams.get('source');
  const after = Number(url.searchParams.get('after') ?? 0);
  const now = performance.now();
  const end = ratings.findIndex((rating, index) => index >= after && rating.readyAt > now);
  const page = ratings.slice(after, end < 0 ? undefined : end);
  const own = page.filter((rating) => rating.source === source);
  return { next: after + page.length, ratings: own.map(({ request, score }) => ({ request, score })) };
}

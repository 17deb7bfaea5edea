import * as z from 'zod';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import { Result } from 'true-myth';
import type { IStorePosition } from '../common/fleet/Types.js';
import type { AskForNews, NewsReply } from '../common/news/Types.js';
import type { Millis } from '../common/Types.js';
import { limitList } from './LimitedList.js';

/** Time beyond the wait of a question after which the host that was asked counts as unreachable. */
const REPLY_MARGIN_MS: Millis = 300;

const MAX_KEY_LENGTH = 200;
/** Longest value in the store, with some room for its encoding. */
const MAX_VALUE_LENGTH = 2_097_152;
const MAX_ENTRIES = 20_000;
const MAX_DURATION_MS = 3_600_000;

const COUNT_SCHEMA = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const DURATION_SCHEMA = z.number().min(0).max(MAX_DURATION_MS);
const KEY_SCHEMA = z.string().min(1).max(MAX_KEY_LENGTH);
const VALUE_SCHEMA = z.string().max(MAX_VALUE_LENGTH);

const QUESTION_SCHEMA = z.object({ era: COUNT_SCHEMA, revision: COUNT_SCHEMA, waitMs: DURATION_SCHEMA });

const AGE_SCHEMA = z.object({
  completeMs: DURATION_SCHEMA,
  madeMs: z.number().min(0),
  availableMs: z.number().min(0).optional(),
});

const REPLY_SCHEMA: z.ZodType<NewsReply> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('changes'),
    era: COUNT_SCHEMA,
    revision: COUNT_SCHEMA,
    changes: limitList(
      z.object({ key: KEY_SCHEMA, revision: COUNT_SCHEMA, encoded: VALUE_SCHEMA.optional() }),
      { maxLength: MAX_ENTRIES },
    ),
    age: AGE_SCHEMA,
  }),
  z.object({
    kind: z.literal('list'),
    era: COUNT_SCHEMA,
    revision: COUNT_SCHEMA,
    facts: limitList(z.object({ key: KEY_SCHEMA, revision: COUNT_SCHEMA, encoded: VALUE_SCHEMA }), {
      maxLength: MAX_ENTRIES,
    }),
    age: AGE_SCHEMA,
  }),
  z.object({ kind: z.literal('unavailable') }),
  z.object({ kind: z.literal('busy') }),
]);

/**
 * Creates the function that asks another host for news of the store. A reply that is not valid is an error.
 * @example
 * const asked = await createAskForNews(client.send)('host-2', { era: 1, revision: 52 }, 800);
 */
export function createAskForNews(send: SendToPeer): AskForNews {
  return async (host, { era = 0, revision }, waitMs) => {
    const sent = await send(host, 'news.ask', { era, revision, waitMs }, waitMs + REPLY_MARGIN_MS);
    if (sent.isErr) return Result.err(sent.error);
    const parsed = REPLY_SCHEMA.safeParse(sent.value);
    if (parsed.success) return Result.ok(parsed.data);
    return Result.err({
      kind: 'rejected',
      message: `The host's reply is not valid: ${parsed.error.issues[0]?.message ?? ''}`,
    });
  };
}

/**
 * Creates the handler of `news.ask`. A question that is not valid is rejected.
 * @example
 * const handlers = createNewsHandlers((position, waitMs) => publisher.handleQuestion(position, waitMs));
 */
export function createNewsHandlers(
  handleQuestion: (position: IStorePosition, waitMs: Millis) => Promise<NewsReply>,
): PeerHandlers {
  return {
    'news.ask': (params) => {
      const { era, revision, waitMs } = QUESTION_SCHEMA.parse(params);
      return handleQuestion({ era, revision }, waitMs);
    },
  };
}

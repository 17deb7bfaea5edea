import { Result } from 'true-myth';
import * as z from 'zod';
import type {
  BillCustodyController,
  IBillToHold,
  SendHold,
  SendRelease,
} from '../common/coordination/BillCustody.js';
import type { PartitionLog } from '../common/coordination/PartitionLog.js';
import type { PeerError, PeerHandler, SendToPeer } from '../common/coordination/Peers.js';
import type { SendAppend, SendLookup } from '../common/coordination/RoutedJournal.js';
import type {
  AppendOutcome,
  IJournalRecord,
  JournalEntry,
  JournalError,
} from '../common/coordination/Types.js';

const ANSWER_SCHEMA = z.object({ status: z.number().int(), contentType: z.string(), body: z.string() });
const RETENTION_SCHEMA = z.enum(['short', 'long']).default('long');
const BILL_SCHEMA = z.object({
  service: z.string(),
  account: z.string(),
  request: z.string(),
  version: z.string(),
  promptTokens: z.number(),
  completionTokens: z.number(),
  cost: z.number(),
});
const KEY = z.string().regex(/^[0-9a-f]{8,64}$/);

/** Journal entries as they travel between hosts. */
export const ENTRY_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('claim'),
    key: KEY,
    request: z.string(),
    atMs: z.number(),
    retention: RETENTION_SCHEMA,
    fingerprint: z.string().optional(),
  }),
  z.object({ kind: z.literal('release'), key: KEY, request: z.string() }),
  z.object({
    kind: z.literal('outcome'),
    key: KEY,
    request: z.string(),
    outcome: z.enum(['done', 'failed']),
    answer: ANSWER_SCHEMA.optional(),
  }),
  z.object({
    kind: z.literal('bill'),
    key: KEY,
    bill: BILL_SCHEMA,
    atMs: z.number(),
    retention: RETENTION_SCHEMA,
  }),
  z.object({ kind: z.literal('pin'), key: KEY, version: z.string(), atMs: z.number() }),
]);

const PARTITION = z.number().int().min(0);
const APPEND_SCHEMA = z.object({ partition: PARTITION, entries: z.array(ENTRY_SCHEMA) });
const LOOKUP_SCHEMA = z.object({ partition: PARTITION, key: KEY });
const RECORD_SCHEMA = z.object({
  key: z.string(),
  claim: z.enum(['unclaimed', 'claimed', 'done', 'failed']),
  request: z.string().optional(),
  answer: ANSWER_SCHEMA.optional(),
  billedRequest: z.string().optional(),
  version: z.string().optional(),
  atMs: z.number(),
  retention: RETENTION_SCHEMA,
  fingerprint: z.string().optional(),
});
const OUTCOME_SCHEMA = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('committed') }),
  z.object({ kind: z.literal('duplicate'), record: RECORD_SCHEMA }),
]);
const FAILURE_SCHEMA = z.object({
  kind: z.literal('error'),
  error: z.object({ kind: z.enum(['not-owner', 'unavailable', 'unknown-outcome']), message: z.string() }),
});
const APPEND_REPLY_SCHEMA = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ok'), outcomes: z.array(OUTCOME_SCHEMA) }),
  FAILURE_SCHEMA,
]);
const LOOKUP_REPLY_SCHEMA = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ok'), record: RECORD_SCHEMA.optional() }),
  FAILURE_SCHEMA,
]);

/** Finds the log of a partition that this host owns. */
export type FindLog = (partition: number) => PartitionLog | undefined;

const NOT_OWNER: JournalError = { kind: 'not-owner', message: 'This host does not own the partition.' };

/** Creates the handler of `journal.append`. */
export function createAppendHandler(findLog: FindLog): PeerHandler {
  return async (params) => {
    const { partition, entries } = APPEND_SCHEMA.parse(params);
    const log = findLog(partition);
    const result = log ? await log.append(entries as JournalEntry[]) : Result.err(NOT_OWNER);
    return result.isOk ? { kind: 'ok', outcomes: result.value } : { kind: 'error', error: result.error };
  };
}

/** Creates the handler of `journal.lookup`. */
export function createLookupHandler(findLog: FindLog): PeerHandler {
  return async (params) => {
    const { partition, key } = LOOKUP_SCHEMA.parse(params);
    const log = findLog(partition);
    const result = log ? await log.readRecord(key) : Result.err(NOT_OWNER);
    return result.isOk ? { kind: 'ok', record: result.value } : { kind: 'error', error: result.error };
  };
}

/** Creates the sender of `journal.append`. */
export function createSendAppend(send: SendToPeer): SendAppend {
  return async (host, partition, entries) => {
    const reply = await send(host, 'journal.append', { partition, entries });
    if (reply.isErr) return Result.err(mapPeerError(reply.error));
    const parsed = APPEND_REPLY_SCHEMA.safeParse(reply.value);
    if (!parsed.success) return Result.err(MALFORMED);
    if (parsed.data.kind === 'error') return Result.err(parsed.data.error);
    return Result.ok(parsed.data.outcomes as AppendOutcome[]);
  };
}

/** Creates the sender of `journal.lookup`. */
export function createSendLookup(send: SendToPeer): SendLookup {
  return async (host, partition, key) => {
    const reply = await send(host, 'journal.lookup', { partition, key });
    if (reply.isErr) return Result.err(mapPeerError(reply.error));
    const parsed = LOOKUP_REPLY_SCHEMA.safeParse(reply.value);
    if (!parsed.success) return Result.err(MALFORMED);
    if (parsed.data.kind === 'error') return Result.err(parsed.data.error);
    return Result.ok(parsed.data.record as IJournalRecord | undefined);
  };
}

const HOLD_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hold'),
    bills: z.array(z.object({ id: z.string(), key: KEY, entries: z.array(ENTRY_SCHEMA) })),
  }),
  z.object({ kind: z.literal('release'), ids: z.array(z.string()) }),
]);
const HELD_SCHEMA = z.object({ held: z.array(z.string()) });

/** Creates the handler of `bill.hold`. */
export function createHoldHandler(custody: BillCustodyController): PeerHandler {
  return (params, from) => {
    const message = HOLD_SCHEMA.parse(params);
    if (message.kind === 'release') {
      custody.dropCopies(message.ids);
      return Promise.resolve({ held: [] });
    }
    return Promise.resolve({ held: custody.acceptCopies(from, message.bills as IBillToHold[]) });
  };
}

/** Creates the sender of copies with `bill.hold`. */
export function createSendHold(send: SendToPeer): SendHold {
  return async (peer, bills) => {
    const reply = await send(peer, 'bill.hold', { kind: 'hold', bills });
    if (reply.isErr) return Result.err(reply.error);
    const parsed = HELD_SCHEMA.safeParse(reply.value);
    if (parsed.success) return Result.ok(parsed.data.held);
    return Result.err({ kind: 'rejected', message: 'The peer sent a malformed reply.' });
  };
}

/** Creates the sender of releases with `bill.hold`. */
export function createSendRelease(send: SendToPeer): SendRelease {
  return (peer, ids) => send(peer, 'bill.hold', { kind: 'release', ids });
}

const MALFORMED: JournalError = { kind: 'unknown-outcome', message: 'The owner sent a malformed reply.' };

function mapPeerError(error: PeerError): JournalError {
  const { message } = error;
  // A host that cannot be reached is treated like one that lost the partition: its successor takes over.
  return { kind: error.kind === 'unknown-outcome' ? 'unknown-outcome' : 'not-owner', message };
}

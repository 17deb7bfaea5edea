import { Result } from 'true-myth';
import * as z from 'zod';
import type {
  HeldBillController,
  IBillToHold,
  SendBillCopies,
  SendCopyRelease,
} from '../common/coordination/HeldBillController.js';
import type { PartitionLog } from '../common/coordination/PartitionLog.js';
import type { PeerError, PeerHandler, SendToPeer } from '../common/coordination/Peers.js';
import type { SendAppend, SendLookup } from '../common/coordination/RoutedJournal.js';
import type {
  AppendOutcome,
  IJournalRecord,
  JournalEntry,
  JournalError,
} from '../common/coordination/Types.js';
import { limitList } from './LimitedList.js';

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
/** Items of one message, as many as its bytes have room for: a batch is limited by its characters. */
const MAX_ITEMS = 200_000;

const KEY_SCHEMA = z.string().regex(/^[0-9a-f]{8,64}$/);

/** Journal entries as they are sent between hosts. */
export const ENTRY_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('claim'),
    key: KEY_SCHEMA,
    request: z.string(),
    atMs: z.number(),
    retention: RETENTION_SCHEMA,
    fingerprint: z.string().optional(),
  }),
  z.object({ kind: z.literal('release'), key: KEY_SCHEMA, request: z.string() }),
  z.object({
    kind: z.literal('outcome'),
    key: KEY_SCHEMA,
    request: z.string(),
    outcome: z.enum(['done', 'failed']),
    answer: ANSWER_SCHEMA.optional(),
  }),
  z.object({
    kind: z.literal('bill'),
    key: KEY_SCHEMA,
    bill: BILL_SCHEMA,
    atMs: z.number(),
    retention: RETENTION_SCHEMA,
  }),
  z.object({ kind: z.literal('pin'), key: KEY_SCHEMA, version: z.string(), atMs: z.number() }),
]);

const PARTITION_SCHEMA = z.number().int().min(0);
const APPEND_PARAMS_SCHEMA = z.object({
  partition: PARTITION_SCHEMA,
  entries: limitList(ENTRY_SCHEMA, { maxLength: MAX_ITEMS }),
});
const LOOKUP_PARAMS_SCHEMA = z.object({ partition: PARTITION_SCHEMA, key: KEY_SCHEMA });
const JOURNAL_RECORD_SCHEMA = z.object({
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
const APPEND_OUTCOME_SCHEMA = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('committed') }),
  z.object({ kind: z.literal('duplicate'), record: JOURNAL_RECORD_SCHEMA }),
]);
const ERROR_REPLY_SCHEMA = z.object({
  kind: z.literal('error'),
  error: z.object({ kind: z.enum(['not-owner', 'unavailable', 'unknown-outcome']), message: z.string() }),
});
const APPEND_REPLY_SCHEMA = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ok'), outcomes: limitList(APPEND_OUTCOME_SCHEMA, { maxLength: MAX_ITEMS }) }),
  ERROR_REPLY_SCHEMA,
]);
const LOOKUP_REPLY_SCHEMA = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ok'), record: JOURNAL_RECORD_SCHEMA.optional() }),
  ERROR_REPLY_SCHEMA,
]);

/** Returns the log of a partition; `undefined` when this host does not own the partition. */
export type FindLog = (partition: number) => PartitionLog | undefined;

const NOT_OWNER_ERROR: JournalError = { kind: 'not-owner', message: 'This host does not own the partition.' };

/** Creates the handler of `journal.append`, which appends entries to a partition that this host owns. */
export function createAppendHandler(findLog: FindLog): PeerHandler {
  return async (params) => {
    const { partition, entries } = APPEND_PARAMS_SCHEMA.parse(params);
    const log = findLog(partition);
    const result = log ? await log.append(entries as JournalEntry[]) : Result.err(NOT_OWNER_ERROR);
    return result.isOk ? { kind: 'ok', outcomes: result.value } : { kind: 'error', error: result.error };
  };
}

/** Creates the handler of `journal.lookup`, which reads a record of a partition that this host owns. */
export function createLookupHandler(findLog: FindLog): PeerHandler {
  return async (params) => {
    const { partition, key } = LOOKUP_PARAMS_SCHEMA.parse(params);
    const log = findLog(partition);
    const result = log ? await log.readRecord(key) : Result.err(NOT_OWNER_ERROR);
    return result.isOk ? { kind: 'ok', record: result.value } : { kind: 'error', error: result.error };
  };
}

/** Creates the function that calls `journal.append` on the owner of a partition. */
export function createSendAppend(send: SendToPeer): SendAppend {
  return async (host, partition, entries) => {
    const reply = await send(host, 'journal.append', { partition, entries });
    if (reply.isErr) return Result.err(mapToJournalError(reply.error));
    const parsed = APPEND_REPLY_SCHEMA.safeParse(reply.value);
    if (!parsed.success) return Result.err(MALFORMED_REPLY_ERROR);
    if (parsed.data.kind === 'error') return Result.err(parsed.data.error);
    return Result.ok(parsed.data.outcomes as AppendOutcome[]);
  };
}

/** Creates the function that calls `journal.lookup` on the owner of a partition. */
export function createSendLookup(send: SendToPeer): SendLookup {
  return async (host, partition, key) => {
    const reply = await send(host, 'journal.lookup', { partition, key });
    if (reply.isErr) return Result.err(mapToJournalError(reply.error));
    const parsed = LOOKUP_REPLY_SCHEMA.safeParse(reply.value);
    if (!parsed.success) return Result.err(MALFORMED_REPLY_ERROR);
    if (parsed.data.kind === 'error') return Result.err(parsed.data.error);
    return Result.ok(parsed.data.record as IJournalRecord | undefined);
  };
}

const HOLD_PARAMS_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hold'),
    bills: limitList(
      z.object({
        id: z.string(),
        key: KEY_SCHEMA,
        entries: limitList(ENTRY_SCHEMA, { maxLength: MAX_ITEMS }),
      }),
      { maxLength: MAX_ITEMS },
    ),
  }),
  z.object({ kind: z.literal('release'), ids: limitList(z.string(), { maxLength: MAX_ITEMS }) }),
]);
const HOLD_REPLY_SCHEMA = z.object({ held: limitList(z.string(), { maxLength: MAX_ITEMS }) });

/** Creates the handler of `bill.hold`, which keeps copies of a peer's bills or deletes released copies. */
export function createBillCopyHandler(heldBills: HeldBillController): PeerHandler {
  return (params, from) => {
    const message = HOLD_PARAMS_SCHEMA.parse(params);
    if (message.kind === 'release') {
      heldBills.dropCopies(message.ids);
      return Promise.resolve({ held: [] });
    }
    return Promise.resolve({ held: heldBills.acceptCopies(from, message.bills as IBillToHold[]) });
  };
}

/** Creates the function that sends copies of bills to a peer with `bill.hold`. */
export function createSendBillCopies(send: SendToPeer): SendBillCopies {
  return async (peer, bills) => {
    const reply = await send(peer, 'bill.hold', { kind: 'hold', bills });
    if (reply.isErr) return Result.err(reply.error);
    const parsed = HOLD_REPLY_SCHEMA.safeParse(reply.value);
    if (parsed.success) return Result.ok(parsed.data.held);
    return Result.err({ kind: 'rejected', message: 'The peer sent a malformed reply.' });
  };
}

/** Creates the function that tells a peer with `bill.hold` to delete its copies of bills. */
export function createSendCopyRelease(send: SendToPeer): SendCopyRelease {
  return (peer, ids) => send(peer, 'bill.hold', { kind: 'release', ids });
}

const MALFORMED_REPLY_ERROR: JournalError = {
  kind: 'unknown-outcome',
  message: 'The owner sent a malformed reply.',
};

function mapToJournalError(error: PeerError): JournalError {
  const { message } = error;
  // A host that cannot be reached or rejects the call is treated as one that has lost the partition, because
  // another host takes the partition over.
  return { kind: error.kind === 'unknown-outcome' ? 'unknown-outcome' : 'not-owner', message };
}

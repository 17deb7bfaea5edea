import { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IClock, Millis } from '../Types.js';
import { assignPartition } from './LocalJournal.js';
import type { PartitionLog } from './PartitionLog.js';
import type { AppendOutcome, IJournal, IJournalRecord, JournalEntry, JournalError } from './Types.js';

/** Appends entries of one key at the owner of a partition. */
export type SendAppend = (
  host: string,
  partition: number,
  entries: readonly JournalEntry[],
) => Promise<Result<readonly AppendOutcome[], JournalError>>;

/** Reads the record of a key at the owner of a partition. */
export type SendLookup = (
  host: string,
  partition: number,
  key: string,
) => Promise<Result<IJournalRecord | undefined, JournalError>>;

/** Options of a routed journal. */
export interface IRoutedJournalOptions {
  board: Blackboard;
  clock: IClock;
  host: string;
  partitions: number;
  /** Finds the log of a partition that this host owns. */
  findLog: (partition: number) => PartitionLog | undefined;
  /**
   * Reads the owner of a partition again and writes it to the `partitions` panel. Resolves with false
   * when the store did not answer.
   */
  refreshOwner: (partition: number) => Promise<boolean>;
  sendAppend: SendAppend;
  sendLookup: SendLookup;
  /** Time limit of an append or a lookup. Default 6000, longer than a takeover of a partition. */
  timeoutMs?: Millis;
  /** Wait before another try. Default 100. */
  retryDelayMs?: Millis;
}

interface ICall<T> {
  partition: number;
  callLocal: (log: PartitionLog) => Promise<Result<T, JournalError>>;
  callOwner: (host: string) => Promise<Result<T, JournalError>>;
}

/**
 * Creates a journal whose partitions are owned by different hosts. A call goes to the local log or to the
 * host that owns the partition, and is retried there or at the next owner until the time limit. A retry
 * after an unknown outcome is safe because every entry names its request: the owner reports a repeated
 * entry as committed.
 */
export function createRoutedJournal(options: IRoutedJournalOptions): IJournal {
  const { partitions, sendAppend, sendLookup } = options;
  return {
    append: (key, entries) => {
      const partition = assignPartition(key, partitions);
      return runCall(options, {
        partition,
        callLocal: (log) => log.append(entries),
        callOwner: (host) => sendAppend(host, partition, entries),
      });
    },
    lookup: (key) => {
      const partition = assignPartition(key, partitions);
      return runCall(options, {
        partition,
        callLocal: (log) => log.readRecord(key),
        callOwner: (host) => sendLookup(host, partition, key),
      });
    },
  };
}

async function runCall<T>(options: IRoutedJournalOptions, call: ICall<T>): Promise<Result<T, JournalError>> {
  const { clock, refreshOwner, retryDelayMs = 100, timeoutMs = 6000 } = options;
  const deadline = clock.now() + timeoutMs;
  let isOutcomeUnknown = false;
  for (;;) {
    const result = await limitTime(clock, deadline, tryCall(options, call));
    if (result.isOk) return result;
    const { error } = result;
    isOutcomeUnknown ||= error.kind === 'unknown-outcome';
    const canRetry = error.kind !== 'unavailable' && clock.now() + retryDelayMs < deadline;
    // Without the store no owner can commit, so the call fails now instead of at its time limit.
    if (!canRetry || !(await refreshOwner(call.partition)))
      return Result.err(combineErrors(error, isOutcomeUnknown));
    await waitFor(clock, retryDelayMs);
  }
}

async function tryCall<T>(options: IRoutedJournalOptions, call: ICall<T>): Promise<Result<T, JournalError>> {
  const { board, findLog, host } = options;
  const log = findLog(call.partition);
  if (log) return call.callLocal(log);
  const owner = board.partitions.get(call.partition)?.owner;
  if (owner !== undefined && owner !== host) return call.callOwner(owner);
  return Result.err({ kind: 'not-owner', message: 'The partition has no known owner.' });
}

/**
 * Chooses the error of the whole call. After a try with an unknown outcome, the outcome of the call is
 * unknown too, whatever the last try returned: its entries may still be committed.
 */
function combineErrors(error: JournalError, isOutcomeUnknown: boolean): JournalError {
  if (isOutcomeUnknown) return { kind: 'unknown-outcome', message: error.message };
  return { kind: 'unavailable', message: error.message };
}

function limitTime<T>(
  clock: IClock,
  deadline: Millis,
  call: Promise<Result<T, JournalError>>,
): Promise<Result<T, JournalError>> {
  return new Promise((resolve) => {
    const timer = clock.schedule(deadline - clock.now(), () => {
      resolve(Result.err({ kind: 'unknown-outcome', message: 'The journal did not answer in time.' }));
    });
    void call.then((result) => {
      timer.dispose();
      resolve(result);
    });
  });
}

function waitFor(clock: IClock, delay: Millis): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(delay, resolve);
  });
}

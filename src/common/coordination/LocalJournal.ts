import { Result } from 'true-myth';
import { roundCost } from './Costs.js';
import type { PartitionLog } from './PartitionLog.js';
import type { IBillTotal, IJournal, JournalError } from './Types.js';

/** Options of a journal whose partitions are all owned by this process. */
export interface ILocalJournalOptions {
  logs: readonly PartitionLog[];
}

/** Creates a journal whose keys are distributed over partitions that this process owns. */
export function createLocalJournal(options: ILocalJournalOptions): IJournal {
  const { logs } = options;
  const notOwner: JournalError = { kind: 'not-owner', message: 'There is no partition.' };
  return {
    append: async (key, entries) => {
      const log = logs[assignPartition(key, logs.length)];
      return log ? log.append(entries) : Result.err(notOwner);
    },
    lookup: async (key) => {
      const log = logs[assignPartition(key, logs.length)];
      return log ? log.readRecord(key) : Result.err(notOwner);
    },
  };
}

/** Maps a hexadecimal key to its partition. */
export function assignPartition(key: string, partitionCount: number): number {
  return Number.parseInt(key.slice(0, 8), 16) % partitionCount;
}

/** Adds up the totals of several partitions by service and client account. */
export function combineTotals(totals: Iterable<IBillTotal>): IBillTotal[] {
  const combined = new Map<string, IBillTotal>();
  for (const total of totals) {
    const key = `${total.service}/${total.account}`;
    const sum = combined.get(key);
    combined.set(key, {
      service: total.service,
      account: total.account,
      count: (sum?.count ?? 0) + total.count,
      promptTokens: (sum?.promptTokens ?? 0) + total.promptTokens,
      completionTokens: (sum?.completionTokens ?? 0) + total.completionTokens,
      cost: roundCost((sum?.cost ?? 0) + total.cost),
    });
  }
  return [...combined.values()];
}

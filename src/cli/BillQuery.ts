import { Result } from 'true-myth';
import { createHttpStore } from '../adapters/HttpStore.js';
import { createUniqueId } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import { exportBills, type IBillList } from '../common/coordination/BillExport.js';
import { formatHeadKey } from '../common/coordination/PartitionStorage.js';
import { buildFailureResult, type ICommandResult } from './CommandResult.js';

/** Selects the bills that a command reads. */
export interface IBillQuery {
  /** Base address of the key-value store. */
  store: string;
  /** Number of journal partitions. */
  partitions: number;
  /** Number of the first bill to read from each partition; 0 for partitions beyond the list. */
  positions: readonly number[];
}

/** `--partitions` option. */
export const PARTITIONS_OPTION = {
  type: 'number',
  default: 8,
  describe:
    'Number of journal partitions; the same as `partitions` in section [journal] of the host settings',
} as const;

/** Checks `--partitions` for yargs. Throws an error that states the allowed range. */
export function checkPartitions({ partitions }: { partitions: number }): true {
  if (Number.isInteger(partitions) && partitions >= 1 && partitions <= 64) return true;
  throw new Error(`--partitions ${partitions}: must be a whole number from 1 to 64`);
}

/**
 * Reads bills from the store. Fails if the journal has more partitions than the query states. The error is
 * the result that the command prints.
 */
export async function fetchBills(query: IBillQuery): Promise<Result<IBillList, ICommandResult>> {
  const { partitions, positions } = query;
  const store = createHttpStore({ address: query.store });
  // Partitions are numbered from 0, so a head with this number belongs to a partition that the query leaves
  // out. Its bills would be missing from the output without a warning.
  const nextHead = await store.get(formatHeadKey(partitions));
  if (nextHead.isOk && nextHead.value) {
    const message = `--partitions ${partitions}: the journal has more partitions; use the number of the settings`;
    return Result.err(buildFailureResult('wrong-arguments', [message]));
  }
  const options = { store, partitions, clock: systemClock, createId: createUniqueId, maxTries: 10 };
  const list = await exportBills(options, positions);
  return list.mapErr(({ kind, message }) =>
    buildFailureResult(kind === 'unavailable' ? 'store-unavailable' : 'failure', [message]),
  );
}

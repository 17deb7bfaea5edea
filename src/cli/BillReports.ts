import { Result } from 'true-myth';
import { createHttpStore } from '../adapters/HttpStore.js';
import { createUniqueId } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import { exportBills, type IBillList } from '../common/coordination/BillExport.js';
import { formatHeadKey } from '../common/coordination/PartitionStorage.js';
import { describeFailure, type ICommandResult } from './CommandResult.js';

/** Which bills a command reads. */
export interface IBillQuery {
  store: string;
  partitions: number;
  positions: readonly number[];
}

/** Option with the number of journal partitions. */
export const PARTITIONS_OPTION = {
  type: 'number',
  default: 8,
  describe: 'Number of journal partitions, as [journal] partitions in the settings',
} as const;

/** Checks the number of partitions for yargs; throws with what is allowed. */
export function checkPartitions({ partitions }: { partitions: number }): true {
  if (Number.isInteger(partitions) && partitions >= 1 && partitions <= 64) return true;
  throw new Error(`--partitions ${partitions}: must be a whole number from 1 to 64`);
}

/** Reads bills from the store; refuses when the journal has more partitions than were asked for. */
export async function fetchBills(query: IBillQuery): Promise<Result<IBillList, ICommandResult>> {
  const { partitions, positions } = query;
  const store = createHttpStore({ address: query.store });
  // Too small a number would leave out bills without a sign of it.
  const next = await store.get(formatHeadKey(partitions));
  if (next.isOk && next.value) {
    const message = `--partitions ${partitions}: the journal has more partitions; use the number of the settings`;
    return Result.err(describeFailure('wrong-arguments', [message]));
  }
  const options = { store, partitions, clock: systemClock, createId: createUniqueId, maxTries: 10 };
  const list = await exportBills(options, positions);
  return list.mapErr(({ kind, message }) =>
    describeFailure(kind === 'unavailable' ? 'store-unavailable' : 'failure', [message]),
  );
}

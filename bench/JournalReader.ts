import { createHttpStore } from '../src/adapters/HttpStore.js';
import { createUniqueId } from '../src/adapters/Random.js';
import { systemClock } from '../src/adapters/SystemClock.js';
import { PartitionStorage } from '../src/common/coordination/PartitionStorage.js';
import type { IJournalRecord } from '../src/common/coordination/Types.js';
import { hashFingerprint, hashRequestKey } from '../src/daemons/RequestKeys.js';
import { encodeCallBody, getCallPath } from '../src/load/LoadCall.js';
import type { ILoadTarget, IPlannedRequest } from '../src/load/Types.js';
import { BENCH_SERVICE } from './Documents.js';

/** Contents of all partitions of the journal. */
export interface IJournalContent {
  records: ReadonlyMap<string, IJournalRecord>;
  /** Number of bills, added up from the totals of the client accounts. */
  bills: number;
}

const PARTITIONS = 8;

/** Reads all partitions of the journal from the store without becoming the owner of any. */
export async function readJournal(storeAddress: string): Promise<IJournalContent> {
  const store = createHttpStore({ address: storeAddress });
  const records = new Map<string, IJournalRecord>();
  let bills = 0;
  for (let partition = 0; partition < PARTITIONS; partition += 1) {
    const storage = new PartitionStorage({
      partition,
      host: 'bench',
      store,
      clock: systemClock,
      createId: createUniqueId,
    });
    const state = await storage.load();
    if (state.isErr) throw new Error(`Reading journal partition ${partition} failed: ${state.error.message}`);
    for (const [key, record] of state.value.records) records.set(key, record);
    for (const total of state.value.totals.values()) bills += total.count;
  }
  return { records, bills };
}

/** Computes the key under which the journal records a request of the load. */
export function hashPlannedRequest(target: ILoadTarget, request: IPlannedRequest): string {
  const account = `account-${request.account}`;
  const path = getCallPath(target, request);
  return hashRequestKey({
    id: '',
    service: BENCH_SERVICE,
    account,
    idempotencyKey: request.idempotencyKey,
    isIdempotent: request.kind !== 'plain',
    fingerprint: hashFingerprint(account, 'POST', path, encodeCallBody(target, request)),
  });
}

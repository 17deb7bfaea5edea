import * as z from 'zod';
import type { IStore } from '../common/coordination/Types.js';
import type { IRolloutProgress, IRolloutReport } from '../common/rollout/Types.js';
import { limitList } from './LimitedList.js';

const COUNTS_SCHEMA = z.object({ bad: z.number(), total: z.number() });
const EVIDENCE_SCHEMA = z.object({
  batches: z.number().int(),
  logWealth: limitList(z.number()),
  stable: COUNTS_SCHEMA,
});
const PROGRESS_SCHEMA = z.object({
  attempt: z.number().int(),
  share: z.number(),
  elapsedMs: z.number(),
  ratings: z.number(),
  evidence: z.object({
    ratings: EVIDENCE_SCHEMA,
    drafts: EVIDENCE_SCHEMA,
    errors: EVIDENCE_SCHEMA,
    latency: EVIDENCE_SCHEMA,
  }),
});
const RECORD_SCHEMA = z.object({ fencingToken: z.number().int(), progress: PROGRESS_SCHEMA });

const COUNT_SCHEMA = z.number().min(0);
const REPORT_SCHEMA = z.object({
  run: z.string(),
  counts: limitList(
    z.object({
      rollout: z.string(),
      version: z.string(),
      good: COUNT_SCHEMA,
      bad: COUNT_SCHEMA,
      errors: COUNT_SCHEMA,
      finished: COUNT_SCHEMA,
      slow: COUNT_SCHEMA,
      draftsAccepted: COUNT_SCHEMA,
      draftsRejected: COUNT_SCHEMA,
    }),
  ),
});

/**
 * Returns the store key of a rollout's progress. The progress is not part of the configuration index, because
 * each write to the index is distributed to all hosts.
 */
export function formatProgressKey(service: string, version: string): string {
  return `rollout/${service}/${version}`;
}

/** Decodes a host's reply to `rollout.report`; returns `undefined` when it is malformed. */
export function decodeRolloutReport(reply: unknown): IRolloutReport | undefined {
  const parsed = REPORT_SCHEMA.safeParse(reply);
  return parsed.success ? parsed.data : undefined;
}

/** Reads the stored progress of a rollout; `undefined` when there is none or the store cannot be read. */
export async function readRolloutProgress(
  store: IStore,
  service: string,
  version: string,
): Promise<IRolloutProgress | undefined> {
  const found = await store.get(formatProgressKey(service, version));
  if (found.isErr || !found.value) return undefined;
  return decodeProgressRecord(found.value.value)?.progress;
}

/** Writes the progress of a rollout, unless an owner with a higher fencing token has written it before. */
export async function writeRolloutProgress(
  store: IStore,
  service: string,
  version: string,
  record: { fencingToken: number; progress: IRolloutProgress },
): Promise<void> {
  const key = formatProgressKey(service, version);
  const found = await store.get(key);
  if (found.isErr) return;
  const current = found.value ? decodeProgressRecord(found.value.value) : undefined;
  if (current && current.fencingToken > record.fencingToken) return;
  await store.put(key, JSON.stringify(record), { expectedVersion: found.value?.version ?? 0 });
}

function decodeProgressRecord(value: string): z.output<typeof RECORD_SCHEMA> | undefined {
  const parsed = RECORD_SCHEMA.safeParse(JSON.parse(value));
  return parsed.success ? parsed.data : undefined;
}

import { Result } from 'true-myth';
import { request as sendRequest } from 'undici';
import * as z from 'zod';
import { DEFAULT_AGENT } from './HttpAgent.js';
import { readLimitedJson } from './LimitedBody.js';
import { limitList } from './LimitedList.js';

/** Largest list that is read. An entry takes about 200 bytes. */
const MAX_LIST_BYTES = 8_388_608;

const LIST_SCHEMA = z.object({
  machines: limitList(
    z.object({
      id: z.string(),
      role: z.enum(['entry-host', 'engine', 'plain']),
      address: z.string(),
      zone: z.string(),
      service: z.string(),
      versions: limitList(z.string()),
      state: z.enum(['live', 'leaving']),
      /** Identifies the start of the machine's process; a later start has a higher number. */
      incarnation: z.number().int().min(0).optional(),
    }),
  ),
});

/** A machine in the platform's list. */
export type ListedMachine = z.output<typeof LIST_SCHEMA>['machines'][number];

/** Why the list could not be read. */
export interface IHostListError {
  kind: 'unavailable' | 'malformed';
  message: string;
}

/** Reads the platform's list of live and leaving machines. */
export async function fetchHostList(
  address: string,
  timeoutMs = 1000,
): Promise<Result<readonly ListedMachine[], IHostListError>> {
  try {
    const reply = await sendRequest(`${address}/machines`, {
      signal: AbortSignal.timeout(timeoutMs),
      dispatcher: DEFAULT_AGENT,
    });
    const parsed = LIST_SCHEMA.safeParse(await readLimitedJson(reply.body, { maxBytes: MAX_LIST_BYTES }));
    if (reply.statusCode !== 200)
      return Result.err({ kind: 'unavailable', message: `The list was answered with ${reply.statusCode}.` });
    if (parsed.success) return Result.ok(parsed.data.machines);
    return Result.err({ kind: 'malformed', message: parsed.error.message });
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Result.err({ kind: 'unavailable', message });
  }
}

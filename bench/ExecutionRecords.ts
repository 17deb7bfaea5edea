import * as z from 'zod';
import type { IFleet } from './fleet/Types.js';
import { fetchJson } from './Http.js';

const ENGINE_RECORDS_SCHEMA = z.object({ users: z.array(z.string()), tokens: z.number() });
const PLAIN_RECORDS_SCHEMA = z.array(z.object({ body: z.string() }));
const PLAIN_BODY_SCHEMA = z.object({ load: z.string() });

/** The requests that the stand-ins of all endpoints executed, as they list them at `/books`. */
export interface IExecutionRecords {
  /** Number of executions by model engines, by the name of the request. */
  engineRuns: ReadonlyMap<string, number>;
  /** Number of executed calls of the plain service, by the name of the request. */
  plainRuns: ReadonlyMap<string, number>;
  /** Number of generated tokens, including those that no caller received. */
  tokens: number;
}

/** Reads the execution records of every endpoint and adds them up. */
export async function readExecutionRecords(fleet: IFleet): Promise<IExecutionRecords> {
  const engineRuns = new Map<string, number>();
  const plainRuns = new Map<string, number>();
  let tokens = 0;
  for (const { address } of fleet.engines) {
    const records = ENGINE_RECORDS_SCHEMA.parse(await fetchJson(`${address}/books`));
    tokens += records.tokens;
    for (const user of records.users) countRun(engineRuns, user);
  }
  for (const { address } of fleet.plainEndpoints) {
    for (const { body } of PLAIN_RECORDS_SCHEMA.parse(await fetchJson(`${address}/books`))) {
      countRun(plainRuns, PLAIN_BODY_SCHEMA.parse(JSON.parse(body)).load);
    }
  }
  return { engineRuns, plainRuns, tokens };
}

function countRun(runs: Map<string, number>, name: string): void {
  runs.set(name, (runs.get(name) ?? 0) + 1);
}

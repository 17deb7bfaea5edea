import * as z from 'zod';
import type { IFleet } from './fleet/Types.js';
import { fetchJson } from './Http.js';

const ENGINE_BOOKS_SCHEMA = z.object({ users: z.array(z.string()), tokens: z.number() });
const PLAIN_BOOKS_SCHEMA = z.array(z.object({ body: z.string() }));
const PLAIN_BODY_SCHEMA = z.object({ load: z.string() });

/** What the endpoints' books say together. */
export interface IFleetBooks {
  /** Runs at model engines by the request's name. */
  engineRuns: ReadonlyMap<string, number>;
  /** Calls of plain services by the request's name. */
  plainRuns: ReadonlyMap<string, number>;
  /** Tokens generated, also those that nobody received. */
  tokens: number;
}

/** Reads the books of every endpoint. */
export async function readBooks(fleet: IFleet): Promise<IFleetBooks> {
  const engineRuns = new Map<string, number>();
  const plainRuns = new Map<string, number>();
  let tokens = 0;
  for (const { address } of fleet.engines) {
    const books = ENGINE_BOOKS_SCHEMA.parse(await fetchJson(`${address}/books`));
    tokens += books.tokens;
    for (const user of books.users) addRun(engineRuns, user);
  }
  for (const { address } of fleet.plains) {
    for (const { body } of PLAIN_BOOKS_SCHEMA.parse(await fetchJson(`${address}/books`))) {
      addRun(plainRuns, PLAIN_BODY_SCHEMA.parse(JSON.parse(body)).load);
    }
  }
  return { engineRuns, plainRuns, tokens };
}

function addRun(runs: Map<string, number>, name: string): void {
  runs.set(name, (runs.get(name) ?? 0) + 1);
}

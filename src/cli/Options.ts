import { readFileSync } from 'node:fs';
import { Result } from 'true-myth';
import { describeFailure, type ICommandResult } from './CommandResult.js';

const STORE_ADDRESS = /^https?:\/\/[0-9a-f.:[\]]+:\d+$/;

/** Option of commands that read or write the store. */
export const STORE_OPTION = {
  type: 'string',
  demandOption: true,
  describe: 'Address of the key-value store, http://IP:PORT',
} as const;

/** Option that prints one JSON object. */
export const JSON_OPTION = {
  type: 'boolean',
  default: false,
  describe: 'Print one JSON object',
} as const;

/** Checks the store's address for yargs; throws with what is allowed. */
export function checkStoreAddress({ store }: { store: string }): true {
  if (!STORE_ADDRESS.test(store)) throw new Error(`--store ${store}: must be http://IP:PORT`);
  return true;
}

/** Reads a file that an argument names. */
export function readTextFile(file: string): Result<string, ICommandResult> {
  try {
    return Result.ok(readFileSync(file, 'utf8'));
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Result.err(describeFailure('wrong-arguments', [`${file}: ${message}`]));
  }
}

import { readFileSync } from 'node:fs';
import { Result } from 'true-myth';
import { buildFailureResult, type ICommandResult } from './CommandResult.js';

const STORE_ADDRESS_PATTERN = /^https?:\/\/[0-9a-f.:[\]]+:\d+$/;

/** `--store` option of the commands that read or write the store. */
export const STORE_OPTION = {
  type: 'string',
  demandOption: true,
  describe: 'Address of the key-value store, http://IP:PORT',
} as const;

/** `--json` option. */
export const JSON_OPTION = {
  type: 'boolean',
  default: false,
  describe: 'Print one JSON object',
} as const;

/** Checks `--store` for yargs. Throws an error that states the expected form. */
export function checkStoreAddress({ store }: { store: string }): true {
  if (!STORE_ADDRESS_PATTERN.test(store)) throw new Error(`--store ${store}: must be http://IP:PORT`);
  return true;
}

/** Reads a file named on the command line. The error is the result that the command prints. */
export function readTextFile(file: string): Result<string, ICommandResult> {
  try {
    return Result.ok(readFileSync(file, 'utf8'));
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Result.err(buildFailureResult('wrong-arguments', [`${file}: ${message}`]));
  }
}

import { Result } from 'true-myth';
import type { IStore } from '../coordination/Types.js';
import type { IConfigCodec } from './ConfigApplier.js';
import type { IConfigRecord } from './Types.js';

/** The store and the decoders with which documents are read. */
export interface IConfigHistoryOptions {
  store: IStore;
  codec: IConfigCodec;
}

/** Why a document could not be read. */
export type ConfigReadError =
  | { kind: 'unknown-service'; known: readonly string[] }
  | { kind: 'unknown-number' }
  | { kind: 'unavailable'; message: string };

/** Reads the number of a service's document in force; 0 for a service without a document. */
export async function readNumberInForce(
  options: IConfigHistoryOptions,
  service: string,
): Promise<Result<number, ConfigReadError>> {
  const numbers = await readNumbersInForce(options);
  return numbers.map((numbersByService) => numbersByService[service] ?? 0);
}

/** Reads one document of a service: the one with the given number, by default the one in force. */
export async function readDocument(
  options: IConfigHistoryOptions,
  service: string,
  number?: number,
): Promise<Result<IConfigRecord, ConfigReadError>> {
  const inForce = await readNumberOfKnownService(options, service);
  if (inForce.isErr) return Result.err(inForce.error);
  const record = await readRecordAt(options, service, number ?? inForce.value);
  if (record.isErr) return Result.err(record.error);
  return record.value ? Result.ok(record.value) : Result.err({ kind: 'unknown-number' });
}

/**
 * Lists the documents of a service up to the one in force, newest first. The list may include a document
 * that was never in force, because its editor crashed after writing it and before changing the index.
 */
export async function listDocuments(
  options: IConfigHistoryOptions,
  service: string,
): Promise<Result<readonly IConfigRecord[], ConfigReadError>> {
  const inForce = await readNumberOfKnownService(options, service);
  if (inForce.isErr) return Result.err(inForce.error);
  const records: IConfigRecord[] = [];
  for (let number = inForce.value; number > 0; number -= 1) {
    const record = await readRecordAt(options, service, number);
    if (record.isErr) return Result.err(record.error);
    if (record.value) records.push(record.value);
  }
  return Result.ok(records);
}

async function readNumbersInForce({
  codec,
  store,
}: IConfigHistoryOptions): Promise<Result<Readonly<Record<string, number>>, ConfigReadError>> {
  const found = await store.get(codec.indexKey);
  if (found.isErr) return Result.err({ kind: 'unavailable', message: 'The index could not be read.' });
  return Result.ok(found.value ? codec.decodeIndex(found.value.value).services : {});
}

async function readNumberOfKnownService(
  options: IConfigHistoryOptions,
  service: string,
): Promise<Result<number, ConfigReadError>> {
  const numbers = await readNumbersInForce(options);
  if (numbers.isErr) return Result.err(numbers.error);
  const number = numbers.value[service];
  if (number !== undefined) return Result.ok(number);
  return Result.err({ kind: 'unknown-service', known: Object.keys(numbers.value).sort() });
}

async function readRecordAt(
  { codec, store }: IConfigHistoryOptions,
  service: string,
  number: number,
): Promise<Result<IConfigRecord | undefined, ConfigReadError>> {
  const found = await store.get(codec.formatDocumentKey(service, number));
  if (found.isErr) return Result.err({ kind: 'unavailable', message: 'A document could not be read.' });
  return Result.ok(found.value ? codec.decodeRecord(found.value.value) : undefined);
}

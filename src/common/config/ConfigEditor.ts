import { Result } from 'true-myth';
import type { IStore, IStoreValue, StoreError } from '../coordination/Types.js';
import type { IConfigIndex, IConfigRecord, IDocumentProblem } from './Types.js';
import type { IConfigCodec } from './ConfigApplier.js';

/** The store and the encoding with which edits are written. */
export interface IConfigEditorOptions {
  store: IStore;
  codec: IConfigCodec;
  encodeIndex: (index: IConfigIndex) => string;
  encodeRecord: (record: IConfigRecord) => string;
}

/** An edit of one service's document. */
export interface IConfigEdit {
  text: string;
  author: string;
  /** Wall-clock time, ISO 8601. */
  editedAt: string;
  /** Number of the document that the edit starts from; 0 for a new service. */
  baseNumber: number;
}

/**
 * Why an edit was not accepted. `invalid`: the document has problems. `conflict`: the document in force is
 * not the one that the edit starts from. `unavailable`: the store could not be read or written, or other
 * edits interfered too often.
 */
export type ConfigEditError =
  | { kind: 'invalid'; problems: readonly IDocumentProblem[] }
  | { kind: 'conflict'; base: IConfigRecord | undefined; current: IConfigRecord }
  | { kind: 'unavailable'; message: string };

/** An accepted edit. */
export interface IAcceptedEdit {
  service: string;
  number: number;
  /** Configuration revision from which on the edit is in force. */
  revision: number;
}

/** Limits how often one edit is tried, and how many document numbers each try attempts to write. */
const MAX_ATTEMPTS = 20;

/**
 * Validates a document, writes it under the next number, and accepts it by a compare-and-swap of the
 * index. When another service was edited in between, the edit is tried again; when the same service was,
 * the result is a conflict.
 */
export async function applyEdit(
  options: IConfigEditorOptions,
  edit: IConfigEdit,
): Promise<Result<IAcceptedEdit, ConfigEditError>> {
  const parsed = options.codec.parseDocument(edit.text);
  if (parsed.isErr) return Result.err({ kind: 'invalid', problems: parsed.error });
  const service = parsed.value.name;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const outcome = await tryEdit(options, service, edit);
    if (outcome.isErr || outcome.value !== 'again') return outcome as Result<IAcceptedEdit, ConfigEditError>;
  }
  return Result.err({ kind: 'unavailable', message: 'Too many edits of other services at the same time.' });
}

/** Reads a numbered document. Returns `undefined` when there is none or the store could not be read. */
export async function readRecord(
  options: Pick<IConfigEditorOptions, 'store' | 'codec'>,
  service: string,
  number: number,
): Promise<IConfigRecord | undefined> {
  const found = await options.store.get(options.codec.formatDocumentKey(service, number));
  return found.isOk && found.value ? options.codec.decodeRecord(found.value.value) : undefined;
}

/** Tries an edit once. Returns `again` when the index changed in between and the edit must be tried again. */
async function tryEdit(
  options: IConfigEditorOptions,
  service: string,
  edit: IConfigEdit,
): Promise<Result<IAcceptedEdit | 'again', ConfigEditError>> {
  const { codec, store } = options;
  const found = await store.get(codec.indexKey);
  if (found.isErr) return Result.err(mapStoreError(found.error));
  const index = readIndex(options, found.value);
  const current = index.services[service] ?? 0;
  if (current !== edit.baseNumber) return describeConflict(options, service, edit.baseNumber, current);
  const writtenNumber = await writeRecord(options, service, current + 1, edit);
  if (writtenNumber.isErr) return Result.err(writtenNumber.error);
  const next: IConfigIndex = { ...index, services: { ...index.services, [service]: writtenNumber.value } };
  return swapIndex(options, next, {
    service,
    number: writtenNumber.value,
    version: found.value?.version ?? 0,
  });
}

/**
 * Writes the document under the first free number. Skips the number of another document that an editor
 * wrote before it crashed, without a change of the index. A document with the same content is this edit's
 * own, from an earlier try.
 */
async function writeRecord(
  options: IConfigEditorOptions,
  service: string,
  firstNumber: number,
  edit: IConfigEdit,
): Promise<Result<number, ConfigEditError>> {
  const { author, editedAt, text } = edit;
  for (let number = firstNumber; number < firstNumber + MAX_ATTEMPTS; number += 1) {
    const value = options.encodeRecord({ service, number, text, author, editedAt });
    const key = options.codec.formatDocumentKey(service, number);
    const written = await options.store.put(key, value, { expectedVersion: 0 });
    if (written.isOk) return Result.ok(number);
    if (written.error.kind === 'conflict') {
      if (written.error.current?.value === value) return Result.ok(number);
      continue;
    }
    const found = await options.store.get(key);
    if (found.isOk && found.value?.value === value) return Result.ok(number);
    return Result.err(mapStoreError(written.error));
  }
  return Result.err({ kind: 'unavailable', message: 'No free document number was found.' });
}

async function swapIndex(
  options: IConfigEditorOptions,
  index: IConfigIndex,
  target: { service: string; number: number; version: number },
): Promise<Result<IAcceptedEdit | 'again', ConfigEditError>> {
  const { codec, encodeIndex, store } = options;
  const { number, service } = target;
  const swapped = await store.put(codec.indexKey, encodeIndex(index), { expectedVersion: target.version });
  if (swapped.isOk) return Result.ok({ service, number, revision: swapped.value });
  if (swapped.error.kind === 'conflict') return Result.ok('again');
  // The swap may have taken effect although its reply was lost; the index shows whether it did.
  const found = await store.get(codec.indexKey);
  if (found.isErr) return Result.err(mapStoreError(swapped.error));
  const isAccepted = readIndex(options, found.value).services[service] === number;
  return Result.ok(isAccepted ? { service, number, revision: found.value?.version ?? 0 } : 'again');
}

async function describeConflict(
  options: IConfigEditorOptions,
  service: string,
  baseNumber: number,
  currentNumber: number,
): Promise<Result<never, ConfigEditError>> {
  const current = await readRecord(options, service, currentNumber);
  if (!current)
    return Result.err({ kind: 'unavailable', message: 'The current document could not be read.' });
  const base = baseNumber === 0 ? undefined : await readRecord(options, service, baseNumber);
  return Result.err({ kind: 'conflict', base, current });
}

function readIndex(options: IConfigEditorOptions, found: IStoreValue | undefined): IConfigIndex {
  return found ? options.codec.decodeIndex(found.value) : { services: {}, rollouts: {} };
}

function mapStoreError(error: StoreError): ConfigEditError {
  const message = error.kind === 'conflict' ? 'Another writer holds the key.' : error.message;
  return { kind: 'unavailable', message };
}

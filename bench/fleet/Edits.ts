import { buildEditorOptions, decodeIndex, CONFIG_INDEX_KEY } from '../../src/adapters/ConfigStore.js';
import { createHttpStore } from '../../src/adapters/HttpStore.js';
import { applyEdit, type IAcceptedEdit } from '../../src/common/config/ConfigEditor.js';
import { BENCH_SERVICE, formatDocument, type IBenchDocument } from '../Documents.js';

/** Puts a service document in force through the same edit that an operator would make. */
export async function applyDocument(
  store: string,
  document: IBenchDocument,
  baseNumber: number,
): Promise<IAcceptedEdit> {
  const edit = {
    text: formatDocument(document),
    author: 'bench',
    editedAt: new Date().toISOString(),
    baseNumber,
  };
  const accepted = await applyEdit(buildEditorOptions(createHttpStore({ address: store })), edit);
  if (accepted.isErr)
    throw new Error(`The edit of the service document was not accepted: ${JSON.stringify(accepted.error)}`);
  return accepted.value;
}

/** Reads the number of the service document in force; `undefined` when the store does not answer. */
export async function readDocumentNumber(store: string): Promise<number | undefined> {
  const found = await createHttpStore({ address: store }).get(CONFIG_INDEX_KEY);
  return found.isOk && found.value ? decodeIndex(found.value.value).services[BENCH_SERVICE] : undefined;
}

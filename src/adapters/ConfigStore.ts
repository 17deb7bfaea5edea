import type { Result } from 'true-myth';
import * as z from 'zod';
import { parseServiceDocument } from '../common/config/ServiceDocument.js';
import type {
  IConfigIndex,
  IConfigRecord,
  IDocumentProblem,
  IServiceDocument,
} from '../common/config/Types.js';
import type { IConfigEditorOptions } from '../common/config/ConfigEditor.js';
import type { IConfigCodec } from '../common/config/ConfigApplier.js';
import type { IStore } from '../common/coordination/Types.js';
import { parseIni } from './Ini.js';

/** Store key of the configuration index. */
export const CONFIG_INDEX_KEY = 'config/index';

const ROLLOUT_SCHEMA = z.object({
  version: z.string(),
  verdict: z.enum(['ramping', 'halted', 'passed']),
  share: z.number(),
  reason: z.string(),
  attempt: z.number().int().default(1),
  fencingToken: z.number().int().default(0),
});

const INDEX_SCHEMA = z.object({
  services: z.record(z.string(), z.number().int()),
  rollouts: z.record(z.string(), z.record(z.string(), ROLLOUT_SCHEMA)),
});

const RECORD_SCHEMA = z.object({
  service: z.string(),
  number: z.number().int(),
  text: z.string(),
  author: z.string(),
  editedAt: z.string(),
});

/** Returns the store key of one numbered document. */
export function formatDocumentKey(service: string, number: number): string {
  return `config/${service}/${number}`;
}

/** Decodes the configuration index. Throws on malformed input. */
export function decodeIndex(value: string): IConfigIndex {
  return INDEX_SCHEMA.parse(JSON.parse(value));
}

/** Decodes the record of a numbered document. Throws on malformed input. */
export function decodeRecord(value: string): IConfigRecord {
  return RECORD_SCHEMA.parse(JSON.parse(value));
}

/** Parses the INI text of a service document. */
export function parseDocumentText(text: string): Result<IServiceDocument, readonly IDocumentProblem[]> {
  const { sections, findLine } = parseIni(text);
  return parseServiceDocument(sections, findLine);
}

/** Store keys and decoders of the configuration, which is stored as JSON. */
export const configCodec: IConfigCodec = {
  indexKey: CONFIG_INDEX_KEY,
  formatDocumentKey,
  decodeIndex,
  decodeRecord,
  parseDocument: parseDocumentText,
};

/** Builds the options of a configuration editor that reads from and writes to a store. */
export function buildEditorOptions(store: IStore): IConfigEditorOptions {
  return {
    store,
    codec: configCodec,
    encodeIndex: (index) => JSON.stringify(index),
    encodeRecord: (record) => JSON.stringify(record),
  };
}

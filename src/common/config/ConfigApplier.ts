import type { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IConfigurationEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IConfigIndex, IConfigRecord, IDocumentProblem, IServiceDocument } from './Types.js';

/**
 * Keys and decoders of the configuration in the store. `decodeIndex` and `decodeRecord` throw on malformed
 * input; `parseDocument` returns the problems of a document.
 */
export interface IConfigCodec {
  indexKey: string;
  formatDocumentKey: (service: string, number: number) => string;
  decodeIndex: (value: string) => IConfigIndex;
  decodeRecord: (value: string) => IConfigRecord;
  parseDocument: (text: string) => Result<IServiceDocument, readonly IDocumentProblem[]>;
}

/** Options of `ConfigApplier`. */
export interface IConfigApplierOptions {
  board: Blackboard;
  codec: IConfigCodec;
  /** Called with the reason when an offered configuration cannot be put in force. Default: not reported. */
  onProblem?: (message: string) => void;
}

/**
 * Puts offered configurations in force. `ConfigStoreReader` and `ConfigExchange` offer a configuration by
 * writing it to the key `offered` of the `configuration` panel. Whether it comes from the store or from a
 * peer, all of it is validated before the `services` panel changes. An offer whose revision is not higher
 * than the one in force is ignored.
 */
export class ConfigApplier extends Disposable {
  /** Parsed documents of the revision in force, by store key. */
  private _documentsInForce = new Map<string, IServiceDocument>();

  constructor(private readonly _options: IConfigApplierOptions) {
    super();
    this._register(
      _options.board.configuration.onChange(({ key, after }) => {
        if (key === 'offered' && after) this._applyOffer(after);
      }),
    );
  }

  private _applyOffer(offer: IConfigurationEntry): void {
    const revisionInForce = this._options.board.configuration.get('in-force')?.revision ?? 0;
    if (offer.revision <= revisionInForce) return;
    try {
      const index = this._options.codec.decodeIndex(offer.index);
      this._putInForce(offer, index, this._parseDocuments(offer, index));
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this._options.onProblem?.(`Revision ${offer.revision} from the ${offer.from}: ${message}`);
    }
  }

  /**
   * Parses the documents that the index names. The text under a document's key never changes, so documents
   * of the revision in force are not parsed again. Throws when a document is missing or invalid.
   */
  private _parseDocuments(offer: IConfigurationEntry, index: IConfigIndex): Map<string, IServiceDocument> {
    const documents = new Map<string, IServiceDocument>();
    for (const [service, number] of Object.entries(index.services)) {
      const key = this._options.codec.formatDocumentKey(service, number);
      documents.set(
        key,
        this._documentsInForce.get(key) ?? this._parseRecord(offer.records[key], service, number),
      );
    }
    return documents;
  }

  private _parseRecord(value: string | undefined, service: string, number: number): IServiceDocument {
    const { codec } = this._options;
    if (value === undefined) throw new Error(`The document ${number} of '${service}' is missing.`);
    const record = codec.decodeRecord(value);
    const parsed = codec.parseDocument(record.text);
    if (parsed.isErr) {
      throw new Error(`The document ${number} of '${service}' is invalid: ${JSON.stringify(parsed.error)}`);
    }
    const isSameDocument =
      record.service === service && record.number === number && parsed.value.name === service;
    if (!isSameDocument) throw new Error(`The document ${number} of '${service}' names another document.`);
    return parsed.value;
  }

  private _putInForce(
    offer: IConfigurationEntry,
    index: IConfigIndex,
    documents: Map<string, IServiceDocument>,
  ): void {
    const { board } = this._options;
    this._documentsInForce = documents;
    const records = Object.fromEntries([...documents.keys()].map((key) => [key, offer.records[key] ?? '']));
    for (const { name } of [...board.services.list()]) {
      if (!(name in index.services)) board.services.delete(name);
    }
    for (const document of documents.values()) {
      const { name } = document;
      board.services.set(name, {
        name,
        document,
        revision: offer.revision,
        rollouts: index.rollouts[name] ?? {},
      });
    }
    board.configuration.set('in-force', { ...offer, records });
  }
}

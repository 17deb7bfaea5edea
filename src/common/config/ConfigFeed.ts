import type { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IConfigurationEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IConfigIndex, IConfigRecord, IDocumentProblem, IServiceDocument } from './Types.js';

/** How the feed reads what the store holds. The decoders throw on malformed input. */
export interface IConfigCodec {
  indexKey: string;
  formatDocumentKey: (service: string, number: number) => string;
  decodeIndex: (value: string) => IConfigIndex;
  decodeRecord: (value: string) => IConfigRecord;
  parseText: (text: string) => Result<IServiceDocument, readonly IDocumentProblem[]>;
}

/** Options of the configuration feed. */
export interface IConfigFeedOptions {
  board: Blackboard;
  codec: IConfigCodec;
  /** Called when a configuration is offered that cannot be put in force. Default: nothing. */
  onProblem?: (message: string) => void;
}

/**
 * Puts offered configurations in force: validates all of one, whether it comes from the store or from
 * a peer, then writes the `services` panel. Revisions only ever grow.
 */
export class ConfigFeed extends Disposable {
  private _documents = new Map<string, IServiceDocument>();

  constructor(private readonly _options: IConfigFeedOptions) {
    super();
    this._register(
      _options.board.configuration.onChange(({ key, after }) => {
        if (key === 'offered' && after) this._applyOffer(after);
      }),
    );
  }

  private _applyOffer(offer: IConfigurationEntry): void {
    const revision = this._options.board.configuration.get('in-force')?.revision ?? 0;
    if (offer.revision <= revision) return;
    try {
      const index = this._options.codec.decodeIndex(offer.index);
      this._putInForce(offer, index, this._readDocuments(offer, index));
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this._options.onProblem?.(`Revision ${offer.revision} from the ${offer.from}: ${message}`);
    }
  }

  /** Documents never change under their key, so those of the revision in force are not parsed again. */
  private _readDocuments(offer: IConfigurationEntry, index: IConfigIndex): Map<string, IServiceDocument> {
    const documents = new Map<string, IServiceDocument>();
    for (const [service, number] of Object.entries(index.services)) {
      const key = this._options.codec.formatDocumentKey(service, number);
      documents.set(key, this._documents.get(key) ?? this._parseRecord(offer.records[key], service, number));
    }
    return documents;
  }

  private _parseRecord(value: string | undefined, service: string, number: number): IServiceDocument {
    const { codec } = this._options;
    if (value === undefined) throw new Error(`The document ${number} of '${service}' is missing.`);
    const record = codec.decodeRecord(value);
    const parsed = codec.parseText(record.text);
    if (parsed.isErr) {
      throw new Error(`The document ${number} of '${service}' is invalid: ${JSON.stringify(parsed.error)}`);
    }
    const isNamed = record.service === service && record.number === number && parsed.value.name === service;
    if (!isNamed) throw new Error(`The document ${number} of '${service}' names another document.`);
    return parsed.value;
  }

  private _putInForce(
    offer: IConfigurationEntry,
    index: IConfigIndex,
    documents: Map<string, IServiceDocument>,
  ): void {
    const { board } = this._options;
    this._documents = documents;
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

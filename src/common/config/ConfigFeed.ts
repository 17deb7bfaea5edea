import type { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IStore, IStoreValue } from '../coordination/Types.js';
import { Emitter } from '../Event.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { IConfigIndex, IConfigRecord, IDocumentProblem, IServiceDocument } from './Types.js';

/** How the feed reads what the store holds. */
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
  store: IStore;
  clock: IClock;
  codec: IConfigCodec;
  /** Longest wait of one watch call. Default 30,000. */
  watchTimeoutMs?: Millis;
  /** Wait after a failed call. Default 250. */
  retryDelayMs?: Millis;
}

/** Follows the configuration index and writes the `services` panel. Revisions only ever grow. */
export class ConfigFeed extends Disposable {
  private readonly _revisionEmitter = this._register(new Emitter<number>());
  private readonly _options: Required<IConfigFeedOptions>;
  private _revision = 0;

  /** Fires after a revision is in force on this host. */
  public readonly onRevision = this._revisionEmitter.event;

  constructor(options: IConfigFeedOptions) {
    super();
    this._options = { watchTimeoutMs: 30_000, retryDelayMs: 250, ...options };
  }

  /** Revision in force; 0 before the first one. */
  public get revision(): number {
    return this._revision;
  }

  /** Watches the index until the feed is disposed. */
  public async run(): Promise<void> {
    const { codec, store, watchTimeoutMs } = this._options;
    while (!this._isDisposed) {
      const found = await store.watch(codec.indexKey, this._revision, watchTimeoutMs);
      if (found.isErr) await this._waitToRetry();
      else if (found.value && !(await this._applyIndex(found.value))) await this._waitToRetry();
    }
  }

  /** Reads every document that the index names, then puts all of them in force at once. */
  private async _applyIndex(found: IStoreValue): Promise<boolean> {
    if (found.version <= this._revision) return true;
    const index = this._options.codec.decodeIndex(found.value);
    const documents = new Map<string, IServiceDocument>();
    for (const [service, number] of Object.entries(index.services)) {
      const document = await this._readDocument(service, number);
      if (!document) return false;
      documents.set(service, document);
    }
    if (found.version > this._revision) this._writeServices(index, documents, found.version);
    return true;
  }

  private async _readDocument(service: string, number: number): Promise<IServiceDocument | undefined> {
    const { codec, store } = this._options;
    const found = await store.get(codec.formatDocumentKey(service, number));
    if (found.isErr || !found.value) return undefined;
    const parsed = codec.parseText(codec.decodeRecord(found.value.value).text);
    return parsed.isOk ? parsed.value : undefined;
  }

  private _writeServices(
    index: IConfigIndex,
    documents: ReadonlyMap<string, IServiceDocument>,
    revision: number,
  ): void {
    const { board } = this._options;
    this._revision = revision;
    for (const [name, document] of documents) {
      board.services.set(name, { name, document, revision, rollouts: index.rollouts[name] ?? {} });
    }
    this._revisionEmitter.fire(revision);
  }

  private _waitToRetry(): Promise<void> {
    return new Promise((resolve) => {
      this._options.clock.schedule(this._options.retryDelayMs, resolve);
    });
  }
}

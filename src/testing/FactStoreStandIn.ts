import { Result } from 'true-myth';
import type { StoreError } from '../common/coordination/Types.js';
import type { FactChange, FleetFact, IFactEntry, IFactStore, ISessionHolds } from '../common/fleet/Types.js';
import type { Millis } from '../common/Types.js';
import type { ManualClock } from './ManualClock.js';

/** How the store treats the calls of hosts: with a reply, without one, with a late one, or with an error. */
export type StoreMood = 'sound' | 'silent' | 'slow' | 'refusing';

const LIST_TIMEOUT_MS: Millis = 1000;
const WATCH_TIMEOUT_MARGIN_MS: Millis = 500;
const POLL_MS: Millis = 20;
const LATENCY_MS: Readonly<Record<StoreMood, Millis>> = {
  sound: 4,
  silent: Infinity,
  slow: 700,
  refusing: 4,
};

/** Time after a restoration within which the operator and the endpoints write again what the store has lost. */
const REWRITE_DELAY_MS: Millis = 1500;

/** Prefix of the keys that only hosts write. */
const HOST_PREFIX = 'hosts/';

interface IStoreCopy {
  revision: number;
  facts: Map<string, IFactEntry>;
}

/**
 * Fake store of facts on a manual clock that can be restored from an earlier copy, compacted, slow, silent or refusing.
 * What others than hosts wrote before a restoration is written again.
 */
export class FactStoreStandIn {
  public mood: StoreMood = 'sound';
  /** What the operator and the endpoints last wrote, by key. */
  public readonly truth = new Map<string, FleetFact>();
  private _facts = new Map<string, IFactEntry>();
  private _history: FactChange[] = [];
  private _copies: IStoreCopy[] = [];
  private _revision = 10;
  private _era = 1;
  private _firstRevision = 10;

  constructor(private readonly _clock: ManualClock) {}

  /** Writes a fact as the operator or an endpoint, or removes it if it is `undefined`. */
  public put(key: string, fact: FleetFact | undefined): void {
    if (fact) this.truth.set(key, fact);
    else this.truth.delete(key);
    this._apply(key, fact);
  }

  public read(key: string): FleetFact | undefined {
    return this._facts.get(key)?.fact;
  }

  /** Restores the store from the copy made `changes` changes ago. */
  public restore(changes: number): void {
    const copy = this._copies.at(-1 - changes) ?? this._copies[0];
    if (!copy) return;
    this._facts = new Map(copy.facts);
    this._revision = copy.revision;
    this._era += 1;
    this._copies = [];
    this.compact();
    this._clock.schedule(REWRITE_DELAY_MS, this._rewriteTruth);
  }

  /** Discards the history, so that a watch from an earlier revision has to list. */
  public compact(): void {
    this._history = [];
    this._firstRevision = this._revision;
  }

  /** Number of calls of all hosts, those without a reply included. */
  public callCount = 0;

  /** Creates the calls of a host, which the store may treat in its own way. */
  public createClient(
    readMood: () => StoreMood = () => 'sound',
  ): Pick<IFactStore, 'listFacts' | 'watchFacts' | 'writeSessionHolds'> {
    const waitForReply = (timeoutMs: Millis): Promise<StoreError | undefined> =>
      this._waitForReply(timeoutMs, readMood);
    return {
      listFacts: async () => {
        const lost = await waitForReply(LIST_TIMEOUT_MS);
        if (lost) return Result.err(lost);
        const { _era: era, _revision: revision } = this;
        return Result.ok({
          facts: [...this._facts.values()].map((entry) => ({ ...encodeEntry(entry), era })),
          revision,
          era,
        });
      },
      watchFacts: async ({ era = 0, revision }, waitMs) => {
        const endsAt = this._clock.now() + waitMs;
        while (this._clock.now() < endsAt && this._era === era && this._revision === revision)
          await this._wait(POLL_MS);
        const lost = await waitForReply(endsAt - this._clock.now() + WATCH_TIMEOUT_MARGIN_MS);
        if (lost) return Result.err(lost);
        if (this._era !== era) return Result.ok({ kind: 'restored' });
        if (revision < this._firstRevision) return Result.ok({ kind: 'compacted' });
        const changes = this._history
          .filter((change) => change.revision > revision)
          .map((change) => (change.kind === 'put' ? { ...change, ...encodeEntry(change) } : change));
        return Result.ok({ kind: 'changes', changes, revision: this._revision, era });
      },
      writeSessionHolds: async (holds: ISessionHolds) => {
        const lost = await waitForReply(LIST_TIMEOUT_MS);
        if (lost) return Result.err(lost);
        this._apply(`${HOST_PREFIX}${holds.host}`, { kind: 'session-holds', holds });
        return Result.ok(this._revision);
      },
    };
  }

  private _apply(key: string, fact: FleetFact | undefined): void {
    this._copies.push({ revision: this._revision, facts: new Map(this._facts) });
    this._revision += 1;
    const { _era: era, _revision: revision } = this;
    if (fact) this._facts.set(key, { key, revision, era, fact });
    else this._facts.delete(key);
    this._history.push(fact ? { kind: 'put', key, revision, era, fact } : { kind: 'delete', key, revision });
  }

  private readonly _rewriteTruth = (): void => {
    const keys = [...this._facts.keys()].filter((key) => !key.startsWith(HOST_PREFIX));
    for (const key of new Set([...keys, ...this.truth.keys()]))
      if (this.read(key) !== this.truth.get(key)) this._apply(key, this.truth.get(key));
  };

  /** Waits for a reply; resolves to the error of a call without one. */
  private async _waitForReply(timeoutMs: Millis, readMood: () => StoreMood): Promise<StoreError | undefined> {
    this.callCount += 1;
    const mood = this.mood === 'sound' ? readMood() : this.mood;
    const latencyMs = LATENCY_MS[mood];
    await this._wait(Math.min(latencyMs, timeoutMs));
    if (latencyMs > timeoutMs) return { kind: 'unknown-outcome', message: 'no reply' };
    return mood === 'refusing' ? { kind: 'unavailable', message: 'busy' } : undefined;
  }

  private _wait(ms: Millis): Promise<void> {
    return new Promise((resolve) => void this._clock.schedule(ms, resolve));
  }
}

/** Adds the form in which hosts pass a fact on. */
function encodeEntry(entry: IFactEntry): IFactEntry {
  return { ...entry, encoded: JSON.stringify(entry.fact, encodeMap) };
}

function encodeMap(_key: string, value: unknown): unknown {
  return value instanceof Map ? [] : value;
}

/** Decodes a fact that a host has passed on. The maps of routing tables come out empty. */
export function decodeEntry(_key: string, encoded: string): FleetFact {
  const fact = JSON.parse(encoded) as FleetFact;
  if (fact.kind !== 'routing-table') return fact;
  return { ...fact, table: { ...fact.table, routesByHost: new Map(), services: new Map() } };
}

import type { Result } from 'true-myth';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { StoreError } from '../coordination/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis, RandomSource } from '../Types.js';
import type { FleetFact, IFactStore } from './Types.js';

/** Writes of facts that no other host writes. */
export type OwnFactWriters = Pick<
  IFactStore,
  | 'writeCrashReports'
  | 'writeCrashEvidence'
  | 'writeHostPresence'
  | 'writeRolloutEvidence'
  | 'writeReleaseBaseline'
  | 'writeSessionHolds'
>;

/** Options of the fact owner controller. */
export interface IFactOwnerOptions {
  board: Blackboard;
  clock: IClock;
  random: RandomSource;
  /** Id of this host. */
  host: string;
  store: OwnFactWriters;
}

type WriteFact = () => Promise<Result<number, StoreError>>;

/** A fact of this host, and how far it has been written. */
interface IOwnFact {
  fact: FleetFact;
  write: WriteFact;
  /** Whether a write is in progress or scheduled. */
  isWriting: boolean;
  /** Called with the revision of the next write that is accepted. */
  waiting: ((written: Result<number, StoreError>) => void)[];
}

const MIN_RETRY_DELAY_MS: Millis = 500;
const MAX_RETRY_DELAY_MS: Millis = 8000;

/** Longest random delay before lost facts are written again, so that the hosts do not write at the same moment. */
const MAX_REWRITE_DELAY_MS: Millis = 250;

/** Time within which this host reads its own writes. Only then a difference shows that a late write replaced a later one. */
const SETTLING_PERIOD_MS: Millis = 3000;

/**
 * Owns the facts that this host alone writes: repeats a write until the store accepts it, and writes a fact again that
 * the store has lost in a restoration, or that an earlier write has replaced which took effect late.
 */
export class FactOwnerController extends Disposable {
  private readonly _ownFacts = new Map<string, IOwnFact>();
  private _checkTimer: IDisposable | undefined;

  /** Writes that resolve once the store has accepted the fact, or a later one in its place. */
  public readonly writers: OwnFactWriters;

  constructor(private readonly _options: IFactOwnerOptions) {
    super();
    const { board, random, store } = _options;
    this.writers = {
      writeCrashReports: (host, reports) =>
        this._publish({ kind: 'crash-reports', host, reports }, () => store.writeCrashReports(host, reports)),
      writeCrashEvidence: (report) =>
        this._publish({ kind: 'crash-evidence', report }, () => store.writeCrashEvidence(report)),
      writeHostPresence: (presence) =>
        this._publish({ kind: 'host-presence', presence }, () => store.writeHostPresence(presence)),
      writeRolloutEvidence: (evidence) =>
        this._publish({ kind: 'rollout-evidence', evidence }, () => store.writeRolloutEvidence(evidence)),
      writeReleaseBaseline: (baseline) =>
        this._publish({ kind: 'release-baseline', baseline }, () => store.writeReleaseBaseline(baseline)),
      writeSessionHolds: (holds) =>
        this._publish({ kind: 'session-holds', holds }, () => store.writeSessionHolds(holds)),
    };
    this._register(
      board.storeConnection.onChange(({ before, after }) => {
        const isRestored = before !== undefined && (after?.era ?? 0) > (before.era ?? 0);
        if (isRestored) this._scheduleCheck(MAX_REWRITE_DELAY_MS * random());
      }),
    );
    this._register(
      board.facts.onChange(({ after }) => {
        const name = after && formatOwnName(after.fact, _options.host);
        const own = name === undefined ? undefined : this._ownFacts.get(name);
        if (own && !own.isWriting && !isSameFact(own.fact, after?.fact))
          this._scheduleCheck(SETTLING_PERIOD_MS);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    this._checkTimer?.dispose();
  }

  private _publish(fact: FleetFact, write: WriteFact): Promise<Result<number, StoreError>> {
    const name = formatOwnName(fact, this._options.host) ?? fact.kind;
    const known = this._ownFacts.get(name);
    const own: IOwnFact = known ?? { fact, write, isWriting: false, waiting: [] };
    Object.assign(own, { fact, write });
    this._ownFacts.set(name, own);
    const accepted = new Promise<Result<number, StoreError>>((resolve) => own.waiting.push(resolve));
    void this._writeUntilAccepted(own);
    return accepted;
  }

  private async _writeUntilAccepted(own: IOwnFact): Promise<void> {
    if (own.isWriting) return;
    own.isWriting = true;
    for (let failures = 0; !this._isDisposed;) {
      const { fact, waiting, write } = own;
      const written = await write();
      if (written.isErr) {
        failures += 1;
        await this._waitBeforeRetry(failures);
        continue;
      }
      if (own.fact !== fact) continue;
      own.waiting = [];
      own.isWriting = false;
      for (const resolve of waiting) resolve(written);
      return;
    }
  }

  private _waitBeforeRetry(failures: number): Promise<void> {
    const { clock, random } = this._options;
    const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** (failures - 1));
    return new Promise((resolve) => void clock.schedule(maxDelayMs * (0.5 + 0.5 * random()), resolve));
  }

  private _scheduleCheck(delayMs: Millis): void {
    if (this._isDisposed) return;
    this._checkTimer?.dispose();
    this._checkTimer = this._options.clock.schedule(delayMs, this._writeLostFacts);
  }

  /** Writes those facts again that the store does not have as they are. */
  private readonly _writeLostFacts = (): void => {
    const { board } = this._options;
    const era = board.storeConnection.get('store')?.era ?? 0;
    const current = [...board.facts.list()].filter((entry) => (entry.era ?? 0) === era);
    for (const own of this._ownFacts.values())
      if (!current.some(({ fact }) => isSameFact(own.fact, fact))) void this._writeUntilAccepted(own);
  };
}

/** Formats the name under which a fact of this host is kept; `undefined` if it is not known to be of this host. */
function formatOwnName(fact: FleetFact, host: string): string | undefined {
  switch (fact.kind) {
    case 'rollout-evidence':
      return fact.evidence.host === host ? `${fact.kind}/${fact.evidence.service}` : undefined;
    case 'release-baseline':
      return fact.baseline.host === host ? `${fact.kind}/${fact.baseline.service}` : undefined;
    case 'session-holds':
      return fact.holds.host === host ? `${fact.kind}/${fact.holds.service}` : undefined;
    case 'crash-evidence':
      return fact.report.host === host ? fact.kind : undefined;
    case 'host-presence':
      return fact.presence.host === host ? fact.kind : undefined;
    default:
      return undefined;
  }
}

function isSameFact(first: FleetFact, second: FleetFact | undefined): boolean {
  return second?.kind === first.kind && formatCanonical(first) === formatCanonical(second);
}

/** Formats a value with the keys of all objects sorted: a fact that was written and read again has them in another order. */
function formatCanonical(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) =>
    typeof part === 'object' && part !== null && !Array.isArray(part)
      ? Object.fromEntries(Object.entries(part).sort(([first], [second]) => (first < second ? -1 : 1)))
      : part,
  );
}

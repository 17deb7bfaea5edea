import type { Blackboard } from '../blackboard/Blackboard.js';
import { Emitter, type Event } from '../Event.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { decideChange, decideContent } from './FactVerdicts.js';
import type { FactChange, FactVerdict, FleetFact, IFactEntry, IFactList, IRefusedChange } from './Types.js';

/** Options of the mirror of the store. */
export interface IFactMirrorOptions {
  board: Blackboard;
  clock: IClock;
}

/**
 * Time for which a fact that a restored store lacks is kept until its owner has written it again. Every host has to
 * hear of the restoration, and the owner to write.
 */
const REWRITE_PERIOD_MS: Millis = 10_000;

/**
 * What becomes of a fact that a restored store lacks: it is `kept` until its owner has written it again, or `dropped`,
 * because the controllers that read it remember what they need.
 */
type LossHandling = 'kept' | 'dropped';

const LOSS_HANDLING: Readonly<Record<FleetFact['kind'], LossHandling>> = {
  'routing-table': 'kept',
  'rollout-order': 'kept',
  'rollout-evidence': 'kept',
  'release-baseline': 'kept',
  'session-holds': 'kept',
  'crash-reports': 'kept',
  'crash-evidence': 'kept',
  'host-presence': 'kept',
  'rate-limit': 'kept',
  'zone-evacuation': 'kept',
  endpoint: 'dropped',
  'rollout-record': 'dropped',
  'prompt-trial': 'dropped',
  unreadable: 'dropped',
};

/** Facts that the operator writes. */
const ORDERED_KINDS: ReadonlySet<FleetFact['kind']> = new Set([
  'routing-table',
  'rollout-order',
  'zone-evacuation',
]);

/**
 * This host's copy of the store on the `facts` panel. It knows the era of the store, and takes or refuses each change
 * for a stated reason.
 */
export class FactMirror extends Disposable {
  private _era: number | undefined;
  /** Facts of a restored store that are older than those known, by key. They count once the owners had time to write. */
  private readonly _refusedFacts = new Map<string, IFactEntry>();
  private _rewriteTimer: IDisposable | undefined;
  private readonly _refusalEmitter = this._register(new Emitter<IRefusedChange>());

  /** Fires for each change that is refused, except those that are already known. */
  public readonly onRefused: Event<IRefusedChange> = this._refusalEmitter.event;

  constructor(private readonly _options: IFactMirrorOptions) {
    super();
  }

  public override dispose(): void {
    super.dispose();
    this._rewriteTimer?.dispose();
  }

  /** Takes over a list of all facts. Returns whether it is the first one of a later era than the one known. */
  public replaceFacts({ era = 0, facts: listed }: IFactList): boolean {
    const { facts } = this._options.board;
    const isRestored = this._era !== undefined && era > this._era;
    if (this._era !== undefined && era < this._era) return false;
    this._era = era;
    const keys = new Set(listed.map(({ key }) => key));
    for (const known of [...facts.list()]) {
      const isKept = (known.era ?? 0) < era && LOSS_HANDLING[known.fact.kind] === 'kept';
      if (!keys.has(known.key) && !isKept) facts.delete(known.key);
    }
    // The store has each of these facts, so that their revisions need not be newer than the known ones.
    // Evacuations come first, so that no endpoint of theirs is in use in between.
    const isEvacuation = ({ fact }: IFactEntry): boolean => fact.kind === 'zone-evacuation';
    for (const entry of listed.filter(isEvacuation)) this._putListed(entry, isRestored);
    for (const entry of listed) if (!isEvacuation(entry)) this._putListed(entry, isRestored);
    if (isRestored) this._scheduleRewriteEnd();
    return isRestored;
  }

  /** Applies changes in their order. */
  public applyChanges(changes: readonly FactChange[], era = 0): void {
    for (const change of changes) this._applyChange(change, era);
  }

  private _putListed(entry: IFactEntry, isRestored: boolean): void {
    const { facts } = this._options.board;
    const known = facts.get(entry.key);
    const verdict = known ? this._decideListed(known, entry, isRestored) : 'taken';
    if (verdict === 'taken') facts.set(entry.key, entry);
    else this._refuse(entry, verdict);
    if (verdict !== 'taken' && isRestored) this._refusedFacts.set(entry.key, entry);
  }

  /** Decides on a listed fact. In the copy of a restored store, an order with a lower revision is an earlier one. */
  private _decideListed(known: IFactEntry, entry: IFactEntry, isRestored: boolean): FactVerdict {
    const isOrder = known.fact.kind === 'rollout-order' && entry.fact.kind === 'rollout-order';
    if (isRestored && isOrder && entry.revision < known.revision) return 'older-era';
    return decideContent(known.fact, entry.fact);
  }

  private _applyChange(change: FactChange, era: number): void {
    const { facts } = this._options.board;
    const { key, revision } = change;
    const known = facts.get(key);
    this._refusedFacts.delete(key);
    if (change.kind === 'delete') {
      if (!known || (known.era ?? 0) < era || known.revision < revision) facts.delete(key);
      return;
    }
    const entry: IFactEntry = { key, revision, era, fact: change.fact };
    const verdict = decideChange(known, entry);
    if (verdict === 'taken') facts.set(key, entry);
    else this._refuse(entry, verdict);
  }

  private _refuse({ era = 0, key, revision }: IFactEntry, verdict: Exclude<FactVerdict, 'taken'>): void {
    if (verdict !== 'known-revision') this._refusalEmitter.fire({ key, verdict, revision, era });
  }

  private _scheduleRewriteEnd(): void {
    this._rewriteTimer?.dispose();
    this._rewriteTimer = this._options.clock.schedule(REWRITE_PERIOD_MS, this._endRewritePeriod);
  }

  /** Replaces the facts that nobody has written again since the restoration by what the store has. */
  private readonly _endRewritePeriod = (): void => {
    const { facts } = this._options.board;
    for (const known of [...facts.list()]) {
      if ((known.era ?? 0) >= (this._era ?? 0)) continue;
      const listed = this._refusedFacts.get(known.key);
      const isBinding = listed !== undefined && decideContent(known.fact, listed.fact) !== 'taken';
      // The operator withdraws none of these by a restoration; they go on until the operator writes or deletes them.
      const isOrdered = ORDERED_KINDS.has(known.fact.kind);
      if (isBinding || isOrdered) continue;
      if (listed) facts.set(listed.key, listed);
      else facts.delete(known.key);
    }
    this._refusedFacts.clear();
  };
}

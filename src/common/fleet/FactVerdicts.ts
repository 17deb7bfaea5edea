import type { FactVerdict, FleetFact, IFactEntry } from './Types.js';

/**
 * Decides on a change that the store tells against the fact that is known under its key. Revisions decide within an era.
 * After a restoration the content decides where a host is bound by what it knew: a configuration in force, the start
 * of an endpoint's process and its leaving are never taken back.
 * @example
 * decideChange(known, { ...known, revision: known.revision - 1 }); // 'known-revision'
 */
export function decideChange(known: IFactEntry | undefined, change: IFactEntry): FactVerdict {
  if (!known) return 'taken';
  const [knownEra, era] = [known.era ?? 0, change.era ?? 0];
  if (era < knownEra) return 'older-era';
  if (era === knownEra && change.revision <= known.revision) return 'known-revision';
  return decideContent(known.fact, change.fact);
}

/**
 * Decides on the content of a change against what is known, whatever their revisions are.
 * @example
 * decideContent(leaving, { ...leaving, endpoint: { ...leaving.endpoint, isLeaving: false } }); // 'already-leaving'
 */
export function decideContent(known: FleetFact, change: FleetFact): FactVerdict {
  if (change.kind === 'unreadable') return known.kind === 'unreadable' ? 'taken' : 'unreadable';
  if (known.kind === 'routing-table' && change.kind === 'routing-table')
    return change.table.version < known.table.version ? 'older-version' : 'taken';
  if (known.kind === 'endpoint' && change.kind === 'endpoint') {
    const [before, after] = [known.endpoint, change.endpoint];
    if (after.startedAt < before.startedAt) return 'older-process';
    const isSameProcess = after.startedAt === before.startedAt && after.address === before.address;
    return isSameProcess && before.isLeaving && !after.isLeaving ? 'already-leaving' : 'taken';
  }
  return 'taken';
}

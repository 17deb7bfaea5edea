import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable } from '../Lifecycle.js';

/** Puts the operator's newest routing table in force. An older version never replaces a newer one. */
export class RoutingTableController extends Disposable {
  constructor(board: Blackboard) {
    super();
    this._register(
      board.facts.onChange(({ after }) => {
        if (after?.fact.kind !== 'routing-table') return;
        const { table } = after.fact;
        const known = board.routing.get('in-force');
        if (!known || table.version > known.version) board.routing.set('in-force', table);
      }),
    );
  }
}

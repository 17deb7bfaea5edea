import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable } from '../Lifecycle.js';

/** Puts the newest routing table from the store in force. A lower version never replaces a higher one. */
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

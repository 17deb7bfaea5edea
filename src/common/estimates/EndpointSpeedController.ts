import type { Blackboard } from '../blackboard/Blackboard.js';
import { combineSpeed } from '../policy/EndpointSpeed.js';
import { Disposable } from '../Lifecycle.js';

/** Keeps the lasting speed of endpoints, in their entries, from the slowness that they report in their responses. */
export class EndpointSpeedController extends Disposable {
  constructor(board: Blackboard) {
    super();
    this._register(
      board.endpoints.onChange(({ key, before, after }) => {
        const report = after?.report;
        if (!report || report === before?.report || report.slowness === undefined) return;
        // The entry may be newer than the change.
        const known = board.endpoints.get(key)?.speed;
        if (!known && report.slowness === 1) return;
        const { receivedAt, slowness } = report;
        board.endpoints.update(key, { speed: combineSpeed(known, { receivedAt, slowness }) });
      }),
    );
  }
}

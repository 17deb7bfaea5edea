import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import { computeLastingSlowness } from '../policy/EndpointSpeed.js';
import type { IMetricsSink } from './Types.js';

/** Records how many endpoints work at another speed than the usual one, by their latest reports. */
export class SpeedMetricsController extends Disposable {
  private _unevenCount = 0;

  constructor(board: Blackboard, sink: IMetricsSink) {
    super();
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        if (before?.speed === after?.speed) return;
        const change = Number(isUneven(after)) - Number(isUneven(before));
        if (change === 0) return;
        this._unevenCount += change;
        sink.gauge('endpoints.uneven', this._unevenCount);
      }),
    );
  }
}

function isUneven(endpoint: IEndpointEntry | undefined): boolean {
  return endpoint?.speed !== undefined && computeLastingSlowness(endpoint, endpoint.speed.heardAt) !== 1;
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock } from '../Types.js';
import type { IFactEntry } from './Types.js';

/** Options of the zone evacuation controller. */
export interface IZoneEvacuationOptions {
  board: Blackboard;
  clock: IClock;
}

/**
 * Keeps the `evacuatedZones` panel equal to the evacuations in the store, and marks the endpoints of these zones. An
 * endpoint that is listed later gets the mark when its entry is created.
 */
export class ZoneEvacuationController extends Disposable {
  constructor(private readonly _options: IZoneEvacuationOptions) {
    super();
    const { board } = _options;
    this._register(
      board.facts.onChange(({ before, after }) => {
        if (after?.fact.kind === 'zone-evacuation') this._applyEvacuation(after.fact.zone, after);
        else if (before?.fact.kind === 'zone-evacuation') board.evacuatedZones.delete(before.fact.zone);
      }),
    );
    this._register(
      board.evacuatedZones.onChange(({ key }) => {
        this._markEndpoints(key);
      }),
    );
  }

  private _applyEvacuation(zone: string, { era, revision }: IFactEntry): void {
    const { board, clock } = this._options;
    // A key that is written again does not begin another evacuation.
    const since = board.evacuatedZones.get(zone)?.since ?? clock.now();
    board.evacuatedZones.set(zone, { zone, since, revision, ...(era === undefined ? {} : { era }) });
  }

  private _markEndpoints(zone: string): void {
    const { endpoints, evacuatedZones } = this._options.board;
    const isEvacuated = evacuatedZones.has(zone);
    for (const endpoint of [...endpoints.list()])
      if (endpoint.zone === zone && (endpoint.isEvacuated ?? false) !== isEvacuated)
        endpoints.update(endpoint.id, { isEvacuated });
  }
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IEndpointEntry } from '../blackboard/Types.js';
import { Disposable, type IDisposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import type { IEndpointAnnouncement } from './Types.js';
import { formatVersion } from './Versions.js';
import { UNUSED_ENDPOINT } from '../request/NewEntries.js';

/** Options of the endpoint registry. */
export interface IEndpointRegistryOptions {
  board: Blackboard;
  clock: IClock;
}

/**
 * Time after a store outage in which endpoints whose entries lapsed announce themselves again. The platform
 * promises about two seconds. An entry that is missing after it names an endpoint that is gone.
 */
const RETURN_MS: Millis = 2000;

/** Keeps the `endpoints` panel equal to what the endpoints announce in the store. */
export class EndpointRegistryController extends Disposable {
  private readonly _lapsing = new Map<string, IDisposable>();

  constructor(private readonly _options: IEndpointRegistryOptions) {
    super();
    this._register(
      _options.board.facts.onChange(({ before, after }) => {
        const announced = after?.fact.kind === 'endpoint' ? after.fact.endpoint : undefined;
        const removed = before?.fact.kind === 'endpoint' ? before.fact.endpoint : undefined;
        if (announced) this._put(announced);
        // A value that cannot be read names no endpoint; the known one stays until its entry goes.
        else if (removed && !after) this._remove(removed);
      }),
    );
  }

  public override dispose(): void {
    super.dispose();
    for (const timer of this._lapsing.values()) timer.dispose();
    this._lapsing.clear();
  }

  private _put(announced: IEndpointAnnouncement): void {
    const { board, clock } = this._options;
    this._cancelLapse(announced.id);
    const known = board.endpoints.get(announced.id);
    const isSame = known?.address === announced.address && known.incarnation === announced.startedAt;
    const entry = isSame ? known : createEntry(announced, clock.now());
    if (announced.isLeaving && entry.health !== 'leaving') {
      board.endpoints.set(announced.id, { ...entry, health: 'leaving', healthChangedAt: clock.now() });
    } else if (!isSame) board.endpoints.set(announced.id, entry);
  }

  private _remove({ id }: IEndpointAnnouncement): void {
    const { board, clock } = this._options;
    const graceMs = this._measureGrace();
    if (graceMs <= 0) {
      board.endpoints.delete(id);
      return;
    }
    this._cancelLapse(id);
    const timer = clock.schedule(graceMs, () => {
      this._lapsing.delete(id);
      board.endpoints.delete(id);
    });
    this._lapsing.set(id, timer);
  }

  /** Time that is left for endpoints to return after an outage. */
  private _measureGrace(): Millis {
    const { board, clock } = this._options;
    const feed = board.feed.get('store');
    if (!feed || feed.state === 'lost') return RETURN_MS;
    return feed.losses > 0 ? feed.changedAt + RETURN_MS - clock.now() : 0;
  }

  private _cancelLapse(id: string): void {
    this._lapsing.get(id)?.dispose();
    this._lapsing.delete(id);
  }
}

function createEntry(announced: IEndpointAnnouncement, now: Millis): IEndpointEntry {
  const { address, id, models, release, service, slots, startedAt, zone } = announced;
  const versions =
    models.length === 0
      ? [formatVersion({ service, model: undefined, release })]
      : models.map((model) => formatVersion({ service, model, release }));
  return {
    id,
    kind: models.length === 0 ? 'plain' : 'engine',
    service,
    address,
    zone,
    health: announced.isLeaving ? 'leaving' : 'healthy',
    healthChangedAt: now,
    versions,
    ...UNUSED_ENDPOINT,
    inFlightLimit: slots,
    incarnation: startedAt,
    release,
    slots,
  };
}

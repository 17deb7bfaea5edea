import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IEndpointEntry } from '../blackboard/Types.js';
import { Disposable } from '../Lifecycle.js';
import type { IClock, Millis } from '../Types.js';
import { formatUpdateKey, type PublishUpdate } from './Gossip.js';
import type { EndpointCondition, IEndpointUpdate, UpdateUrgency } from './Updates.js';

/** Options of the endpoint state controller. */
export interface IEndpointStateOptions {
  board: Blackboard;
  clock: IClock;
  publish: PublishUpdate;
}

/**
 * When an endpoint without an incarnation has returned, peers may still send updates about its previous
 * run, for as long as hosts keep updates. During this time, such updates are ignored.
 */
const STALE_UPDATE_WINDOW_MS = 60_000;

/**
 * Takes an endpoint out of use at the first sign that it is leaving: the host list, its own load
 * report, its refusal of an attempt, or a peer's update. If this host is the first to see that, it
 * publishes an urgent update. That an endpoint is `suspect` is published with the regular exchanges. A
 * peer's update with `suspect` does not change the health of the endpoint and only stays on the `gossipUpdates`
 * panel as a hint, because the fault may lie between the peer and the endpoint.
 */
export class EndpointStateController extends Disposable {
  private readonly _returnedAt = new Map<string, Millis>();

  constructor(private readonly _options: IEndpointStateOptions) {
    super();
    const { board } = _options;
    this._register(
      board.endpoints.onChange(({ before, after }) => {
        if (after) this._handleEndpoint(before, after);
      }),
    );
    this._register(
      board.attempts.onChange(({ before, after }) => {
        if (after?.phase === 'failed' && before?.phase !== 'failed') this._handleFailedAttempt(after);
      }),
    );
    this._register(
      board.gossipUpdates.onChange(({ before, after }) => {
        if (after?.update.kind !== 'endpoint' || before?.update === after.update) return;
        this._applyUpdate(after.update);
      }),
    );
    for (const endpoint of [...board.endpoints.list()]) this._handleEndpoint(undefined, endpoint);
  }

  private _handleEndpoint(before: IEndpointEntry | undefined, endpoint: IEndpointEntry): void {
    if (before?.health !== endpoint.health) {
      this._trackReturn(before, endpoint);
      this._publishHealth(endpoint);
    }
    const known = this._options.board.gossipUpdates.get(
      formatUpdateKey({ kind: 'endpoint', id: endpoint.id }),
    );
    // The update that an endpoint is leaving may arrive from a peer before the host list introduces the
    // endpoint or its new incarnation.
    if (known?.update.kind === 'endpoint') this._applyUpdate(known.update);
    if (endpoint.report?.isLeaving === true) this._markLeaving(endpoint.id);
  }

  private _handleFailedAttempt(attempt: IAttemptEntry): void {
    if (attempt.error?.kind === 'leaving') this._markLeaving(attempt.endpoint);
  }

  private _applyUpdate({ condition, id, incarnation }: IEndpointUpdate): void {
    const endpoint = this._options.board.endpoints.get(id);
    const isCurrent = endpoint !== undefined && incarnation >= (endpoint.incarnation ?? 0);
    if (condition === 'leaving' && isCurrent && !this._isInStaleUpdateWindow(id)) this._markLeaving(id);
  }

  private _trackReturn(before: IEndpointEntry | undefined, endpoint: IEndpointEntry): void {
    this._returnedAt.delete(endpoint.id);
    const wasOutOfUse = before?.health === 'leaving' || before?.health === 'gone';
    const hasStartTime = (endpoint.incarnation ?? 0) > 0;
    if (wasOutOfUse && endpoint.health === 'healthy' && !hasStartTime) {
      this._returnedAt.set(endpoint.id, this._options.clock.now());
    }
  }

  private _isInStaleUpdateWindow(id: string): boolean {
    const returnedAt = this._returnedAt.get(id);
    return returnedAt !== undefined && this._options.clock.now() - returnedAt < STALE_UPDATE_WINDOW_MS;
  }

  private _markLeaving(id: string): void {
    const { board, clock } = this._options;
    const endpoint = board.endpoints.get(id);
    if (!endpoint || endpoint.health === 'leaving' || endpoint.health === 'gone') return;
    board.endpoints.update(id, { health: 'leaving', healthChangedAt: clock.now() });
  }

  private _publishHealth({ health, id, incarnation = 0 }: IEndpointEntry): void {
    if (health === 'leaving') this._publish(id, 'leaving', incarnation, 'now');
    if (health === 'suspect') this._publish(id, 'suspect', incarnation, 'next-exchange');
  }

  private _publish(
    id: string,
    condition: EndpointCondition,
    incarnation: number,
    urgency: UpdateUrgency,
  ): void {
    this._options.publish({ kind: 'endpoint', id, condition, incarnation }, urgency);
  }
}

import { configCodec, buildEditorOptions } from '../adapters/ConfigStore.js';
import { createSendOrder } from '../adapters/EngineOrders.js';
import { createUniqueId, hashTexts } from '../adapters/Random.js';
import { createRatingClient } from '../adapters/RatingClient.js';
import { decodeRolloutReport, readRolloutProgress, writeRolloutProgress } from '../adapters/RolloutStore.js';
import { systemClock } from '../adapters/SystemClock.js';
import { createFetchVersionLoadLimit } from '../adapters/WeightStoreClient.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IRequestEntry } from '../common/blackboard/Types.js';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import type { IStore } from '../common/coordination/Types.js';
import { Disposable } from '../common/Lifecycle.js';
import { decideAcceptance } from '../common/policy/Escalations.js';
import { planByDemand } from '../common/policy/Placement.js';
import { createChooseByLearnedQuality } from '../common/policy/Plans.js';
import { decideBySequentialTest } from '../common/policy/Rollouts.js';
import { EscalationController } from '../common/request/EscalationController.js';
import type { ChooseVersion, DecideAcceptance } from '../common/request/Types.js';
import { PlacementController } from '../common/rollout/PlacementController.js';
import { formatQualityKey, listRolloutCounts } from '../common/rollout/Quality.js';
import { RatingController } from '../common/rollout/RatingController.js';
import { RolloutController } from '../common/rollout/RolloutController.js';
import { createWriteRolloutState } from '../common/rollout/RolloutIndex.js';
import type { IServiceLease, WriteRolloutState } from '../common/rollout/Types.js';
import { VersionCountsController } from '../common/rollout/VersionCountsController.js';
import type { HostSettings } from './Settings.js';

/** Options of the wiring of versions, cascades and rollouts. */
export interface IVersionsWiringOptions {
  board: Blackboard;
  store: IStore;
  settings: HostSettings;
  /**
   * Finds the lease whose holder controls the rollouts of a service and the orders to its engines;
   * `undefined` if this host does not compete for it.
   */
  findLease: (service: string) => IServiceLease | undefined;
  sendToPeer: SendToPeer;
}

/**
 * Wires the controllers for the choice of versions, cascades, ratings, rollouts and the placement of
 * versions.
 */
export class VersionsWiring extends Disposable {
  private readonly _runId = createUniqueId();
  private readonly _ratings: RatingController | undefined;
  private readonly _rollouts: RolloutController;
  private readonly _placement: PlacementController | undefined;

  public readonly chooseVersion: ChooseVersion;
  public readonly decideAcceptance: DecideAcceptance = decideAcceptance;
  public readonly hashToFraction = hashRequestPoint;

  /** Handlers of the peer calls about rollouts. */
  public readonly peerHandlers: PeerHandlers = {
    'rollout.report': (params) => {
      const service = (params as { service?: unknown } | null)?.service;
      const counts = typeof service === 'string' ? listRolloutCounts(this._options.board, service) : [];
      return Promise.resolve({ run: this._runId, counts });
    },
  };

  constructor(private readonly _options: IVersionsWiringOptions) {
    super();
    const { board, settings } = _options;
    const { ratings: address = '', weight_store: weightStore } = settings.platform;
    const ratingClient = createRatingClient({ address, source: settings.host.id, clock: systemClock });
    this.chooseVersion = createChooseByLearnedQuality({
      readQuality: (service, kind, plan) => board.quality.get(formatQualityKey(service, kind, plan)),
      isCheckAvailable: ratingClient.isCheckAvailable,
    });
    const counts = this._register(new VersionCountsController(board));
    const { hashToFraction } = this;
    this._ratings = address === '' ? undefined : this._createRatings({ ...ratingClient, hashToFraction });
    this._register(
      new EscalationController({
        board,
        decideAcceptance,
        scoreDraft: ratingClient.scoreDraft,
        onDraftScored: (request, attempt, isAccepted) => {
          counts.recordDraft(request, attempt, isAccepted);
          this._ratings?.recordDraft(request, attempt, isAccepted);
        },
      }),
    );
    this._rollouts = this._createRollouts();
    this._placement = weightStore === undefined ? undefined : this._createPlacement(weightStore);
  }

  /** Starts the controllers that run periodically. */
  public start(): void {
    this._ratings?.start();
    this._rollouts.start();
    this._placement?.start();
  }

  private _createRatings(
    ratingFunctions: Pick<
      ConstructorParameters<typeof RatingController>[0],
      'submitAnswer' | 'fetchRatings' | 'hashToFraction'
    >,
  ): RatingController {
    const { submitAnswer, fetchRatings, hashToFraction } = ratingFunctions;
    const { board } = this._options;
    return this._register(
      new RatingController({ board, clock: systemClock, submitAnswer, fetchRatings, hashToFraction }),
    );
  }

  private _createRollouts(): RolloutController {
    const { board, findLease, sendToPeer, settings, store } = this._options;
    return this._register(
      new RolloutController({
        board,
        clock: systemClock,
        host: settings.host.id,
        hostRunId: this._runId,
        findLease,
        sendToPeer,
        decodeReport: decodeRolloutReport,
        decideRollout: decideBySequentialTest,
        writeState: createWriteState(store),
        readProgress: (service, version) => readRolloutProgress(store, service, version),
        writeProgress: async (service, version, progress) => {
          const fencingToken = findLease(service)?.fencingToken();
          if (fencingToken === undefined) return;
          await writeRolloutProgress(store, service, version, { fencingToken, progress });
        },
      }),
    );
  }

  private _createPlacement(weightStore: string): PlacementController {
    const { board, findLease } = this._options;
    return this._register(
      new PlacementController({
        board,
        clock: systemClock,
        findLease,
        planPlacement: planByDemand,
        sendOrder: createSendOrder(),
        fetchLoadLimit: createFetchVersionLoadLimit(weightStore),
      }),
    );
  }
}

/**
 * Hashes a request to a fraction from 0 up to but excluding 1, independently for each purpose. Requests of
 * the same session, or without a session of the same idempotency key, get the same fraction on every host.
 */
export function hashRequestPoint(request: IRequestEntry, purpose: string): number {
  const identity = request.session ?? request.idempotencyKey ?? request.id;
  const hash = hashTexts('point', purpose, request.service, request.account, identity);
  return Number.parseInt(hash.slice(0, 12), 16) / 0x1000000000000;
}

function createWriteState(store: IStore): WriteRolloutState {
  const { encodeIndex } = buildEditorOptions(store);
  return createWriteRolloutState({ store, codec: configCodec, encodeIndex });
}

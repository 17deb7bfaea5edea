import { configCodec, buildEditorOptions } from '../adapters/ConfigStore.js';
import { createSendOrder } from '../adapters/EngineOrders.js';
import { createUniqueId, hashTexts } from '../adapters/Random.js';
import { createRatingClient } from '../adapters/RatingClient.js';
import { decodeRolloutReport, readRolloutProgress, writeRolloutProgress } from '../adapters/RolloutStore.js';
import { systemClock } from '../adapters/SystemClock.js';
import { createFetchLoadLimit } from '../adapters/WeightStoreClient.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IRequestEntry } from '../common/blackboard/Types.js';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import type { IStore } from '../common/coordination/Types.js';
import { Disposable } from '../common/Lifecycle.js';
import { decideAcceptance } from '../common/policy/Escalations.js';
import { planByDemand } from '../common/policy/Placement.js';
import { createChooseLearned } from '../common/policy/Plans.js';
import { decideBySequentialTest } from '../common/policy/Rollouts.js';
import { EscalationController } from '../common/request/EscalationController.js';
import type { ChooseVersion, DecideAcceptance } from '../common/request/Types.js';
import { PlacementController } from '../common/rollout/PlacementController.js';
import { formatQualityKey, listRolloutCounts } from '../common/rollout/Quality.js';
import { RatingController } from '../common/rollout/RatingController.js';
import { RolloutController } from '../common/rollout/RolloutController.js';
import { createWriteRolloutState } from '../common/rollout/RolloutIndex.js';
import type { IOwnerLease, WriteRolloutState } from '../common/rollout/Types.js';
import { VersionCountsController } from '../common/rollout/VersionCountsController.js';
import type { HostSettings } from './Settings.js';

/** What the wiring of versions, cascades and rollouts needs from the host. */
export interface IVersionsWiringOptions {
  board: Blackboard;
  store: IStore;
  settings: HostSettings;
  /** Lease on the rollouts and orders of a service; `undefined` while this host takes part in none. */
  findLease: (service: string) => IOwnerLease | undefined;
  sendToPeer: SendToPeer;
}

/** Wires the choice of a version, cascades, ratings, rollouts and orders to engines. */
export class VersionsWiring extends Disposable {
  private readonly _run = createUniqueId();
  private readonly _ratings: RatingController | undefined;
  private readonly _rollouts: RolloutController;
  private readonly _placement: PlacementController | undefined;

  public readonly chooseVersion: ChooseVersion;
  public readonly decideAcceptance: DecideAcceptance = decideAcceptance;
  public readonly hashPoint = hashRequestPoint;

  /** Handlers for calls of other hosts. */
  public readonly peerHandlers: PeerHandlers = {
    'rollout.report': (params) => {
      const service = (params as { service?: unknown } | null)?.service;
      const counts = typeof service === 'string' ? listRolloutCounts(this._options.board, service) : [];
      return Promise.resolve({ run: this._run, counts });
    },
  };

  constructor(private readonly _options: IVersionsWiringOptions) {
    super();
    const { board, settings } = _options;
    const { ratings: address = '', weight_store: weightStore } = settings.platform;
    const client = createRatingClient({ address, source: settings.host.id, clock: systemClock });
    this.chooseVersion = createChooseLearned({
      readQuality: (service, kind, plan) => board.quality.get(formatQualityKey(service, kind, plan)),
      isCheckAvailable: client.isCheckAvailable,
    });
    const counts = this._register(new VersionCountsController(board));
    const { hashPoint } = this;
    this._ratings = address === '' ? undefined : this._createRatings({ ...client, hashPoint });
    this._register(
      new EscalationController({
        board,
        decideAcceptance,
        scoreDraft: client.scoreDraft,
        onDraft: (request, attempt, isAccepted) => {
          counts.recordDraft(request, attempt, isAccepted);
          this._ratings?.recordDraft(request, attempt, isAccepted);
        },
      }),
    );
    this._rollouts = this._createRollouts();
    this._placement = weightStore === undefined ? undefined : this._createPlacement(weightStore);
  }

  /** Starts the controllers that work at an interval. */
  public start(): void {
    this._ratings?.start();
    this._rollouts.start();
    this._placement?.start();
  }

  private _createRatings(
    functions: Pick<
      ConstructorParameters<typeof RatingController>[0],
      'submitAnswer' | 'fetchRatings' | 'hashPoint'
    >,
  ): RatingController {
    const { submitAnswer, fetchRatings, hashPoint } = functions;
    const { board } = this._options;
    return this._register(
      new RatingController({ board, clock: systemClock, submitAnswer, fetchRatings, hashPoint }),
    );
  }

  private _createRollouts(): RolloutController {
    const { board, findLease, sendToPeer, settings, store } = this._options;
    return this._register(
      new RolloutController({
        board,
        clock: systemClock,
        host: settings.host.id,
        run: this._run,
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
        fetchLoadLimit: createFetchLoadLimit(weightStore),
      }),
    );
  }
}

/** Position of a request, 0 up to 1, for a purpose; the same on every host for a session or a key. */
export function hashRequestPoint(request: IRequestEntry, purpose: string): number {
  const identity = request.session ?? request.idempotencyKey ?? request.id;
  const hash = hashTexts('point', purpose, request.service, request.account, identity);
  return Number.parseInt(hash.slice(0, 12), 16) / 0x1000000000000;
}

function createWriteState(store: IStore): WriteRolloutState {
  const { encodeIndex } = buildEditorOptions(store);
  return createWriteRolloutState({ store, codec: configCodec, encodeIndex });
}

import { runEngineAttempt } from '../adapters/EngineClient.js';
import { createHttpAgent } from '../adapters/HttpAgent.js';
import { runPlainAttempt } from '../adapters/PlainClient.js';
import { createUniqueId, hashTexts } from '../adapters/Random.js';
import { checkReachable } from '../adapters/Reachability.js';
import { createSendSuspectMessage, createSuspectHandlers } from '../adapters/SuspectMessages.js';
import { systemClock } from '../adapters/SystemClock.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import { Disposable } from '../common/Lifecycle.js';
import { decideAdmission } from '../common/policy/Admission.js';
import { decideAnswerEnd } from '../common/policy/AnswerEnds.js';
import { createDecideRetry } from '../common/policy/Retries.js';
import { AdmissionController } from '../common/request/AdmissionController.js';
import { AnswerEndController } from '../common/request/AnswerEndController.js';
import { AttemptController } from '../common/request/AttemptController.js';
import { BillController } from '../common/request/BillController.js';
import { ClaimController } from '../common/request/ClaimController.js';
import { CleanUpController } from '../common/request/CleanUpController.js';
import { CrashController } from '../common/request/CrashController.js';
import { DeadlineController } from '../common/request/DeadlineController.js';
import { OutcomeController } from '../common/request/OutcomeController.js';
import { withBlockedRefusal, withBlockedRetry } from '../common/request/Suspects.js';
import type { DeliverChunk, RunAttempt } from '../common/request/Types.js';
import { VersionController } from '../common/request/VersionController.js';
import { encodeStoredAnswer } from './ResponseEncoding.js';
import type { JournalWiring } from './JournalWiring.js';
import { hashRequestKey, hashSessionKey } from './RequestKeys.js';
import { createRoutingPolicies, selectChooseVersion } from './Policies.js';
import { RoutingWiring } from './RoutingWiring.js';
import type { HostSettings } from './Settings.js';
import type { VersionsWiring } from './VersionsWiring.js';

/** Options of the wiring of request processing. */
export interface IRequestWiringOptions {
  board: Blackboard;
  settings: HostSettings;
  journal: JournalWiring;
  versions: VersionsWiring;
  sendToPeer: SendToPeer;
  deliverChunk: DeliverChunk;
}

const HOUR_MS = 3_600_000;

/** Wires the controllers that move a request from the phase `received` to `billed` or `refused`. */
export class RequestWiring extends Disposable {
  private readonly _agent = createHttpAgent({ connections: 256, pipelining: 1 });
  private readonly _routing: RoutingWiring;
  private readonly _crashController: CrashController;

  constructor(private readonly _options: IRequestWiringOptions) {
    super();
    this._crashController = this._register(this._createCrashController());
    this._routing = this._register(this._createRouting());
    this._registerAdmission();
    this._registerVersions();
    this._registerAttempts();
    this._register(new DeadlineController(this._commonOptions));
    this._register(new CleanUpController(_options.board));
  }

  /** Handlers of the peer calls about account limits and suspect requests. */
  public get peerHandlers(): PeerHandlers {
    const handlers = createSuspectHandlers((message) => this._crashController.handleMessage(message));
    return { ...this._routing.peerHandlers, ...handlers };
  }

  public override dispose(): void {
    super.dispose();
    void this._agent.close();
  }

  private get _commonOptions() {
    const { board, journal } = this._options;
    return { board, clock: systemClock, journal: journal.journal, readWallClock: Date.now };
  }

  private _createCrashController(): CrashController {
    const { sendToPeer, settings } = this._options;
    return new CrashController({
      ...this._commonOptions,
      host: settings.host.id,
      hashTexts,
      sendMessage: createSendSuspectMessage(sendToPeer),
      runAttempt: this._runAttempt,
    });
  }

  private _createRouting(): RoutingWiring {
    const { sendToPeer, settings } = this._options;
    const { host, policy } = settings;
    return new RoutingWiring({
      ...this._commonOptions,
      random: Math.random,
      createId: createUniqueId,
      hashTexts,
      sendToPeer,
      host: host.id,
      zone: host.zone,
      policies: createRoutingPolicies(Math.random, policy.endpoints),
    });
  }

  private _registerAdmission(): void {
    const { board, settings } = this._options;
    const isDraining = (): boolean => hasStoppedAccepting(board);
    const { takeRateShare } = this._routing;
    this._register(
      new AdmissionController({
        ...this._commonOptions,
        takeRateShare,
        isDraining,
        decideAdmission: withBlockedRefusal(board, decideAdmission),
      }),
    );
    const retentionMs = settings.journal.claim_retention_hours * HOUR_MS;
    this._register(
      new ClaimController({
        ...this._commonOptions,
        hashKey: hashRequestKey,
        retentionMs,
        holdEntries: this._options.journal.holdBill,
      }),
    );
  }

  private _registerVersions(): void {
    const { settings, versions } = this._options;
    const chooseVersion = selectChooseVersion(settings.policy.versions, versions.chooseVersion);
    const hasVersion = (version: string): boolean => this._routing.index.hasVersion(version);
    const { hashToFraction } = versions;
    this._register(
      new VersionController({
        ...this._commonOptions,
        chooseVersion,
        hashSession: hashSessionKey,
        hashToFraction,
        hasVersion,
      }),
    );
  }

  private _registerAttempts(): void {
    const { board, deliverChunk, journal, versions } = this._options;
    const { takeRetryBudget } = this._routing;
    const { decideAcceptance } = versions;
    const { runAttempt } = this._crashController;
    this._register(new AttemptController({ ...this._commonOptions, runAttempt, deliverChunk }));
    this._register(
      new AnswerEndController({ ...this._commonOptions, checkRun: checkReachable, decideAnswerEnd }),
    );
    const decideRetry = withBlockedRetry(board, createDecideRetry(Math.random));
    this._register(
      new OutcomeController({
        ...this._commonOptions,
        decideRetry,
        takeRetryBudget,
        decideAcceptance,
        claims: { journal: journal.journal, hashKey: hashRequestKey, holdEntries: journal.holdBill },
      }),
    );
    const encodeAnswer = encodeStoredAnswer;
    this._register(
      new BillController({
        ...this._commonOptions,
        hashKey: hashRequestKey,
        encodeAnswer,
        holdBill: journal.holdBill,
      }),
    );
  }

  private readonly _runAttempt: RunAttempt = (call, onPart) =>
    call.request.target.kind === 'plain'
      ? runPlainAttempt({ dispatcher: this._agent }, call, onPart)
      : runEngineAttempt({ clock: systemClock, dispatcher: this._agent }, call, onPart);
}

/**
 * Tells whether new requests are refused. In the phase `closing` the front end no longer accepts connections,
 * but requests on open connections are still served.
 */
function hasStoppedAccepting(board: Blackboard): boolean {
  const phase = board.lifecycle.get('host')?.phase;
  return phase === 'finishing' || phase === 'stopped';
}

import { createConfigCalls, createConfigHandlers, listDocumentKeys } from '../adapters/ConfigMessages.js';
import { configCodec } from '../adapters/ConfigStore.js';
import { createGossipCalls, createGossipHandlers, measureUpdate } from '../adapters/GossipMessages.js';
import type { WriteLog } from '../adapters/Logs.js';
import {
  createPeerClient,
  startPeerServer,
  type ILamportClock,
  type IPeerClient,
  type IPeerServer,
} from '../adapters/PeerRpc.js';
import { hashTexts } from '../adapters/Random.js';
import { systemClock } from '../adapters/SystemClock.js';
import type { Blackboard } from '../common/blackboard/Blackboard.js';
import { ConfigExchange } from '../common/config/ConfigExchange.js';
import { ConfigApplier } from '../common/config/ConfigApplier.js';
import { ConfigStoreReader } from '../common/config/ConfigStoreReader.js';
import { EndpointStateController } from '../common/coordination/EndpointStateController.js';
import { GossipController } from '../common/coordination/GossipController.js';
import { MembershipController } from '../common/coordination/MembershipController.js';
import type { PeerHandlers, SendToPeer } from '../common/coordination/Peers.js';
import type { IStore } from '../common/coordination/Types.js';
import { createPublishUpdate } from '../common/coordination/UpdateQueue.js';
import { Disposable } from '../common/Lifecycle.js';
import type { HostSettings } from './Settings.js';

/** Options of the wiring of membership, gossip and configuration. */
export interface IMembershipWiringOptions {
  board: Blackboard;
  store: IStore;
  settings: HostSettings;
  lamport: ILamportClock;
  log: WriteLog;
}

/** Wires membership, gossip and the distribution of the configuration to the peer protocol and the store. */
export class MembershipWiring extends Disposable {
  private readonly _client: IPeerClient;
  private _server: IPeerServer | undefined;
  private _gossip: GossipController | undefined;
  private _peerProtocolClosed: Promise<unknown> = Promise.resolve();

  constructor(private readonly _options: IMembershipWiringOptions) {
    super();
    const { board, lamport, log, settings } = _options;
    this._client = createPeerClient({
      host: settings.host.id,
      key: settings.host.peer_key,
      lamport,
      findAddress: (host) => board.hosts.get(host)?.address,
    });
    const onProblem = (message: string): void => {
      log('error', 'A configuration could not be put in force', { problem: message });
    };
    this._register(new ConfigApplier({ board, codec: configCodec, onProblem }));
    const publish = createPublishUpdate(board, systemClock.now);
    this._register(new EndpointStateController({ board, clock: systemClock, publish }));
  }

  /** Calls a method of another host. */
  public get sendToPeer(): SendToPeer {
    return this._client.send;
  }

  /** Port of the peer server; 0 before the start. */
  public get peerPort(): number {
    return this._server?.port ?? 0;
  }

  /**
   * Starts the peer server with its own and the given handlers, then starts membership, gossip and the
   * configuration reader.
   */
  public async start(handlers: PeerHandlers): Promise<void> {
    const { board, lamport, settings } = this._options;
    const { id, ip, peer_key: key, peer_port: port } = settings.host;
    // The peer server has to start first, because the controllers need its port. Its handlers therefore look
    // the controllers up when they are called.
    const controllers: { gossip?: GossipController; config?: ConfigExchange } = {};
    this._server = await startPeerServer({
      host: id,
      key,
      lamport,
      ip,
      port,
      handlers: { ...createHandlers(controllers), ...handlers },
    });
    this._createMembership(`${ip}:${this._server.port}`);
    controllers.config = this._createConfigExchange();
    controllers.gossip = this._createGossip();
    this._gossip = controllers.gossip;
    this._gossip.start();
    const reader = this._register(
      new ConfigStoreReader({
        board,
        store: this._options.store,
        clock: systemClock,
        codec: configCodec,
        random: Math.random,
        self: id,
        zone: settings.host.zone,
        computeWatcherRank: (host) => hashTexts('config-watch', host),
      }),
    );
    void reader.run();
  }

  /** Sends the pending updates, such as this host's stop, to some peers, then closes the peer protocol. */
  public async stop(): Promise<void> {
    await this._gossip?.flush();
    this.dispose();
    await this._peerProtocolClosed;
  }

  /**
   * Closes the peer protocol at once. If a stopped host still answered, its peers would consider it alive.
   */
  public override dispose(): void {
    if (this._isDisposed) return;
    super.dispose();
    this._peerProtocolClosed = Promise.all([this._server?.close(), this._client.close()]);
  }

  private _createMembership(address: string): void {
    const { id, zone } = this._options.settings.host;
    const incarnation = Math.floor(Date.now() / 1000);
    const own = { id, zone, address, incarnation };
    this._register(new MembershipController({ board: this._options.board, clock: systemClock, own }));
  }

  private _createConfigExchange(): ConfigExchange {
    const { board, settings } = this._options;
    return this._register(
      new ConfigExchange({
        board,
        clock: systemClock,
        random: Math.random,
        self: settings.host.id,
        listDocumentKeys,
        ...createConfigCalls(this._client.send),
      }),
    );
  }

  private _createGossip(): GossipController {
    const { board, settings } = this._options;
    return this._register(
      new GossipController({
        board,
        clock: systemClock,
        random: Math.random,
        self: settings.host.id,
        measureUpdate,
        ...createGossipCalls(this._client.send),
      }),
    );
  }
}

function createHandlers(controllers: { gossip?: GossipController; config?: ConfigExchange }): PeerHandlers {
  const getStartedController = <T>(controller: T | undefined): T => {
    if (controller === undefined) throw new Error('The host is starting.');
    return controller;
  };
  return {
    ...createGossipHandlers({
      handleExchange: (message) => getStartedController(controllers.gossip).handleExchange(message),
      checkHost: (target) => getStartedController(controllers.gossip).checkHost(target),
    }),
    ...createConfigHandlers({
      handlePush: (from, notice) => getStartedController(controllers.config).handlePush(from, notice),
      handleFetch: (heldKeys) => getStartedController(controllers.config).handleFetch(heldKeys),
    }),
  };
}

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
import { ConfigFeed } from '../common/config/ConfigFeed.js';
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

/** Wires what hosts know of one another, and the configuration, to the peer protocol and the store. */
export class MembershipWiring extends Disposable {
  private readonly _client: IPeerClient;
  private _server: IPeerServer | undefined;
  private _gossip: GossipController | undefined;
  private _closed: Promise<unknown> = Promise.resolve();

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
    this._register(new ConfigFeed({ board, codec: configCodec, onProblem }));
    const publish = createPublishUpdate(board, systemClock.now);
    this._register(new EndpointStateController({ board, clock: systemClock, publish }));
  }

  /** Calls a method of another host. */
  public get send(): SendToPeer {
    return this._client.send;
  }

  /** Port for other hosts; 0 before the start. */
  public get peerPort(): number {
    return this._server?.port ?? 0;
  }

  /** Starts the peer server with the handlers of all parts, then membership, gossip and configuration. */
  public async start(handlers: PeerHandlers): Promise<void> {
    const { board, lamport, settings } = this._options;
    const { id, ip, peer_key: key, peer_port: port } = settings.host;
    // The handlers exist before the controllers, which need the bound port for the host's own address.
    const parts: { gossip?: GossipController; config?: ConfigExchange } = {};
    this._server = await startPeerServer({
      host: id,
      key,
      lamport,
      ip,
      port,
      handlers: { ...createHandlers(parts), ...handlers },
    });
    this._createMembership(`${ip}:${this._server.port}`);
    parts.config = this._createConfigExchange();
    parts.gossip = this._createGossip();
    this._gossip = parts.gossip;
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
        rankWatcher: (host) => hashTexts('config-watch', host),
      }),
    );
    void reader.run();
  }

  /** Tells some peers that the host has stopped, then closes the peer protocol. */
  public async stop(): Promise<void> {
    await this._gossip?.flush();
    this.dispose();
    await this._closed;
  }

  /** Closes the peer protocol at once: a host that has stopped must not answer as if it were alive. */
  public override dispose(): void {
    if (this._isDisposed) return;
    super.dispose();
    this._closed = Promise.all([this._server?.close(), this._client.close()]);
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

function createHandlers(parts: { gossip?: GossipController; config?: ConfigExchange }): PeerHandlers {
  const getPart = <T>(part: T | undefined): T => {
    if (part === undefined) throw new Error('The host is starting.');
    return part;
  };
  return {
    ...createGossipHandlers({
      handleExchange: (message) => getPart(parts.gossip).handleExchange(message),
      checkHost: (target) => getPart(parts.gossip).checkHost(target),
    }),
    ...createConfigHandlers({
      handlePush: (from, notice) => getPart(parts.config).handlePush(from, notice),
      handleFetch: (heldKeys) => getPart(parts.config).handleFetch(heldKeys),
    }),
  };
}

import type { Agent } from 'undici';
import type { IClock, Millis } from '../common/Types.js';

/** Options of the agents of endpoints. */
export interface IEndpointAgentsOptions {
  clock: IClock;
  createAgent: () => Agent;
}

/** Time without a request after which the agent of an endpoint is closed. */
const UNUSED_MS: Millis = 60_000;

interface IUsedAgent {
  agent: Agent;
  usedAt: Millis;
}

/**
 * Agents that keep connections, one for each address, so that the connections to one endpoint can be left behind. Agents
 * that have not been used for a minute are closed.
 */
export class EndpointAgents {
  private readonly _agents = new Map<string, IUsedAgent>();
  private _checkedAt: Millis;

  constructor(private readonly _options: IEndpointAgentsOptions) {
    this._checkedAt = _options.clock.now();
  }

  /** Returns the agent of an address (`ip:port`). */
  public get(address: string): Agent {
    const now = this._options.clock.now();
    this._closeUnused(now);
    const known = this._agents.get(address);
    if (known) {
      known.usedAt = now;
      return known.agent;
    }
    const agent = this._options.createAgent();
    this._agents.set(address, { agent, usedAt: now });
    return agent;
  }

  /** Leaves the connections to an address behind: requests in progress end there, and others open new connections. */
  public renew(address: string): void {
    void this._agents.get(address)?.agent.close();
    this._agents.delete(address);
  }

  /** Closes all connections. */
  public close(): void {
    for (const { agent } of this._agents.values()) void agent.destroy();
    this._agents.clear();
  }

  private _closeUnused(now: Millis): void {
    if (now - this._checkedAt < UNUSED_MS) return;
    this._checkedAt = now;
    for (const [address, { usedAt }] of this._agents) if (now - usedAt >= UNUSED_MS) this.renew(address);
  }
}

/** State of an entry host in the membership view. */
export type HostState = 'alive' | 'suspect' | 'leaving' | 'gone';

/** State of a host, as the host itself or a peer reports it. */
export interface IHostUpdate {
  kind: 'host';
  id: string;
  /** Address of the peer port, `ip:port`. */
  address: string;
  zone: string;
  state: HostState;
  /** Incarnation that the state belongs to; a host raises its own to refute a wrong state. */
  incarnation: number;
}

/** Condition of an endpoint that hosts report to one another. */
export type EndpointCondition = 'suspect' | 'leaving';

/** Report that an endpoint is leaving or suspected to have failed. */
export interface IEndpointUpdate {
  kind: 'endpoint';
  id: string;
  condition: EndpointCondition;
  /** Grows with each start of the endpoint; 0 when the host list does not give it. */
  incarnation: number;
}

/** One update that hosts forward to one another. */
export type GossipUpdate = IHostUpdate | IEndpointUpdate;

/** `now`: pushed to several peers immediately. `next-exchange`: sent with the regular exchanges. */
export type UpdateUrgency = 'now' | 'next-exchange';

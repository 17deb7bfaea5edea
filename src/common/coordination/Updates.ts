/** State of an entry host in the membership view. */
export type HostState = 'alive' | 'suspect' | 'leaving' | 'gone';

/** What a host is said to be, by itself or by a peer. */
export interface IHostUpdate {
  kind: 'host';
  id: string;
  /** Address of the peer port, `ip:port`. */
  address: string;
  zone: string;
  state: HostState;
  incarnation: number;
}

/** Condition of an endpoint that other hosts should know of. */
export type EndpointCondition = 'suspect' | 'leaving';

/** An endpoint that is leaving or in trouble. */
export interface IEndpointUpdate {
  kind: 'endpoint';
  id: string;
  condition: EndpointCondition;
  /** Start of the endpoint as the host list gives it. */
  incarnation: number;
}

/** One update that hosts pass on to one another. */
export type GossipUpdate = IHostUpdate | IEndpointUpdate;

/** `now` is pushed to several peers at once, `next-exchange` travels with the regular exchanges. */
export type UpdateUrgency = 'now' | 'next-exchange';

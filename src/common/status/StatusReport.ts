import type { Blackboard } from '../blackboard/Blackboard.js';
import type { Millis } from '../Types.js';

/** One row of a status table: values by column name. */
export type StatusRow = Readonly<Record<string, string | number>>;

/** State of one host, for operators. Contains no keys, prompts or answers. */
export interface IStatusReport {
  host: string;
  /** Revision of the configuration in force; 0 if there is none. */
  revision: number;
  /** Time since the store last answered; -1 if it never has. */
  storeContactAgeMs: Millis;
  versions: StatusRow[];
  endpoints: StatusRow[];
  partitions: StatusRow[];
  hosts: StatusRow[];
  accounts: StatusRow[];
}

/** Builds the status report of a host from its panels. */
export function buildStatusReport(board: Blackboard, host: string, now: Millis): IStatusReport {
  const contact = board.contacts.get('store');
  return {
    host,
    revision: board.configuration.get('in-force')?.revision ?? 0,
    storeContactAgeMs: contact ? Math.round(now - contact.at) : -1,
    versions: [...board.services.list()].flatMap(({ document, name, rollouts }) =>
      Object.values(document.versions).map((version) => {
        const state = rollouts[version.name];
        return {
          service: name,
          version: version.name,
          stage: version.stage,
          verdict: state?.verdict ?? '',
          share: state?.share ?? '',
          reason: state?.reason ?? '',
        };
      }),
    ),
    endpoints: [...board.endpoints.list()].map((endpoint) => ({
      endpoint: endpoint.id,
      zone: endpoint.zone,
      health: endpoint.health,
      sinceMs: Math.round(now - endpoint.healthChangedAt),
      failures: endpoint.consecutiveFailures,
      inFlight: endpoint.inFlight,
      versions: endpoint.versions.join(' '),
    })),
    partitions: [...board.partitions.list()].map(({ epoch, owner, partition, phase }) => ({
      partition,
      phase,
      owner: owner ?? '',
      epoch,
    })),
    hosts: [...board.hosts.list()].map(({ address, id, revision, state, zone }) => ({
      host: id,
      zone,
      address,
      state,
      revision: revision ?? '',
    })),
    accounts: [...board.accounts.list()].map(({ account, inFlight, leasedRate, service }) => ({
      service,
      account,
      inFlight,
      leasedRate,
    })),
  };
}

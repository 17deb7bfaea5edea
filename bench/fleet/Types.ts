import type { IAcceptedEdit } from '../../src/common/config/ConfigEditor.js';
import type { EndpointPolicy } from '../../src/daemons/Policies.js';
import type { IEngineOptions } from '../../src/standins/engine/Types.js';
import type { IBenchDocument } from '../Documents.js';
import type { IProcess } from '../Processes.js';

/** Composition and settings of a fleet. */
export interface IFleetSpec {
  document: IBenchDocument;
  engines: readonly IEngineOptions[];
  /** How often the host list names each engine, each time as another endpoint. Default 1. */
  listingsPerEngine?: number;
  /** Number of endpoints of the plain service. */
  plainEndpoints: number;
  /** Number of hosts. */
  hosts: number;
  /** Number of availability zones. */
  zones: number;
  policy: EndpointPolicy;
  /** Folder for the CPU profiles of the hosts; without it no profiles are written. */
  profile?: string | undefined;
  /** Whether hosts write their time lines to files. Off where processor time is measured. */
  hasTimeline: boolean;
}

/** Stand-ins of the platform's services and of the endpoints. */
export interface IPlatform {
  store: IStandInProcess;
  hostList: IStandInProcess;
  engines: readonly IStandInProcess[];
  plainEndpoints: readonly IStandInProcess[];
}

/** A stand-in process and its address. */
export interface IStandInProcess extends IProcess {
  address: string;
}

/** An entry host process. */
export interface IHostProcess extends IProcess {
  id: string;
  address: string;
  /** File to which the host writes its time line, if the fleet has time lines. */
  timelineFile: string;
}

/** Stand-ins and hosts, each in its own process. */
export interface IFleet extends IPlatform {
  hosts: readonly IHostProcess[];
  /** Starts a host again after its process has ended; resolves when it listens on its ports. */
  restartHost: (index: number) => Promise<IHostProcess>;
  /** Puts a service document in force that replaces the one with the given number. */
  applyDocument: (document: IBenchDocument, baseNumber: number) => Promise<IAcceptedEdit>;
  /** Reads the number of the service document in force; `undefined` when the store does not answer. */
  readDocumentNumber: () => Promise<number | undefined>;
  /** Stops all processes and deletes their files. */
  close: () => Promise<void>;
}

/** Identity, availability zone and ports of a host, which it keeps when it is restarted. */
export interface IHostSpec {
  id: string;
  zone: string;
  port: number;
  peerPort: number;
}

import type { IAcceptedEdit } from '../../src/common/config/ConfigEditor.js';
import type { EndpointPolicy } from '../../src/daemons/Policies.js';
import type { IEngineOptions } from '../../src/standins/engine/Types.js';
import type { IBenchDocument } from '../Documents.js';
import type { IProcess } from '../Processes.js';

/** What a fleet consists of. */
export interface IFleetSpec {
  document: IBenchDocument;
  engines: readonly IEngineOptions[];
  /** How often each engine is listed, each time as another endpoint. Default 1. */
  copies?: number;
  plains: number;
  hosts: number;
  zones: number;
  policy: EndpointPolicy;
  /** Folder for processor profiles of the hosts. */
  profile?: string | undefined;
  /** Whether hosts write their time lines; off where processor time is measured. */
  hasTimeline: boolean;
}

/** Stand-ins of the platform and of the endpoints. */
export interface IPlatform {
  store: IStandInProcess;
  hostList: IStandInProcess;
  engines: readonly IStandInProcess[];
  plains: readonly IStandInProcess[];
}

/** A stand-in process and its address. */
export interface IStandInProcess extends IProcess {
  address: string;
}

/** An entry host process. */
export interface IHostProcess extends IProcess {
  id: string;
  address: string;
  /** File of the host's time line. */
  timeline: string;
}

/** Stand-ins and hosts, each a process of its own. */
export interface IFleet extends IPlatform {
  hosts: readonly IHostProcess[];
  /** Starts a host again after its process has ended; resolves when it listens. */
  startHostAgain: (index: number) => Promise<IHostProcess>;
  applyEdit: (document: IBenchDocument, baseNumber: number) => Promise<IAcceptedEdit>;
  /** Number of the document in force; `undefined` when the store does not answer. */
  readIndex: () => Promise<number | undefined>;
  close: () => Promise<void>;
}

/** Where a host runs; it keeps its ports when it is started again. */
export interface IHostPlace {
  id: string;
  zone: string;
  port: number;
  peerPort: number;
}

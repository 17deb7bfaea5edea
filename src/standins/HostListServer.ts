import { sendJson, startServer } from './HttpTools.js';
import type { IStandIn } from './Types.js';

/** One machine of the platform's list. */
export interface IListedMachine {
  id: string;
  role: 'entry-host' | 'engine' | 'plain';
  /** `ip:port` of the peer port for entry hosts, base address for endpoints. */
  address: string;
  zone: string;
  /** Plain service that the endpoint belongs to. */
  service: string;
  versions: string[];
  state: 'live' | 'leaving';
  /** Start of the machine; grows with each start. */
  incarnation?: number;
}

/** A running host-list stand-in. */
export interface IHostListStandIn extends IStandIn {
  machines: IListedMachine[];
}

/** Starts the platform's list of live and leaving machines. The test changes `machines` late on purpose. */
export async function startHostListServer(port?: number): Promise<IHostListStandIn> {
  const machines: IListedMachine[] = [];
  const server = await startServer((_request, response) => {
    sendJson(response, 200, { machines });
  }, port);
  return { ...server, machines };
}

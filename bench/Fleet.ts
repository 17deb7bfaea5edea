import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { z } from 'zod';
import { buildEditorOptions, decodeIndex, INDEX_KEY } from '../src/adapters/ConfigStore.js';
import { createHttpStore } from '../src/adapters/HttpStore.js';
import { applyEdit, type IAcceptedEdit } from '../src/common/config/ConfigEditor.js';
import type { EndpointPolicy } from '../src/daemons/Policies.js';
import type { IEngineOptions } from '../src/standins/engine/Types.js';
import type { IListedMachine } from '../src/standins/HostListServer.js';
import { BENCH_SERVICE, formatDocument, type IBenchDocument } from './Documents.js';
import { findFreePort, isReady, putJson, waitUntil } from './Http.js';
import { startProcess, type IProcess } from './Processes.js';

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
export interface IFleet {
  store: IStandInProcess;
  hostList: IStandInProcess;
  engines: readonly IStandInProcess[];
  plains: readonly IStandInProcess[];
  hosts: readonly IHostProcess[];
  /** Starts a host again after its process has ended; resolves when it listens. */
  startHostAgain: (index: number) => Promise<IHostProcess>;
  applyEdit: (document: IBenchDocument, baseNumber: number) => Promise<IAcceptedEdit>;
  /** Number of the document in force; `undefined` when the store does not answer. */
  readIndex: () => Promise<number | undefined>;
  close: () => Promise<void>;
}

interface IHostPlace {
  id: string;
  zone: string;
  port: number;
  peerPort: number;
}

const HOST_SCRIPT = fileURLToPath(new URL('../src/cli/Main.js', import.meta.url));
const STANDIN_SCRIPT = fileURLToPath(new URL('../src/standins/Main.js', import.meta.url));
const RELAY_SCRIPT = fileURLToPath(new URL('./Relay.js', import.meta.url));
const LISTENING_SCHEMA = z.object({ address: z.string() });
const READY_TIMEOUT_MS = 20_000;

/** Starts stand-ins, puts the document in force, starts the hosts and waits until they are ready. */
export async function startFleet(spec: IFleetSpec): Promise<IFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-bench-'));
  const fleet = new FleetBuilder(spec, folder);
  return fleet.start();
}

/** Starts a bare TCP relay to the address of a stand-in. */
export async function startRelay(address: string): Promise<IStandInProcess> {
  const started = await startProcess(RELAY_SCRIPT, [new URL(address).port], { log: '/dev/null' });
  return { ...started, address: LISTENING_SCHEMA.parse(started.listening).address };
}

class FleetBuilder {
  constructor(
    private readonly _spec: IFleetSpec,
    private readonly _folder: string,
  ) {}

  public async start(): Promise<IFleet> {
    const { document, engines, hosts, plains } = this._spec;
    const store = await this._startStandIn('store');
    const hostList = await this._startStandIn('host-list');
    const applyDocument = (next: IBenchDocument, baseNumber: number): Promise<IAcceptedEdit> =>
      acceptDocument(store.address, next, baseNumber);
    await applyDocument(document, 0);
    const engineProcesses = await Promise.all(
      engines.map((options) => this._startStandIn('engine', options)),
    );
    const plainProcesses = await Promise.all(
      Array.from({ length: plains }, () => this._startStandIn('plain')),
    );
    const places = await this._planHosts(hosts);
    await putJson(
      `${hostList.address}/machines`,
      this._listMachines(engineProcesses, plainProcesses, places),
    );
    const startHost = (place: IHostPlace): Promise<IHostProcess> =>
      this._startHost(place, store.address, hostList.address);
    const hostProcesses = await Promise.all(places.map(startHost));
    await Promise.all(hostProcesses.map((host) => waitUntil(() => isReady(host.address), READY_TIMEOUT_MS)));
    const startHostAgain = async (index: number): Promise<IHostProcess> => {
      const place = places[index];
      if (!place) throw new RangeError(`There is no host ${index}.`);
      const host = await startHost(place);
      hostProcesses[index] = host;
      return host;
    };
    const close = async (): Promise<void> => {
      await Promise.all(hostProcesses.map((host) => host.stop()));
      const standIns = [store, hostList, ...engineProcesses, ...plainProcesses];
      await Promise.all(standIns.map((standIn) => standIn.stop()));
      rmSync(this._folder, { recursive: true, force: true });
    };
    return {
      store,
      hostList,
      engines: engineProcesses,
      plains: plainProcesses,
      hosts: hostProcesses,
      startHostAgain,
      applyEdit: applyDocument,
      readIndex: () => readDocumentNumber(store.address),
      close,
    };
  }

  private async _startStandIn(kind: string, options: unknown = {}): Promise<IStandInProcess> {
    const log = join(this._folder, 'standins.log');
    const started = await startProcess(STANDIN_SCRIPT, [kind, '--options', JSON.stringify(options)], { log });
    return { ...started, address: LISTENING_SCHEMA.parse(started.listening).address };
  }

  private async _planHosts(count: number): Promise<IHostPlace[]> {
    const places: IHostPlace[] = [];
    for (let index = 0; index < count; index += 1) {
      const [port, peerPort] = [await findFreePort(), await findFreePort()];
      places.push({ id: `host-${index}`, zone: this._formatZone(index), port, peerPort });
    }
    return places;
  }

  private async _startHost(place: IHostPlace, store: string, hostList: string): Promise<IHostProcess> {
    const { hasTimeline, profile } = this._spec;
    const settings = join(this._folder, `${place.id}.ini`);
    const timeline = join(this._folder, `${place.id}.timeline`);
    writeFileSync(
      settings,
      formatSettings(place, store, hostList, this._spec) +
        (hasTimeline ? `[timeline]\nfile = ${timeline}\n` : ''),
    );
    const nodeOptions = profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profile}`];
    const log = join(this._folder, `${place.id}.log`);
    const started = await startProcess(HOST_SCRIPT, ['host', '--settings', settings], { log, nodeOptions });
    return { ...started, id: place.id, timeline, address: `http://127.0.0.1:${place.port}` };
  }

  private _listMachines(
    engines: readonly IStandInProcess[],
    plains: readonly IStandInProcess[],
    hosts: readonly IHostPlace[],
  ): IListedMachine[] {
    const { copies = 1, document, engines: specs } = this._spec;
    const listed = engines.flatMap(({ address }, engine) =>
      Array.from({ length: copies }, () => ({ address, versions: specs[engine]?.versions ?? [] })),
    );
    const machines: IListedMachine[] = listed.map(({ address, versions }, index) => ({
      id: `engine-${index}`,
      role: 'engine',
      address,
      zone: this._formatZone(index),
      service: BENCH_SERVICE,
      versions,
      state: 'live',
    }));
    plains.forEach(({ address }, index) => {
      const place = { zone: this._formatZone(index), service: document.plainService };
      machines.push({ id: `plain-${index}`, role: 'plain', address, ...place, versions: [], state: 'live' });
    });
    for (const { id, peerPort, zone } of hosts) {
      const address = `127.0.0.1:${peerPort}`;
      machines.push({ id, role: 'entry-host', address, zone, service: '', versions: [], state: 'live' });
    }
    return machines;
  }

  private _formatZone(index: number): string {
    return `zone-${index % this._spec.zones}`;
  }
}

async function acceptDocument(
  store: string,
  document: IBenchDocument,
  baseNumber: number,
): Promise<IAcceptedEdit> {
  const edit = {
    text: formatDocument(document),
    author: 'bench',
    editedAt: new Date().toISOString(),
    baseNumber,
  };
  const accepted = await applyEdit(buildEditorOptions(createHttpStore({ address: store })), edit);
  if (accepted.isErr) throw new Error(`An edit was not accepted: ${JSON.stringify(accepted.error)}`);
  return accepted.value;
}

async function readDocumentNumber(store: string): Promise<number | undefined> {
  const found = await createHttpStore({ address: store }).get(INDEX_KEY);
  return found.isOk && found.value ? decodeIndex(found.value.value).services[BENCH_SERVICE] : undefined;
}

function formatSettings(place: IHostPlace, store: string, hostList: string, spec: IFleetSpec): string {
  return `[host]
id = ${place.id}
zone = ${place.zone}
port = ${place.port}
peer_port = ${place.peerPort}
peer_key = a-shared-key-of-the-bench
[platform]
store = ${store}
host_list = ${hostList}
[logs]
level = warn
[policy]
endpoints = ${spec.policy}
`;
}

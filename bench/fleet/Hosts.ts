import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { findFreePort } from '../../src/standins/HttpTools.js';
import { startProcess } from '../Processes.js';
import { formatZone } from './Machines.js';
import type { IFleetSpec, IHostPlace, IHostProcess, IPlatform } from './Types.js';

const HOST_SCRIPT = fileURLToPath(new URL('../../src/cli/Main.js', import.meta.url));

/** Chooses ports and availability zones of the hosts. */
export async function planHosts(spec: IFleetSpec): Promise<IHostPlace[]> {
  const places: IHostPlace[] = [];
  for (let index = 0; index < spec.hosts; index += 1) {
    const [port, peerPort] = [await findFreePort(), await findFreePort()];
    places.push({ id: `host-${index}`, zone: formatZone(spec, index), port, peerPort });
  }
  return places;
}

/** Starts a host daemon; resolves when it listens. */
export async function startHost(
  place: IHostPlace,
  platform: IPlatform,
  spec: IFleetSpec,
  folder: string,
): Promise<IHostProcess> {
  const settings = join(folder, `${place.id}.ini`);
  const timeline = join(folder, `${place.id}.timeline`);
  const timelineText = spec.hasTimeline ? `[timeline]\nfile = ${timeline}\n` : '';
  writeFileSync(settings, formatSettings(place, platform, spec) + timelineText);
  const nodeOptions = spec.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${spec.profile}`];
  const log = join(folder, `${place.id}.log`);
  const started = await startProcess(HOST_SCRIPT, ['host', '--settings', settings], { log, nodeOptions });
  return { ...started, id: place.id, timeline, address: `http://127.0.0.1:${place.port}` };
}

function formatSettings(place: IHostPlace, platform: IPlatform, spec: IFleetSpec): string {
  return `[host]
id = ${place.id}
zone = ${place.zone}
port = ${place.port}
peer_port = ${place.peerPort}
peer_key = a-shared-key-of-the-bench
[platform]
store = ${platform.store.address}
host_list = ${platform.hostList.address}
[logs]
level = warn
[policy]
endpoints = ${spec.policy}
`;
}

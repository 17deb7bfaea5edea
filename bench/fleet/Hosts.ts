import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { findFreePort } from '../../src/standins/HttpTools.js';
import { startProcess } from '../Processes.js';
import { formatZone } from './Machines.js';
import type { IFleetSpec, IHostSpec, IHostProcess, IPlatform } from './Types.js';

const HOST_SCRIPT = fileURLToPath(new URL('../../src/cli/Main.js', import.meta.url));

/** Chooses the ports and the availability zone of each host. */
export async function planHosts(spec: IFleetSpec): Promise<IHostSpec[]> {
  const hostSpecs: IHostSpec[] = [];
  for (let index = 0; index < spec.hosts; index += 1) {
    const [port, peerPort] = [await findFreePort(), await findFreePort()];
    hostSpecs.push({ id: `host-${index}`, zone: formatZone(spec, index), port, peerPort });
  }
  return hostSpecs;
}

/** Starts a host daemon; resolves when it listens on its ports. */
export async function startHost(
  hostSpec: IHostSpec,
  platform: IPlatform,
  spec: IFleetSpec,
  folder: string,
): Promise<IHostProcess> {
  const settingsFile = join(folder, `${hostSpec.id}.ini`);
  const timelineFile = join(folder, `${hostSpec.id}.timeline`);
  const timelineSection = spec.hasTimeline ? `[timeline]\nfile = ${timelineFile}\n` : '';
  writeFileSync(settingsFile, formatSettings(hostSpec, platform, spec) + timelineSection);
  const nodeOptions = spec.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${spec.profile}`];
  const logFile = join(folder, `${hostSpec.id}.log`);
  const started = await startProcess(HOST_SCRIPT, ['host', '--settings', settingsFile], {
    logFile,
    nodeOptions,
  });
  return { ...started, id: hostSpec.id, timelineFile, address: `http://127.0.0.1:${hostSpec.port}` };
}

function formatSettings(hostSpec: IHostSpec, platform: IPlatform, spec: IFleetSpec): string {
  return `[host]
id = ${hostSpec.id}
zone = ${hostSpec.zone}
port = ${hostSpec.port}
peer_port = ${hostSpec.peerPort}
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

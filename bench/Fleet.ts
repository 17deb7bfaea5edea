import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { applyDocument, readDocumentNumber } from './fleet/Edits.js';
import { planHosts, startHost } from './fleet/Hosts.js';
import { listMachines } from './fleet/Machines.js';
import { startPlatform } from './fleet/StandIns.js';
import type { IFleet, IFleetSpec } from './fleet/Types.js';
import { isReady, putJson, waitUntil } from './Http.js';

const READY_TIMEOUT_MS = 20_000;

/** Starts stand-ins, puts the service document in force, starts hosts and waits until they are ready. */
export async function startFleet(spec: IFleetSpec): Promise<IFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-bench-'));
  const platform = await startPlatform(spec, folder);
  const { engines, hostList, plainEndpoints, store } = platform;
  await applyDocument(store.address, spec.document, 0);
  const hostSpecs = await planHosts(spec);
  await putJson(`${hostList.address}/machines`, listMachines(spec, platform, hostSpecs));
  const hosts = await Promise.all(hostSpecs.map((hostSpec) => startHost(hostSpec, platform, spec, folder)));
  await Promise.all(hosts.map((host) => waitUntil(() => isReady(host.address), READY_TIMEOUT_MS)));
  return {
    ...platform,
    hosts,
    restartHost: async (index) => {
      const hostSpec = hostSpecs[index];
      if (!hostSpec) throw new RangeError(`The fleet has no host with index ${index}.`);
      const host = await startHost(hostSpec, platform, spec, folder);
      hosts[index] = host;
      return host;
    },
    applyDocument: (document, baseNumber) => applyDocument(store.address, document, baseNumber),
    readDocumentNumber: () => readDocumentNumber(store.address),
    close: async () => {
      await Promise.all(hosts.map((host) => host.stop()));
      await Promise.all([store, hostList, ...engines, ...plainEndpoints].map((standIn) => standIn.stop()));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

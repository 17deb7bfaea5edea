import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { acceptDocument, readDocumentNumber } from './fleet/Edits.js';
import { planHosts, startHost } from './fleet/Hosts.js';
import { listMachines } from './fleet/Machines.js';
import { startPlatform } from './fleet/StandIns.js';
import type { IFleet, IFleetSpec } from './fleet/Types.js';
import { isReady, putJson, waitUntil } from './Http.js';

const READY_TIMEOUT_MS = 20_000;

/** Starts stand-ins, puts the document in force, starts the hosts and waits until they are ready. */
export async function startFleet(spec: IFleetSpec): Promise<IFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'mulberryweir-bench-'));
  const platform = await startPlatform(spec, folder);
  const { engines, hostList, plains, store } = platform;
  await acceptDocument(store.address, spec.document, 0);
  const places = await planHosts(spec);
  await putJson(`${hostList.address}/machines`, listMachines(spec, platform, places));
  const hosts = await Promise.all(places.map((place) => startHost(place, platform, spec, folder)));
  await Promise.all(hosts.map((host) => waitUntil(() => isReady(host.address), READY_TIMEOUT_MS)));
  return {
    ...platform,
    hosts,
    startHostAgain: async (index) => {
      const place = places[index];
      if (!place) throw new RangeError(`There is no host ${index}.`);
      const host = await startHost(place, platform, spec, folder);
      hosts[index] = host;
      return host;
    },
    applyEdit: (document, baseNumber) => acceptDocument(store.address, document, baseNumber),
    readIndex: () => readDocumentNumber(store.address),
    close: async () => {
      await Promise.all(hosts.map((host) => host.stop()));
      await Promise.all([store, hostList, ...engines, ...plains].map((standIn) => standIn.stop()));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

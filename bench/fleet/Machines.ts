import type { IListedMachine } from '../../src/standins/HostListServer.js';
import { BENCH_SERVICE } from '../Documents.js';
import type { IFleetSpec, IHostSpec, IPlatform } from './Types.js';

/** Builds the platform's list of engines, endpoints of the plain service, and hosts. */
export function listMachines(
  spec: IFleetSpec,
  platform: IPlatform,
  hosts: readonly IHostSpec[],
): IListedMachine[] {
  const { listingsPerEngine = 1, document, engines: engineOptions } = spec;
  const listedEngines = platform.engines.flatMap(({ address }, engine) =>
    Array.from({ length: listingsPerEngine }, () => ({
      address,
      versions: engineOptions[engine]?.versions ?? [],
    })),
  );
  const machines: IListedMachine[] = listedEngines.map(({ address, versions }, index) => ({
    id: `engine-${index}`,
    role: 'engine',
    address,
    zone: formatZone(spec, index),
    service: BENCH_SERVICE,
    versions,
    state: 'live',
  }));
  platform.plainEndpoints.forEach(({ address }, index) => {
    const location = { zone: formatZone(spec, index), service: document.plainService };
    machines.push({ id: `plain-${index}`, role: 'plain', address, ...location, versions: [], state: 'live' });
  });
  for (const { id, peerPort, zone } of hosts) {
    const address = `127.0.0.1:${peerPort}`;
    machines.push({ id, role: 'entry-host', address, zone, service: '', versions: [], state: 'live' });
  }
  return machines;
}

/** Returns the availability zone of a machine; machines are assigned to the zones in turn. */
export function formatZone(spec: IFleetSpec, index: number): string {
  return `zone-${index % spec.zones}`;
}

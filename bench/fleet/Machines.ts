import type { IListedMachine } from '../../src/standins/HostListServer.js';
import { BENCH_SERVICE } from '../Documents.js';
import type { IFleetSpec, IHostPlace, IPlatform } from './Types.js';

/** Lists engines, plain services and hosts as the platform does. */
export function listMachines(
  spec: IFleetSpec,
  platform: IPlatform,
  hosts: readonly IHostPlace[],
): IListedMachine[] {
  const { copies = 1, document, engines: specs } = spec;
  const listed = platform.engines.flatMap(({ address }, engine) =>
    Array.from({ length: copies }, () => ({ address, versions: specs[engine]?.versions ?? [] })),
  );
  const machines: IListedMachine[] = listed.map(({ address, versions }, index) => ({
    id: `engine-${index}`,
    role: 'engine',
    address,
    zone: formatZone(spec, index),
    service: BENCH_SERVICE,
    versions,
    state: 'live',
  }));
  platform.plains.forEach(({ address }, index) => {
    const place = { zone: formatZone(spec, index), service: document.plainService };
    machines.push({ id: `plain-${index}`, role: 'plain', address, ...place, versions: [], state: 'live' });
  });
  for (const { id, peerPort, zone } of hosts) {
    const address = `127.0.0.1:${peerPort}`;
    machines.push({ id, role: 'entry-host', address, zone, service: '', versions: [], state: 'live' });
  }
  return machines;
}

/** Spreads machines over the availability zones in turn. */
export function formatZone(spec: IFleetSpec, index: number): string {
  return `zone-${index % spec.zones}`;
}

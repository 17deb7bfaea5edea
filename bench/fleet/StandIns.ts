import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as z from 'zod';
import { startProcess } from '../Processes.js';
import type { IFleetSpec, IPlatform, IStandInProcess } from './Types.js';

type StandInKind = 'engine' | 'plain' | 'store' | 'host-list';

const STANDIN_SCRIPT = fileURLToPath(new URL('../../src/standins/Main.js', import.meta.url));
const RELAY_SCRIPT = fileURLToPath(new URL('../Relay.js', import.meta.url));
const STARTUP_MESSAGE_SCHEMA = z.object({ address: z.string() });

/** Starts the stand-ins of the store, the host list and the endpoints, each in its own process. */
export async function startPlatform(spec: IFleetSpec, folder: string): Promise<IPlatform> {
  const [store, hostList] = await Promise.all([
    startStandIn('store', folder),
    startStandIn('host-list', folder),
  ]);
  const engines = await Promise.all(spec.engines.map((options) => startStandIn('engine', folder, options)));
  const plainEndpoints = await Promise.all(
    Array.from({ length: spec.plainEndpoints }, () => startStandIn('plain', folder)),
  );
  return { store, hostList, engines, plainEndpoints };
}

/** Starts a TCP relay to the address of a stand-in. */
export async function startRelay(address: string): Promise<IStandInProcess> {
  const started = await startProcess(RELAY_SCRIPT, [new URL(address).port], { logFile: '/dev/null' });
  return { ...started, address: STARTUP_MESSAGE_SCHEMA.parse(started.startupMessage).address };
}

async function startStandIn(
  kind: StandInKind,
  folder: string,
  options: unknown = {},
): Promise<IStandInProcess> {
  const logFile = join(folder, 'standins.log');
  const started = await startProcess(STANDIN_SCRIPT, [kind, '--options', JSON.stringify(options)], {
    logFile,
  });
  return { ...started, address: STARTUP_MESSAGE_SCHEMA.parse(started.startupMessage).address };
}

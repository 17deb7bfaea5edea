import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { fileURLToPath } from 'node:url';
import * as z from 'zod';
import { createOpenTunnel } from '../../src/adapters/Tunnels.js';
import { waitFor } from '../../src/standins/HttpTools.js';
import { startProcess, type IProcess } from '../Processes.js';
import type { IPoint } from './Types.js';

/** Tunnels through one relay, and the events that they carry together. */
export interface ITunnelLoad {
  tunnels: number;
  eventsPerSecond: number;
}

const RELAY_SCRIPT = fileURLToPath(new URL('../TunnelRelay.js', import.meta.url));
const STARTUP_MESSAGE_SCHEMA = z.object({ address: z.string() });

/** Size of an event of a stream with its line of the chunk encoding. */
const EVENT = Buffer.alloc(150, 'x');
const TICK_MS = 10;
const WARM_UP_MS = 2000;
const MEASURE_MS = 5000;

/** Measures processor time and memory of a relay whose tunnels carry events from an endpoint. */
export async function measureTunnels(load: ITunnelLoad, x: number): Promise<IPoint> {
  const relay = await startProcess(RELAY_SCRIPT, [], { logFile: '/dev/stderr' });
  const endpoint = await startEndpoint();
  const sockets = await openTunnels(relay, endpoint.server, load.tunnels);
  const timer = setInterval(() => {
    endpoint.sendEvents((load.eventsPerSecond * TICK_MS) / 1000);
  }, TICK_MS);
  await waitFor(WARM_UP_MS);
  const before = relay.readUsage();
  const startedAt = performance.now();
  await waitFor(MEASURE_MS);
  const after = relay.readUsage();
  const seconds = (performance.now() - startedAt) / 1000;
  clearInterval(timer);
  for (const socket of sockets) socket.destroy();
  endpoint.server.close();
  await relay.stop();
  return {
    x,
    cpuMs: (after.cpuMs - before.cpuMs) / seconds,
    megabytes: after.residentBytes / 1_048_576,
  };
}

async function openTunnels(relay: IProcess, server: Server, count: number): Promise<Socket[]> {
  const { address } = STARTUP_MESSAGE_SCHEMA.parse(relay.startupMessage);
  const { port } = server.address() as AddressInfo;
  const openTunnel = createOpenTunnel({ host: 'host-1', ip: '127.0.0.1' });
  const sockets: Socket[] = [];
  for (let index = 0; index < count; index += 1) {
    const opened = await openTunnel(address, `127.0.0.1:${port}`);
    if (opened.isErr) throw new Error(`A tunnel could not be opened: ${opened.error}.`);
    opened.value.on('error', () => undefined).resume();
    sockets.push(opened.value);
  }
  return sockets;
}

/** Starts an endpoint that sends events over its connections by turns. */
async function startEndpoint(): Promise<{ server: Server; sendEvents: (count: number) => void }> {
  const callers: Socket[] = [];
  const server = createServer({ noDelay: true }, (caller) => {
    caller.on('error', () => undefined).resume();
    callers.push(caller);
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  let sent = 0;
  let due = 0;
  const sendEvents = (count: number): void => {
    for (due += count; sent < due; sent += 1) callers[sent % callers.length]?.write(EVENT);
  };
  return { server, sendEvents };
}

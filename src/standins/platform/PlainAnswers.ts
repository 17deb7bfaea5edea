import type { ServerResponse } from 'node:http';
import { sendThenCut, type ConnectionCut } from '../RawServer.js';
import { buildRunnerHeaders, type IRunnerCall } from './ScriptedRunner.js';

/** Sends a plain answer with neither length nor chunks and ends its connection. */
export function sendUnmarkedAnswer(
  call: IRunnerCall,
  { socket }: ServerResponse,
  text: string,
  { cut = 'fin', status = 200 }: { cut?: ConnectionCut; status?: number } = {},
): void {
  const headers = Object.entries(buildRunnerHeaders(call)).map(([name, value]) => `${name}: ${value}`);
  const head = [`HTTP/1.1 ${status} Status`, ...headers, '\r\n'].join('\r\n');
  if (socket) void sendThenCut(socket, head + text, cut);
}

/** Sends calls whose answers show a host that the endpoints of plain calls mark no ends. */
export async function sendWarmUpCalls(send: (path: string) => Promise<unknown>): Promise<void> {
  for (let index = 1; index <= 3; index += 1) await send(`/look/learn-${index}`);
}

import type { ServerResponse } from 'node:http';
import type { IEngineRun } from './Types.js';

/** Opens the event stream of a run on a connection. */
export function attachResponse(run: IEngineRun, response: ServerResponse, report: unknown): void {
  run.response = response;
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-load-report': JSON.stringify(report) });
  response.flushHeaders();
  response.on('close', () => {
    if (run.response === response) run.response = undefined;
  });
}

/** Writes one token of a run. */
export function writeToken(run: IEngineRun, index: number): void {
  const content = `${index === 0 ? '' : ' '}${run.version}-${index}`;
  writeEvent(run, [{ index: 0, delta: { content }, finish_reason: null }], {});
}

/** Writes the end of a run with its usage. */
export function writeEnd(run: IEngineRun): void {
  const usage = {
    prompt_tokens: run.promptTokens,
    completion_tokens: run.length,
    total_tokens: run.promptTokens + run.length,
  };
  writeEvent(run, [{ index: 0, delta: {}, finish_reason: 'stop' }], { usage });
  run.response?.end('data: [DONE]\n\n');
}

function writeEvent(run: IEngineRun, choices: unknown, more: object): void {
  const event = { id: run.id, object: 'chat.completion.chunk', model: run.version, choices, ...more };
  run.response?.write(`data: ${JSON.stringify(event)}\n\n`);
}

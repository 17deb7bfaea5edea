import type { ServerResponse } from 'node:http';
import type { IEngineRun } from './Types.js';

/** Starts an event stream on `response`, with a load report in its headers, and makes it the stream of the run. */
export function attachResponse(run: IEngineRun, response: ServerResponse, loadReport: unknown): void {
  run.response = response;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-load-report': JSON.stringify(loadReport),
  });
  response.flushHeaders();
  response.on('close', () => {
    if (run.response === response) run.response = undefined;
  });
}

/** Writes the event of one token if the run has an open stream. */
export function writeToken(run: IEngineRun, index: number): void {
  const content = `${index === 0 ? '' : ' '}${run.version}-${index}`;
  writeEvent(run, [{ index: 0, delta: { content }, finish_reason: null }], {});
}

/** Writes the finish reason and the token usage of a run, then ends its stream. */
export function writeEnd(run: IEngineRun): void {
  const usage = {
    prompt_tokens: run.promptTokens,
    completion_tokens: run.outputTokens,
    total_tokens: run.promptTokens + run.outputTokens,
  };
  writeEvent(run, [{ index: 0, delta: {}, finish_reason: 'stop' }], { usage });
  run.response?.end('data: [DONE]\n\n');
}

function writeEvent(run: IEngineRun, choices: unknown, extraFields: object): void {
  const event = { id: run.id, object: 'chat.completion.chunk', model: run.version, choices, ...extraFields };
  run.response?.write(`data: ${JSON.stringify(event)}\n\n`);
}

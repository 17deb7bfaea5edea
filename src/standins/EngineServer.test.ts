import test from 'ava';
import { request as sendRequest } from 'undici';
import { startEngineServer } from './EngineServer.js';

test('the engine stand-in serves high priority first and shortens the prefill of a cached prefix', async (t) => {
  const engine = await startEngineServer({
    versions: ['small-1'],
    batchSize: 1,
    stepMs: 1,
    prefillMs: 0,
    prefillTokenMs: 0.5,
  });
  const measureRequestMs = async (id: string, priority: string, prompt: string): Promise<number> => {
    const startedAt = performance.now();
    const reply = await sendRequest(`${engine.address}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'x-run-id': id, 'x-priority': priority },
      body: JSON.stringify({
        model: 'small-1',
        max_tokens: 3,
        user: id,
        messages: [{ role: 'user', content: prompt }],
      }),
    });
    await reply.body.dump();
    return performance.now() - startedAt;
  };
  const prompt = 'x'.repeat(2100);
  const coldMs = await measureRequestMs('cold', 'normal', prompt);
  const warmMs = await measureRequestMs('warm', 'normal', prompt);
  const firstRequest = measureRequestMs('first', 'low', 'a new prompt '.repeat(100));
  // Wait until `firstRequest` fills the batch, so that the other three requests queue behind it.
  await new Promise((resolve) => setTimeout(resolve, 20));
  await Promise.all([
    firstRequest,
    measureRequestMs('low', 'low', 'x'),
    measureRequestMs('high', 'high', 'x'),
    measureRequestMs('normal', 'normal', 'x'),
  ]);
  t.true(warmMs < coldMs / 2, `cold ${coldMs}, warm ${warmMs}`);
  t.snapshot({ finished: engine.records.finished, tokens: engine.records.tokens });
  await engine.close();
});

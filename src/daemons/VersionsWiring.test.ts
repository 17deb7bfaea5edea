import test from 'ava';
import { request as sendRequest } from 'undici';
import { buildEditorOptions } from '../adapters/ConfigStore.js';
import { createHttpStore } from '../adapters/HttpStore.js';
import { hashAccountKey } from '../adapters/Random.js';
import { applyEdit } from '../common/config/ConfigEditor.js';
import { startEngineServer } from '../standins/EngineServer.js';
import { startHostListServer } from '../standins/HostListServer.js';
import { startKeyValueServer } from '../standins/KeyValueServer.js';
import { startRatingServer } from '../standins/RatingServer.js';
import { EntryHost } from './EntryHost.js';
import { parseSettings } from './Settings.js';

const DOCUMENT = `[service]
name = deposits
quality_target = 0.9
bills_drafts = yes
draft_check_ms = 10000
exploration_share = 0

[version small-1]
model = small
stage = stable
price_per_1k_tokens = 0.2
expected_quality = 0.8

[version large-1]
model = large
stage = stable
price_per_1k_tokens = 2
expected_quality = 0.97

[account depot-north]
key_sha256 = ${hashAccountKey('a-key')}
versions = small-1, large-1
`;

interface IReply {
  status: number;
  model: string | undefined;
}

async function sendChat(address: string, content: string, isStreaming: boolean): Promise<IReply> {
  const messages = [{ role: 'user', content }];
  const reply = await sendRequest(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer a-key', 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'auto', messages, max_tokens: 4, stream: isStreaming }),
  });
  const text = await reply.body.text();
  return { status: reply.statusCode, model: /"model":"([^"]+)"/.exec(text)?.[1] };
}

async function waitUntilReady(address: string): Promise<void> {
  for (;;) {
    const health = await sendRequest(`${address}/health`);
    await health.body.dump();
    if (health.statusCode === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

// Tests a cascade from the caller to the bill: each request gets one answer and one bill. No draft is run for
// streams or while the rating service cannot score drafts.
test('a host escalates rejected drafts and bills the request once', async (t) => {
  const store = await startKeyValueServer();
  const hostList = await startHostListServer();
  const small = await startEngineServer({ versions: ['small-1'], stepMs: 1, prefillMs: 1 });
  const large = await startEngineServer({ versions: ['large-1'], stepMs: 1, prefillMs: 1 });
  let isDraftGood = true;
  const ratings = await startRatingServer({
    isGood: ({ version }) => version === 'large-1' || isDraftGood,
    random: () => 0.5,
  });
  for (const [id, engine] of Object.entries({ 'small-1': small, 'large-1': large })) {
    const { address } = engine;
    const common = { role: 'engine', zone: 'a', service: 'deposits', state: 'live' } as const;
    hostList.machines.push({ ...common, id, address, versions: [id] });
  }
  const edit = { text: DOCUMENT, author: 'test', editedAt: '2026-12-04T00:00:00Z', baseNumber: 0 };
  t.true((await applyEdit(buildEditorOptions(createHttpStore({ address: store.address })), edit)).isOk);
  const settings = parseSettings(`[host]\nid = host-1\nzone = a\nport = 0\npeer_port = 0
peer_key = a-shared-key-of-hosts\n[platform]\nstore = ${store.address}\nhost_list = ${hostList.address}
ratings = ${ratings.address}\n`);
  if (settings.isErr) throw new Error(settings.error);
  const host = new EntryHost({ settings: settings.value, log: () => undefined, writeEvent: () => undefined });
  // A teardown also runs if an assertion fails; a running host would prevent the test process from exiting.
  t.teardown(async () => {
    await host.stop();
    await Promise.all([store, hostList, small, large, ratings].map((standIn) => standIn.close()));
  });
  const address = `http://127.0.0.1:${await host.start()}`;
  await waitUntilReady(address);
  const accepted = await sendChat(address, 'tag a note', false);
  isDraftGood = false;
  const escalated = await sendChat(address, 'tag a note', false);
  const streamed = await sendChat(address, 'tag a note', true);
  ratings.faults.isDown = true;
  const notScored = await sendChat(address, 'tag a note', false);
  const whilePaused = await sendChat(address, 'tag a note', false);
  t.snapshot({
    replies: { accepted, escalated, streamed, notScored, whilePaused },
    runs: { small: small.records.runs.length, large: large.records.runs.length },
    totals: host.listBillTotals(),
  });
});

import { request as sendRequest } from 'undici';
import type { CommandModule } from 'yargs';
import { DEFAULT_AGENT } from '../../adapters/HttpAgent.js';
import { readLimitedText } from '../../adapters/LimitedBody.js';
import { createLog } from '../../adapters/Logs.js';
import { filterEvents, mergeEvents } from '../../common/timeline/Merge.js';
import type { ITimelineEvent } from '../../common/timeline/Types.js';
import { EntryHost } from '../../daemons/EntryHost.js';
import { parseSettings } from '../../daemons/Settings.js';
import { DEMO_ACCOUNT_KEY } from '../quickstart/Documents.js';
import { startDemoPlatform, type IDemoPlatform } from '../quickstart/Platform.js';
import { renderTimelineText } from '../timeline/TextRenderer.js';

/** Largest answer that is printed. */
const MAX_ANSWER_BYTES = 1_048_576;

/**
 * `mulberryweir quickstart`: starts two hosts, and stand-ins for the store, the host list and the endpoints,
 * in one process, and sends the hosts a few requests.
 */
export const quickstartCommand: CommandModule = {
  command: 'quickstart',
  describe: 'Start two hosts and stand-ins, send a few requests, print answers, bills and one timeline',
  handler: async () => {
    const platform = await startDemoPlatform();
    const events: ITimelineEvent[] = [];
    const hosts = ['host-1', 'host-2'].map((id) => createDemoHost(platform, id, events));
    const ports: number[] = [];
    for (const host of hosts) {
      ports.push(await host.start());
      platform.addHost(`host-${ports.length}`, `127.0.0.1:${host.peerPort}`);
    }
    for (const port of ports) await waitUntilReady(port);
    const [firstPort = 0, secondPort = 0] = ports;
    await sendDemoRequests(`http://127.0.0.1:${firstPort}`, `http://127.0.0.1:${secondPort}`);
    printSection('Bills by host');
    for (const host of hosts) for (const total of host.listBillTotals()) printLine(JSON.stringify(total));
    printSection('Timeline of one request');
    printLine(renderTimelineText(selectEventsOfLastRequest(events)));
    for (const host of hosts) await host.stop();
    await platform.close();
  },
};

/** Selects the events of the request that was claimed last; the events of all are too many to read. */
function selectEventsOfLastRequest(events: readonly ITimelineEvent[]): ITimelineEvent[] {
  const merged = mergeEvents([events]);
  const lastClaim = merged.filter(({ kind }) => kind === 'request.claimed').at(-1);
  return filterEvents(merged, { request: String(lastClaim?.fields.request) });
}

function createDemoHost(platform: IDemoPlatform, id: string, events: ITimelineEvent[]): EntryHost {
  const text = `[host]\nid = ${id}\nzone = zone-a\nport = 0\npeer_port = 0\npeer_key = quickstart-peer-key\n
[limits]\ndrain_grace_ms = 0

[platform]\nstore = ${platform.storeAddress}\nhost_list = ${platform.hostListAddress}\n`;
  const settings = parseSettings(text);
  if (settings.isErr) throw new Error(settings.error);
  return new EntryHost({
    settings: settings.value,
    log: createLog(id, 'warn'),
    writeEvent: (event) => events.push(event),
  });
}

async function waitUntilReady(port: number): Promise<void> {
  for (;;) {
    const response = await sendRequest(`http://127.0.0.1:${port}/health`);
    await response.body.dump();
    if (response.statusCode === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

async function sendDemoRequests(address: string, otherAddress: string): Promise<void> {
  printSection('Answers');
  const chat = {
    model: 'auto',
    max_tokens: 8,
    messages: [{ role: 'user', content: 'Read the manifest of depot north.' }],
  };
  await sendAndPrint('whole answer', address, '/v1/chat/completions', chat);
  await sendAndPrint('streamed answer', address, '/v1/chat/completions', { ...chat, stream: true });
  await sendAndPrint('session', address, '/v1/chat/completions', chat, {
    'x-mulberryweir-session': 'landlord-7',
  });
  await sendAndPrint('session again at the other host', otherAddress, '/v1/chat/completions', chat, {
    'x-mulberryweir-session': 'landlord-7',
  });
  const refund = { pub: 'the-anchor', amount: 30 };
  const headers = { 'idempotency-key': 'refund-the-anchor-1' };
  await sendAndPrint('refund', address, '/services/ledger/refunds', refund, headers);
  await sendAndPrint(
    'refund repeated at the other host',
    otherAddress,
    '/services/ledger/refunds',
    refund,
    headers,
  );
  await sendAndPrint('model that is not allowed', address, '/v1/chat/completions', {
    ...chat,
    model: 'huge-9',
  });
}

async function sendAndPrint(
  title: string,
  address: string,
  path: string,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<void> {
  const response = await sendRequest(address + path, {
    method: 'POST',
    headers: { authorization: `Bearer ${DEMO_ACCOUNT_KEY}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
    dispatcher: DEFAULT_AGENT,
  });
  printLine(
    `${title}: ${response.statusCode} ${await readLimitedText(response.body, { maxBytes: MAX_ANSWER_BYTES })}`,
  );
}

function printSection(title: string): void {
  printLine(`\n== ${title}`);
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

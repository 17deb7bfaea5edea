import { request as sendRequest } from 'undici';
import type { CommandModule } from 'yargs';
import { createLog } from '../../adapters/Logs.js';
import type { ITimelineEvent } from '../../common/timeline/Types.js';
import { EntryHost } from '../../daemons/EntryHost.js';
import { parseSettings } from '../../daemons/Settings.js';
import { DEMO_KEY } from '../quickstart/Documents.js';
import { startDemoPlatform, type IDemoPlatform } from '../quickstart/Platform.js';

/** `mulberryweir quickstart`: a host and all stand-ins in one process, a short mix of requests. */
export const quickstartCommand: CommandModule = {
  command: 'quickstart',
  describe:
    'Start a host and stand-ins, send a short mix of requests, print answers, bills and the time line',
  handler: async () => {
    const platform = await startDemoPlatform();
    const events: ITimelineEvent[] = [];
    const host = createDemoHost(platform, events);
    const port = await host.start();
    await waitUntilReady(port);
    await sendDemoRequests(`http://127.0.0.1:${port}`);
    printSection('Bills');
    for (const total of host.listTotals()) printLine(JSON.stringify(total));
    printSection('Time line');
    for (const event of events)
      printLine(`${event.lamport} ${event.host} ${event.kind} ${JSON.stringify(event.fields)}`);
    await host.stop();
    await platform.close();
  },
};

function createDemoHost(platform: IDemoPlatform, events: ITimelineEvent[]): EntryHost {
  const text = `[host]\nid = host-1\nzone = zone-a\nport = 0\npeer_port = 0\npeer_key = quickstart-peer-key\n
[limits]\ndrain_grace_ms = 0

[platform]\nstore = ${platform.store}\nhost_list = ${platform.hostList}\n`;
  const settings = parseSettings(text);
  if (settings.isErr) throw new Error(settings.error);
  return new EntryHost({
    settings: settings.value,
    log: createLog('host-1', 'warn'),
    writeEvent: (event) => events.push(event),
  });
}

async function waitUntilReady(port: number): Promise<void> {
  for (;;) {
    const health = await sendRequest(`http://127.0.0.1:${port}/health`);
    await health.body.dump();
    if (health.statusCode === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

async function sendDemoRequests(address: string): Promise<void> {
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
  await sendAndPrint('session again', address, '/v1/chat/completions', chat, {
    'x-mulberryweir-session': 'landlord-7',
  });
  const refund = { pub: 'the-anchor', amount: 30 };
  const headers = { 'idempotency-key': 'refund-the-anchor-1' };
  await sendAndPrint('refund', address, '/services/ledger/refunds', refund, headers);
  await sendAndPrint('refund repeated', address, '/services/ledger/refunds', refund, headers);
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
  const reply = await sendRequest(address + path, {
    method: 'POST',
    headers: { authorization: `Bearer ${DEMO_KEY}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
  });
  printLine(`${title}: ${reply.statusCode} ${await reply.body.text()}`);
}

function printSection(title: string): void {
  printLine(`\n== ${title}`);
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

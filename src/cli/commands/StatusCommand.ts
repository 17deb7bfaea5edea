import type { CommandModule } from 'yargs';
import * as z from 'zod';
import { createPeerClient } from '../../adapters/PeerRpc.js';
import type { IStatusReport, StatusRow } from '../../common/status/StatusReport.js';
import { parseSettings } from '../../daemons/Settings.js';
import {
  buildFailureResult,
  printResult,
  type ICommandOutput,
  type ICommandResult,
} from '../CommandResult.js';
import { JSON_OPTION, readTextFile } from '../Options.js';
import { formatTable } from '../Table.js';

interface IStatusArguments {
  host: string;
  settings: string;
  json: boolean;
}

const ROWS_SCHEMA = z.array(z.record(z.string(), z.union([z.string(), z.number()])));
const REPORT_SCHEMA = z.object({
  host: z.string(),
  revision: z.number(),
  storeContactAgeMs: z.number(),
  versions: ROWS_SCHEMA,
  endpoints: ROWS_SCHEMA,
  partitions: ROWS_SCHEMA,
  hosts: ROWS_SCHEMA,
  accounts: ROWS_SCHEMA,
});

/** `mulberryweir status`: reads the state of one host over the signed peer protocol and prints it. */
export function createStatusCommand(output: ICommandOutput): CommandModule<object, IStatusArguments> {
  return {
    command: 'status',
    describe: 'Print the versions, endpoints, partitions, hosts and accounts that one host knows',
    builder: (parser) =>
      parser
        .option('host', { type: 'string', demandOption: true, describe: 'Peer address of a host, IP:PORT' })
        .option('settings', { type: 'string', demandOption: true, describe: 'INI file with the peer key' })
        .option('json', JSON_OPTION)
        .example('$0 status --host 127.0.0.1:9001 --settings host.ini', 'Print the state as tables'),
    handler: async (options) => {
      printResult(output, await showStatus(options), options.json);
    },
  };
}

async function showStatus({ host, settings }: IStatusArguments): Promise<ICommandResult> {
  const text = readTextFile(settings);
  if (text.isErr) return text.error;
  const parsed = parseSettings(text.value);
  if (parsed.isErr) return buildFailureResult('wrong-arguments', [`${settings}: ${parsed.error}`]);
  const client = createPeerClient({
    host: 'status-command',
    key: parsed.value.host.peer_key,
    findAddress: () => host,
    lamport: { read: () => 0, observe: () => undefined },
  });
  const reply = await client.send(host, 'host.status', {});
  await client.close();
  if (reply.isErr) return buildFailureResult('failure', [`${host}: ${reply.error.message}`]);
  const report = REPORT_SCHEMA.safeParse(reply.value);
  if (!report.success) return buildFailureResult('failure', [`${host}: the reply is malformed`]);
  return { reason: 'success', text: formatReport(report.data), data: report.data };
}

function formatReport(report: IStatusReport): string {
  const { accounts, endpoints, hosts, partitions, versions } = report;
  const tables = Object.entries({ versions, endpoints, partitions, hosts, accounts });
  const summary = `host ${report.host}, revision ${report.revision}, store contact ${report.storeContactAgeMs} ms ago`;
  return [summary, ...tables.map(([title, rows]) => `\n== ${title}\n${formatRows(rows)}`)].join('\n');
}

function formatRows(rows: readonly StatusRow[]): string {
  const header = Object.keys(rows[0] ?? {});
  const cells = rows.map((row) => header.map((name) => row[name] ?? ''));
  return rows.length === 0 ? 'none' : formatTable(header, cells);
}

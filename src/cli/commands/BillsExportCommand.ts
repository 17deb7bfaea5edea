import type { CommandModule } from 'yargs';
import type { IExportedBill } from '../../common/coordination/BillExport.js';
import { checkPartitions, fetchBills, PARTITIONS_OPTION, type IBillQuery } from '../BillQuery.js';
import { printResult, type ICommandOutput, type ICommandResult } from '../CommandResult.js';
import { checkStoreAddress, JSON_OPTION, STORE_OPTION } from '../Options.js';

const CSV_HEADER = 'partition,number,service,account,request,version,prompt_tokens,completion_tokens,cost';

interface IExportArguments {
  store: string;
  partitions: number;
  from: string | undefined;
  json: boolean;
}

/** `mulberryweir bills export`: prints every bill, as CSV or JSON. */
export function createBillsExportCommand(output: ICommandOutput): CommandModule<object, IExportArguments> {
  return {
    command: 'export',
    describe: 'Print each bill, as CSV or JSON',
    builder: (parser) =>
      parser
        .option('store', STORE_OPTION)
        .option('partitions', PARTITIONS_OPTION)
        .option('from', {
          type: 'string',
          describe: 'Start at the positions that an earlier export printed, N,N,...',
        })
        .option('json', JSON_OPTION)
        .example(
          '$0 bills export --store http://127.0.0.1:7000 --json',
          'Print the bills, and the positions for the next export',
        )
        .check(checkStoreAddress)
        .check(checkPartitions)
        .check(({ from }) => {
          parsePositions(from);
          return true;
        }),
    handler: async ({ from, json, partitions, store }) => {
      const query = { store, partitions, positions: parsePositions(from) };
      printResult(output, await reportBills(query), json);
    },
  };
}

async function reportBills(query: IBillQuery): Promise<ICommandResult> {
  const list = await fetchBills(query);
  if (list.isErr) return list.error;
  const { bills, positions } = list.value;
  const rows = bills.map((bill) => formatCsvRow(bill));
  const text = [CSV_HEADER, ...rows].join('\n');
  return {
    reason: 'success',
    text,
    data: { bills, positions },
    errors: [`Next positions: ${positions.join(',')}`],
  };
}

function formatCsvRow({ bill, number, partition }: IExportedBill): string {
  const { account, completionTokens, cost, promptTokens, request, service, version } = bill;
  const fields = [
    partition,
    number,
    service,
    account,
    request,
    version,
    promptTokens,
    completionTokens,
    cost,
  ];
  return fields.map((field) => formatCsvField(String(field))).join(',');
}

function formatCsvField(text: string): string {
  return /[",\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}

function parsePositions(text: string | undefined): number[] {
  if (text === undefined) return [];
  if (!/^\d+(,\d+)*$/.test(text)) throw new Error(`--from ${text}: must be whole numbers, as 0,12,7`);
  return text.split(',').map(Number);
}

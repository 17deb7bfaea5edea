import type { CommandModule } from 'yargs';
import { checkPartitions, fetchBills, PARTITIONS_OPTION, type IBillQuery } from '../BillQuery.js';
import { printResult, type ICommandOutput, type ICommandResult } from '../CommandResult.js';
import { checkStoreAddress, JSON_OPTION, STORE_OPTION } from '../Options.js';
import { formatTable } from '../Table.js';

interface ITotalsArguments {
  store: string;
  partitions: number;
  json: boolean;
}

/** `mulberryweir bills totals`: adds up the bills by service and account. */
export function createBillsTotalsCommand(output: ICommandOutput): CommandModule<object, ITotalsArguments> {
  return {
    command: 'totals',
    describe: 'Add up the bills by service and account',
    builder: (parser) =>
      parser
        .option('store', STORE_OPTION)
        .option('partitions', PARTITIONS_OPTION)
        .option('json', JSON_OPTION)
        .example('$0 bills totals --store http://127.0.0.1:7000', 'Print one line per service and account')
        .check(checkStoreAddress)
        .check(checkPartitions),
    handler: async ({ json, partitions, store }) => {
      printResult(output, await reportTotals({ store, partitions, positions: [] }), json);
    },
  };
}

async function reportTotals(query: IBillQuery): Promise<ICommandResult> {
  const list = await fetchBills(query);
  if (list.isErr) return list.error;
  const { totals } = list.value;
  const rows = totals.map((total) => [
    ...[total.service, total.account, total.count, total.promptTokens, total.completionTokens, total.cost],
  ]);
  const header = ['service', 'account', 'bills', 'prompt tokens', 'completion tokens', 'cost'];
  return { reason: 'success', text: formatTable(header, rows), data: { totals } };
}

import type { CommandModule } from 'yargs';
import { configCodec } from '../../adapters/ConfigStore.js';
import { createHttpStore } from '../../adapters/HttpStore.js';
import { listDocuments } from '../../common/config/ConfigHistory.js';
import { printResult, type ICommandOutput, type ICommandResult } from '../CommandResult.js';
import { formatRecordLine, reportReadError } from '../ConfigReports.js';
import { checkStoreAddress, JSON_OPTION, STORE_OPTION } from '../Options.js';

interface IHistoryArguments {
  service: string;
  store: string;
  json: boolean;
}

/** `mulberryweir config history SERVICE`: lists the documents of a service, newest first. */
export function createConfigHistoryCommand(output: ICommandOutput): CommandModule<object, IHistoryArguments> {
  return {
    command: 'history <service>',
    describe: 'List the documents of a service, newest first',
    builder: (parser) =>
      parser
        .positional('service', { type: 'string', demandOption: true, describe: 'Name of the service' })
        .option('store', STORE_OPTION)
        .option('json', JSON_OPTION)
        .example(
          '$0 config history deposits --store http://127.0.0.1:7000',
          'Print number, time and author of each',
        )
        .check(checkStoreAddress),
    handler: async (options) => {
      printResult(output, await listHistory(options), options.json);
    },
  };
}

async function listHistory({ service, store }: IHistoryArguments): Promise<ICommandResult> {
  const options = { store: createHttpStore({ address: store }), codec: configCodec };
  const records = await listDocuments(options, service);
  if (records.isErr) return reportReadError(service, records.error);
  const data = records.value.map(({ author, editedAt, number }) => ({ number, editedAt, author }));
  return { reason: 'success', text: records.value.map(formatRecordLine).join('\n'), data };
}

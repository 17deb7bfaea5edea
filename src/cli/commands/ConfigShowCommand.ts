import type { CommandModule } from 'yargs';
import { configCodec } from '../../adapters/ConfigStore.js';
import { createHttpStore } from '../../adapters/HttpStore.js';
import { readDocument } from '../../common/config/ConfigHistory.js';
import { printResult, type ICommandOutput, type ICommandResult } from '../CommandResult.js';
import { formatRecordLine, reportReadError } from '../ConfigReports.js';
import { checkStoreAddress, JSON_OPTION, STORE_OPTION } from '../Options.js';

interface IShowArguments {
  service: string;
  store: string;
  number: number | undefined;
  json: boolean;
}

/** `mulberryweir config show SERVICE`: prints the document in force, or the one with a given number. */
export function createConfigShowCommand(output: ICommandOutput): CommandModule<object, IShowArguments> {
  return {
    command: 'show <service>',
    describe: 'Print the document in force, or the one with a given number',
    builder: (parser) =>
      parser
        .positional('service', { type: 'string', demandOption: true, describe: 'Name of the service' })
        .option('store', STORE_OPTION)
        .option('number', { type: 'number', describe: 'Number of the document; default: the one in force' })
        .option('json', JSON_OPTION)
        .example('$0 config show deposits --store http://127.0.0.1:7000', 'Print the document in force')
        .check(checkStoreAddress),
    handler: async (options) => {
      printResult(output, await showDocument(options), options.json);
    },
  };
}

async function showDocument({ number, service, store }: IShowArguments): Promise<ICommandResult> {
  const options = { store: createHttpStore({ address: store }), codec: configCodec };
  const record = await readDocument(options, service, number);
  if (record.isErr) return reportReadError(service, record.error);
  // The first line is an INI comment, so that the output is itself a valid document.
  const text = `; ${formatRecordLine(record.value)}\n${record.value.text}`;
  return { reason: 'success', text, data: record.value };
}

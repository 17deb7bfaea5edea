import type { CommandModule } from 'yargs';
import { configCodec } from '../../adapters/ConfigStore.js';
import { createHttpStore } from '../../adapters/HttpStore.js';
import { readDocument } from '../../common/config/ConfigHistory.js';
import { compareTexts, formatDiff } from '../../common/config/TextDiff.js';
import { printResult, type ICommandOutput, type ICommandResult } from '../CommandResult.js';
import { reportReadError } from '../ConfigReports.js';
import { checkStoreAddress, JSON_OPTION, readTextFile, STORE_OPTION } from '../Options.js';

interface IDiffArguments {
  service: string;
  file: string;
  store: string;
  json: boolean;
}

/** `mulberryweir config diff SERVICE FILE`: compares the document in force with a file, line by line. */
export function createConfigDiffCommand(output: ICommandOutput): CommandModule<object, IDiffArguments> {
  return {
    command: 'diff <service> <file>',
    describe: 'Compare the document in force with a file',
    builder: (parser) =>
      parser
        .positional('service', { type: 'string', demandOption: true, describe: 'Name of the service' })
        .positional('file', { type: 'string', demandOption: true, describe: 'INI file of the service' })
        .option('store', STORE_OPTION)
        .option('json', JSON_OPTION)
        .example(
          '$0 config diff deposits deposits.ini --store http://127.0.0.1:7000',
          'Print the lines that differ',
        )
        .check(checkStoreAddress),
    handler: async (options) => {
      printResult(output, await compareDocument(options), options.json);
    },
  };
}

async function compareDocument({ file, service, store }: IDiffArguments): Promise<ICommandResult> {
  const text = readTextFile(file);
  if (text.isErr) return text.error;
  const options = { store: createHttpStore({ address: store }), codec: configCodec };
  const record = await readDocument(options, service);
  if (record.isErr) return reportReadError(service, record.error);
  const lines = compareTexts(record.value.text, text.value);
  const changed = lines.filter(({ kind }) => kind !== 'same');
  const summary = changed.length === 0 ? 'No line differs.' : formatDiff(lines);
  return { reason: 'success', text: summary, data: { number: record.value.number, changed } };
}

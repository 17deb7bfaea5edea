import type { CommandModule } from 'yargs';
import { buildEditorOptions, parseDocumentText } from '../../adapters/ConfigStore.js';
import { createHttpStore } from '../../adapters/HttpStore.js';
import { applyEdit } from '../../common/config/ConfigEditor.js';
import { readNumberInForce } from '../../common/config/ConfigHistory.js';
import { printResult, type ICommandOutput, type ICommandResult } from '../CommandResult.js';
import { reportEditError, reportProblems, reportReadError } from '../ConfigReports.js';
import { checkStoreAddress, JSON_OPTION, readTextFile, STORE_OPTION } from '../Options.js';

interface IApplyArguments {
  file: string;
  store: string;
  author: string;
  base: number | undefined;
  json: boolean;
}

/**
 * `mulberryweir config apply FILE`: validates a document and puts it in force. Fails if the document in force
 * is no longer the one that the edit started from.
 */
export function createConfigApplyCommand(output: ICommandOutput): CommandModule<object, IApplyArguments> {
  return {
    command: 'apply <file>',
    describe: 'Validate a document and put it in force',
    builder: (parser) =>
      parser
        .positional('file', { type: 'string', demandOption: true, describe: 'INI file of the service' })
        .option('store', STORE_OPTION)
        .option('author', {
          type: 'string',
          demandOption: true,
          describe: 'Name of the person who makes the edit',
        })
        .option('base', {
          type: 'number',
          describe:
            'Number of the document that the edit starts from; 0 for a new service; default: the one in force',
        })
        .option('json', JSON_OPTION)
        .example(
          '$0 config apply deposits.ini --author morag --base 7 --store http://127.0.0.1:7000',
          'Apply the edit, or exit with code 3 if document 7 is no longer in force',
        )
        .check(checkStoreAddress),
    handler: async (options) => {
      printResult(output, await applyDocument(options), options.json);
    },
  };
}

async function applyDocument({ author, base, file, store }: IApplyArguments): Promise<ICommandResult> {
  const text = readTextFile(file);
  if (text.isErr) return text.error;
  const parsed = parseDocumentText(text.value);
  if (parsed.isErr) return reportProblems(file, parsed.error);
  const service = parsed.value.name;
  const options = buildEditorOptions(createHttpStore({ address: store }));
  const numberInForce = await readNumberInForce(options, service);
  if (numberInForce.isErr) return reportReadError(service, numberInForce.error);
  const baseNumber = base ?? numberInForce.value;
  const editedAt = new Date().toISOString();
  const result = await applyEdit(options, { text: text.value, author, editedAt, baseNumber });
  if (result.isErr) return reportEditError(file, result.error);
  const { number, revision } = result.value;
  const line = `${service}: number ${number} is accepted, configuration revision ${revision}`;
  return { reason: 'success', text: line, data: result.value };
}

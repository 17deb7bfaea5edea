import type { CommandModule } from 'yargs';
import { parseDocumentText } from '../../adapters/ConfigStore.js';
import { printResult, type ICommandOutput, type ICommandResult } from '../CommandResult.js';
import { reportProblems } from '../ConfigReports.js';
import { JSON_OPTION, readTextFile } from '../Options.js';

interface ICheckArguments {
  file: string;
  json: boolean;
}

/** `mulberryweir config check FILE`: validates a service document without contacting the store. */
export function createConfigCheckCommand(output: ICommandOutput): CommandModule<object, ICheckArguments> {
  return {
    command: 'check <file>',
    describe: 'Validate a service document',
    builder: (parser) =>
      parser
        .positional('file', { type: 'string', demandOption: true, describe: 'INI file of the service' })
        .option('json', JSON_OPTION)
        .example('$0 config check deposits.ini', 'Print each problem with its line and key'),
    handler: ({ file, json }) => {
      printResult(output, checkDocument(file), json);
    },
  };
}

function checkDocument(file: string): ICommandResult {
  const text = readTextFile(file);
  if (text.isErr) return text.error;
  const parsed = parseDocumentText(text.value);
  if (parsed.isErr) return reportProblems(file, parsed.error);
  const { accounts, name, plainServices, versions } = parsed.value;
  const counts = {
    versions: Object.keys(versions).length,
    accounts: Object.keys(accounts).length,
    plainServices: Object.keys(plainServices).length,
  };
  const line = `${file}: valid; service ${name}, ${counts.versions} versions, ${counts.accounts} accounts, ${counts.plainServices} plain services`;
  return { reason: 'success', text: line, data: { service: name, ...counts } };
}

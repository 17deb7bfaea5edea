import { runCommandLine } from '../cli/CommandLine.js';

/** Arguments, output and exit code of a command that has run. */
export interface ICommandRun {
  command: string;
  out: string;
  errors: string;
  exitCode: number;
}

/**
 * Runs a command in this process. In the result, texts that differ from run to run are replaced:
 * `replacements` maps each of them to a fixed text, and timestamps become `TIME`.
 */
export async function runCommand(
  args: readonly string[],
  replacements: Readonly<Record<string, string>> = {},
): Promise<ICommandRun> {
  const run = { out: '', errors: '', exitCode: 0 };
  await runCommandLine(args, {
    writeOut: (text) => {
      run.out += text;
    },
    writeError: (text) => {
      run.errors += text;
    },
    setExitCode: (code) => {
      run.exitCode = code;
    },
  });
  const mask = (text: string): string =>
    Object.entries(replacements)
      .reduce((masked, [from, to]) => masked.replaceAll(from, to), text)
      .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME');
  return {
    command: mask(args.join(' ')),
    out: mask(run.out),
    errors: mask(run.errors),
    exitCode: run.exitCode,
  };
}

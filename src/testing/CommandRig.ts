import { runCommandLine } from '../cli/CommandLine.js';

/** What a command printed and how it ended. */
export interface ICommandRun {
  command: string;
  out: string;
  errors: string;
  exitCode: number;
}

/** Runs a command in process; `replaced` maps texts that differ from run to run to fixed ones. */
export async function runCommand(
  args: readonly string[],
  replaced: Readonly<Record<string, string>> = {},
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
    Object.entries(replaced)
      .reduce((masked, [from, to]) => masked.replaceAll(from, to), text)
      .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME');
  return {
    command: mask(args.join(' ')),
    out: mask(run.out),
    errors: mask(run.errors),
    exitCode: run.exitCode,
  };
}

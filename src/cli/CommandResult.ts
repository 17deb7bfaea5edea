/** How a command ended. */
export type ExitReason = 'success' | 'failure' | 'wrong-arguments' | 'conflict' | 'store-unavailable';

/** What a command prints and how it ended. */
export interface ICommandResult {
  reason: ExitReason;
  /** Text for people. */
  text: string;
  /** The same for programs; printed with `--json`. */
  data: unknown;
  /** Lines for standard error. */
  errors?: readonly string[];
}

/** Where a command writes, so that tests can run commands in process. */
export interface ICommandOutput {
  writeOut: (text: string) => void;
  writeError: (text: string) => void;
  setExitCode: (code: number) => void;
}

/** Exit code of each reason. */
export const EXIT_CODES: Readonly<Record<ExitReason, number>> = {
  success: 0,
  failure: 1,
  'wrong-arguments': 2,
  conflict: 3,
  'store-unavailable': 4,
};

/** Output of the running process. */
export const processOutput: ICommandOutput = {
  writeOut: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  setExitCode: (code) => {
    process.exitCode = code;
  },
};

/** Prints a result, as text or as one JSON object, and sets the exit code. */
export function printResult(output: ICommandOutput, result: ICommandResult, json: boolean): void {
  const { data, errors = [], reason, text } = result;
  for (const error of errors) output.writeError(`${error}\n`);
  if (json) output.writeOut(`${JSON.stringify(data)}\n`);
  else if (text !== '') output.writeOut(text.endsWith('\n') ? text : `${text}\n`);
  output.setExitCode(EXIT_CODES[reason]);
}

/** Builds the result of a command that did not succeed. */
export function describeFailure(
  reason: ExitReason,
  errors: readonly string[],
  details: Readonly<Record<string, unknown>> = {},
): ICommandResult {
  return { reason, text: '', data: { error: reason, messages: errors, ...details }, errors };
}

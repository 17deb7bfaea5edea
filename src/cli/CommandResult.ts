/** How a command ended. `EXIT_CODES` holds the exit code of each. */
export type ExitReason = 'success' | 'failure' | 'wrong-arguments' | 'conflict' | 'store-unavailable';

/** What a command prints and how it ended. */
export interface ICommandResult {
  reason: ExitReason;
  /** Human-readable output, printed without `--json`. */
  text: string;
  /** Machine-readable output, printed as JSON with `--json`. */
  data: unknown;
  /** Lines that are printed to standard error, with and without `--json`. */
  errors?: readonly string[];
}

/** Receives the output and the exit code of a command. Tests pass their own to run commands in process. */
export interface ICommandOutput {
  writeOut: (text: string) => void;
  writeError: (text: string) => void;
  setExitCode: (code: number) => void;
}

/** Exit codes by the reason for which a command ended. */
export const EXIT_CODES: Readonly<Record<ExitReason, number>> = {
  success: 0,
  failure: 1,
  'wrong-arguments': 2,
  conflict: 3,
  'store-unavailable': 4,
};

/** Writes to the standard streams of the running process and sets its exit code. */
export const processOutput: ICommandOutput = {
  writeOut: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  setExitCode: (code) => {
    process.exitCode = code;
  },
};

/** Prints a result, as text or as one line of JSON, and sets the exit code. */
export function printResult(output: ICommandOutput, result: ICommandResult, json: boolean): void {
  const { data, errors = [], reason, text } = result;
  for (const error of errors) output.writeError(`${error}\n`);
  if (json) output.writeOut(`${JSON.stringify(data)}\n`);
  else if (text !== '') output.writeOut(text.endsWith('\n') ? text : `${text}\n`);
  output.setExitCode(EXIT_CODES[reason]);
}

/** Builds the result of a command that failed. The details are added to the JSON output. */
export function buildFailureResult(
  reason: ExitReason,
  errors: readonly string[],
  details: Readonly<Record<string, unknown>> = {},
): ICommandResult {
  return { reason, text: '', data: { error: reason, messages: errors, ...details }, errors };
}

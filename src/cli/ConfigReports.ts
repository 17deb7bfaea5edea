import type { ConfigReadError } from '../common/config/ConfigHistory.js';
import type { ConfigEditError } from '../common/config/ConfigEditor.js';
import { formatProblem } from '../common/config/ServiceDocument.js';
import type { IConfigRecord, IDocumentProblem } from '../common/config/Types.js';
import { buildFailureResult, type ICommandResult } from './CommandResult.js';

/** Builds the result for a document with problems, which prints one line for each problem. */
export function reportProblems(file: string, problems: readonly IDocumentProblem[]): ICommandResult {
  const lines = problems.map((problem) => `${file}: ${formatProblem(problem)}`);
  return buildFailureResult('wrong-arguments', lines, { problems });
}

/** Builds the result that states why a document could not be read. */
export function reportReadError(service: string, error: ConfigReadError): ICommandResult {
  switch (error.kind) {
    case 'unknown-service': {
      const known = error.known.length === 0 ? 'none' : error.known.join(', ');
      return buildFailureResult('wrong-arguments', [`${service}: no such service; known: ${known}`]);
    }
    case 'unknown-number':
      return buildFailureResult('wrong-arguments', [`${service}: no document has this number`]);
    case 'unavailable':
      return buildFailureResult('store-unavailable', [`The store is unavailable: ${error.message}`]);
  }
}

/**
 * Builds the result that states why an edit was not accepted. For a conflict, the result includes the
 * document that the edit started from and the document in force.
 */
export function reportEditError(file: string, error: ConfigEditError): ICommandResult {
  switch (error.kind) {
    case 'invalid':
      return reportProblems(file, error.problems);
    case 'unavailable':
      return buildFailureResult('store-unavailable', [`The store is unavailable: ${error.message}`]);
    case 'conflict': {
      const { base, current } = error;
      const message = `${current.service}: number ${current.number} is in force, the edit starts from ${base?.number ?? 0}`;
      const text = `${formatTitledRecord('base', base)}\n${formatTitledRecord('in force', current)}`;
      return { ...buildFailureResult('conflict', [message], { base, current }), text };
    }
  }
}

/** Formats a document's number, the time when it was written, and its author. */
export function formatRecordLine({ author, editedAt, number }: IConfigRecord): string {
  return `${number}  ${editedAt}  ${author}`;
}

function formatTitledRecord(title: string, record: IConfigRecord | undefined): string {
  return record ? `== ${title}: ${formatRecordLine(record)}\n${record.text}` : `== ${title}: no document`;
}

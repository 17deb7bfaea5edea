import type { ConfigReadError } from '../common/config/ConfigHistory.js';
import type { ConfigEditError } from '../common/config/ConfigEditor.js';
import { formatProblem } from '../common/config/ServiceDocument.js';
import type { IConfigRecord, IDocumentProblem } from '../common/config/Types.js';
import { describeFailure, type ICommandResult } from './CommandResult.js';

/** Reports the problems of a document, one line each. */
export function reportProblems(file: string, problems: readonly IDocumentProblem[]): ICommandResult {
  const lines = problems.map((problem) => `${file}: ${formatProblem(problem)}`);
  return describeFailure('wrong-arguments', lines, { problems });
}

/** Reports why a document could not be read. */
export function reportReadError(service: string, error: ConfigReadError): ICommandResult {
  switch (error.kind) {
    case 'unknown-service': {
      const known = error.known.length === 0 ? 'none' : error.known.join(', ');
      return describeFailure('wrong-arguments', [`${service}: no such service; known: ${known}`]);
    }
    case 'unknown-number':
      return describeFailure('wrong-arguments', [`${service}: no document has this number`]);
    case 'unavailable':
      return describeFailure('store-unavailable', [`The store is unavailable: ${error.message}`]);
  }
}

/** Reports why an edit was not accepted; a conflict shows both versions. */
export function reportEditError(file: string, error: ConfigEditError): ICommandResult {
  switch (error.kind) {
    case 'invalid':
      return reportProblems(file, error.problems);
    case 'unavailable':
      return describeFailure('store-unavailable', [`The store is unavailable: ${error.message}`]);
    case 'conflict': {
      const { base, current } = error;
      const message = `${current.service}: number ${current.number} is in force, the edit starts from ${base?.number ?? 0}`;
      const text = `${formatVersion('base', base)}\n${formatVersion('in force', current)}`;
      return { ...describeFailure('conflict', [message], { base, current }), text };
    }
  }
}

/** Formats who wrote a document and when. */
export function formatRecordLine({ author, editedAt, number }: IConfigRecord): string {
  return `${number}  ${editedAt}  ${author}`;
}

function formatVersion(title: string, record: IConfigRecord | undefined): string {
  return record ? `== ${title}: ${formatRecordLine(record)}\n${record.text}` : `== ${title}: no document`;
}

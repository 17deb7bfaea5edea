import type { IRunEntry } from './Types.js';

/** A piece of a streamed answer, as its caller read it: one server-sent event. */
export interface IStreamPiece {
  id: number;
  /** Id of the call that the piece answers. */
  call: string;
  /** Number of the run that sent the piece. */
  run: number;
  isLast: boolean;
}

const STAMP_PREFIX = 'run-';

/** Formats the response stamp, by which an answer names its run. */
export function formatStamp(run: number): string {
  return `${STAMP_PREFIX}${run}`;
}

/** Returns the run number of a response stamp, or NaN if the text is not a stamp. */
export function parseStamp(stamp: string): number {
  return stamp.startsWith(STAMP_PREFIX) ? Number(stamp.slice(STAMP_PREFIX.length)) : NaN;
}

/**
 * Formats the body of an answer that is not streamed. It names its call and run, so that a mixture of two
 * answers is detected.
 */
export function formatAnswer({ call, number, path }: IRunEntry): string {
  return `answer to ${call} by run ${number} for ${path}${'.'.repeat(number % 700)}`;
}

/** Formats one piece of a streamed answer. */
export function formatPiece({ call, number }: IRunEntry, id: number, isLast: boolean): string {
  return `id: ${id}\ndata: ${call} ${number} ${isLast ? 'last' : 'more'}\n\n`;
}

/** Parses the complete pieces of a streamed answer. `rest` is the text after the last complete piece. */
export function parsePieces(body: string): { pieces: IStreamPiece[]; rest: string } {
  const blocks = body.split('\n\n');
  const rest = blocks.pop() ?? '';
  const pieces = blocks.map((block) => {
    const [, id, call, run, marker] = /^id: (\d+)\ndata: (\S+) (\d+) (last|more)$/.exec(block) ?? [];
    return { id: Number(id), call: call ?? '', run: Number(run), isLast: marker === 'last' };
  });
  return { pieces, rest };
}

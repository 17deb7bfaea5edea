import type { IRunEntry } from './Types.js';

/** A piece of a stream as its caller read it. */
export interface IStreamPiece {
  id: number;
  call: string;
  run: number;
  isLast: boolean;
}

const STAMP_PREFIX = 'run-';

/** Formats the stamp by which an answer names its run. */
export function formatStamp(run: number): string {
  return `${STAMP_PREFIX}${run}`;
}

/** Reads the run of a stamp; NaN where it is none. */
export function parseStamp(stamp: string): number {
  return stamp.startsWith(STAMP_PREFIX) ? Number(stamp.slice(STAMP_PREFIX.length)) : NaN;
}

/** Formats the body of a whole answer. It names its call and run, so that a mix of two shows. */
export function formatAnswer({ call, number, path }: IRunEntry): string {
  return `answer to ${call} by run ${number} for ${path}${'.'.repeat(number % 700)}`;
}

/** Formats one event of a stream. */
export function formatPiece({ call, number }: IRunEntry, id: number, isLast: boolean): string {
  return `id: ${id}\ndata: ${call} ${number} ${isLast ? 'last' : 'more'}\n\n`;
}

/** Reads the whole events of a stream, and whether bytes remain after them. */
export function parsePieces(body: string): { pieces: IStreamPiece[]; rest: string } {
  const blocks = body.split('\n\n');
  const rest = blocks.pop() ?? '';
  const pieces = blocks.map((block) => {
    const [, id, call, run, marker] = /^id: (\d+)\ndata: (\S+) (\d+) (last|more)$/.exec(block) ?? [];
    return { id: Number(id), call: call ?? '', run: Number(run), isLast: marker === 'last' };
  });
  return { pieces, rest };
}

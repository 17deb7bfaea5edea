import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { EVIDENT_CUT, listEvents, sendBrokenAnswer, sendStream } from './BrokenAnswer.js';
import { RouterRig } from './RouterRig.js';
import { sendFullAnswer, type IRunnerCall } from './ScriptedRunner.js';
import { requestStream, startStreamRig } from './StreamRig.js';

/** A kind of answer, and how it is sent in pieces. `deliveries` emits the path of a call whose caller has the answer. */
export interface IAnswerKind {
  name: string;
  send: (
    call: IRunnerCall,
    response: ServerResponse,
    pieces: readonly string[],
    deliveries: EventEmitter,
  ) => void;
}

/** A kind of answer, and the run of a stream in which it occurs. */
interface IStreamCase {
  kind: IAnswerKind;
  run: 0 | 1;
}

/** Pause after which a connection that has been closed is not used again. */
const CLOSE_PAUSE_MS = 80;

/** Number of cases of one rig: its retry budget allows six, half of them in a resumed run. */
const GROUP_SIZE = 6;

/** Number of rigs that run at once. */
const RIG_COUNT = 4;

/** Pieces of which the bad answers to plain calls consist. */
const PLAIN_PIECES = ['first half, ', 'second half'];

/** Lists what the log says of the ends of attempts, from an event on. */
function listEnds({ events }: RouterRig, from: number): string[] {
  return events.slice(from).flatMap(({ fields, kind }) => {
    const { afterEnd, endMark, error, message } = fields;
    if (kind === 'attempt.error') return [[error, endMark, afterEnd, message].filter(Boolean).join(' ')];
    return kind === 'attempt.finished' && afterEnd !== undefined ? [`finished ${endMark} ${afterEnd}`] : [];
  });
}

/** Finds the item whose index is the last part of a path. */
function findByPath<T>(items: readonly T[], path: string): T {
  const item = items[Number(path.split('/').at(-1))];
  if (item === undefined) throw new Error(`No case has the path ${path}.`);
  return item;
}

async function runStreamGroup(cases: readonly IStreamCase[]): Promise<string[]> {
  const deliveries = new EventEmitter();
  const rig = await startStreamRig((run, call, response) => {
    const streamCase = findByPath(cases, call.path);
    if (run < streamCase.run) sendBrokenAnswer(call, response, EVIDENT_CUT);
    else if (run === streamCase.run) streamCase.kind.send(call, response, listEvents(call), deliveries);
    else sendStream(call, response, 'chunks');
  });
  const outcomes: string[] = [];
  for (const [index, { kind, run }] of cases.entries()) {
    const from = rig.events.length;
    const outcome = await requestStream(rig, String(index));
    deliveries.emit(`/stream/${index}`);
    outcomes.push([`${kind.name} in run ${run}`, outcome, ...listEnds(rig, from).slice(run)].join(' | '));
    await new Promise((resolve) => setTimeout(resolve, CLOSE_PAUSE_MS));
  }
  await rig.close();
  return outcomes;
}

async function runPlainGroup(kinds: readonly IAnswerKind[]): Promise<string[]> {
  const deliveries = new EventEmitter();
  const rig = await RouterRig.startReady();
  const calledPaths: string[] = [];
  for (const runner of rig.runners) {
    runner.answer = (call, response) => {
      const kind = findByPath(kinds, call.path);
      const isFirst = !calledPaths.includes(call.path);
      calledPaths.push(call.path);
      if (isFirst) kind.send(call, response, PLAIN_PIECES, deliveries);
      else sendFullAnswer(call, response, 200, 'answer of the other endpoint');
    };
  }
  const outcomes: string[] = [];
  for (const [index, { name }] of kinds.entries()) {
    for (const route of ['look', 'post']) {
      const path = `/${route}/${index}`;
      const from = rig.events.length;
      const { body, isComplete, status } = await rig.send(path);
      deliveries.emit(path);
      const text = status === 200 && isComplete ? body : `status ${status}`;
      const runs = calledPaths.filter((called) => called === path).length;
      outcomes.push([`${name} to ${route}`, text, `runs ${runs}`, ...listEnds(rig, from)].join(' | '));
      await new Promise((resolve) => setTimeout(resolve, CLOSE_PAUSE_MS));
    }
  }
  await rig.close();
  return outcomes;
}

/** Runs the items in groups, each on a rig of its own. Returns the results in the order of the items. */
async function runGroups<T>(
  items: readonly T[],
  run: (group: readonly T[]) => Promise<string[]>,
): Promise<string[]> {
  const results: string[][] = [];
  const starts = Array.from({ length: Math.ceil(items.length / GROUP_SIZE) }).entries();
  const runNext = async (): Promise<void> => {
    for (const [index] of starts)
      results[index] = await run(items.slice(index * GROUP_SIZE, (index + 1) * GROUP_SIZE));
  };
  await Promise.all(Array.from({ length: RIG_COUNT }, runNext));
  return results.flat();
}

/**
 * Requests a stream for each kind of answer, in the first run and in a resumed one. Returns lines of the case, what the
 * caller received and what the log says of the bad run. The other runs are answered well.
 */
export function runStreams(kinds: readonly IAnswerKind[]): Promise<string[]> {
  const cases = kinds.flatMap((kind) => ([0, 1] as const).map((run) => ({ kind, run })));
  return runGroups(cases, runStreamGroup);
}

/**
 * Sends an idempotent call and one that is not for each kind of answer. Returns lines of the case, what the caller
 * received, the number of runs and what the log says of them. Other runs than the first are answered well.
 */
export function runPlainCalls(kinds: readonly IAnswerKind[]): Promise<string[]> {
  return runGroups(kinds, runPlainGroup);
}

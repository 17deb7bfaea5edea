import { Result } from 'true-myth';
import { createSeededRandom, hashTexts } from '../adapters/Random.js';
import { Blackboard } from '../common/blackboard/Blackboard.js';
import type { IAnswer, IAttemptEntry, IAttemptError, IEndpointEntry } from '../common/blackboard/Types.js';
import { createDecideRetry } from '../common/policy/Retries.js';
import { AttemptController } from '../common/request/AttemptController.js';
import { CleanUpController } from '../common/request/CleanUpController.js';
import { DeadlineController } from '../common/request/DeadlineController.js';
import { OutcomeController } from '../common/request/OutcomeController.js';
import type { IAttemptCall, RunAttempt } from '../common/request/Types.js';
import type { Millis } from '../common/Types.js';
import { RoutingWiring } from '../daemons/RoutingWiring.js';
import { createTestEndpoint, createTestService } from './EntryFixtures.js';
import { ManualClock } from './ManualClock.js';

/**
 * Simulated run of an attempt. The first token comes after `firstTokenMs` and each further one after
 * `tokenMs`; with the last token, the attempt ends with an answer or with `error`.
 */
export interface IAttemptScript {
  firstTokenMs: Millis;
  tokenMs: Millis;
  tokens: number;
  /** Error with which the attempt ends after its tokens. Default: it ends with an answer. */
  error?: IAttemptError;
  /** Whether the attempt keeps running after it was cancelled, as if the endpoint never saw the cancellation. */
  ignoresCancel?: boolean;
}

/** Chooses the script of an attempt. */
export type ChooseScript = (call: IAttemptCall) => IAttemptScript;

/** The routing controllers of one host with scripted endpoints and a manual clock. */
export interface IRoutingRig {
  board: Blackboard;
  clock: ManualClock;
  routing: RoutingWiring;
  /** All attempts, as they were when they were planned. */
  plannedAttempts: IAttemptEntry[];
  /** One entry `request<attempt`, with the ids of both, for each chunk delivered to a caller. */
  deliveredChunks: string[];
}

/**
 * Creates the routing controllers of a host, its service `drafts` and its endpoints. A string in `endpoints`
 * stands for a healthy endpoint with that id.
 */
export function createRoutingRig(
  endpoints: readonly (string | IEndpointEntry)[],
  chooseScript: ChooseScript,
): IRoutingRig {
  const clock = new ManualClock();
  const board = new Blackboard();
  board.services.set('drafts', createTestService());
  const random = createSeededRandom(1);
  let lastId = 0;
  const createId = (): string => `a-${(lastId += 1)}`;
  for (const endpoint of endpoints) {
    const entry = typeof endpoint === 'string' ? createTestEndpoint(endpoint) : endpoint;
    board.endpoints.set(entry.id, entry);
  }
  const plannedAttempts: IAttemptEntry[] = [];
  board.attempts.onChange(({ before, after }) => {
    if (!before && after) plannedAttempts.push(after);
  });
  const routing = new RoutingWiring({ board, clock, random, createId, hashTexts, host: 'host-1', zone: 'a' });
  const deliveredChunks: string[] = [];
  const runAttempt: RunAttempt = (call, onPart) =>
    runScript(clock, chooseScript(call), call, (tokens) => {
      onPart({ kind: 'chunk', tokens, data: call.attempt.id });
    });
  const deliverChunk = (request: string, data: unknown): void => {
    deliveredChunks.push(`${request}<${String(data)}`);
  };
  new AttemptController({ board, clock, runAttempt, deliverChunk });
  const journal = {
    append: () => Promise.resolve(Result.ok<readonly []>([])),
    lookup: () => Promise.resolve(Result.ok<undefined>(undefined)),
  };
  const { takeRetryBudget } = routing;
  const decideRetry = createDecideRetry(random);
  const holdEntries = (): Promise<void> => Promise.resolve();
  const claims = { journal, hashKey: ({ id }: { id: string }) => id, holdEntries };
  new OutcomeController({ board, clock, decideRetry, takeRetryBudget, claims });
  new DeadlineController({ board, clock });
  new CleanUpController(board);
  return { board, clock, routing, plannedAttempts, deliveredChunks };
}

async function runScript(
  clock: ManualClock,
  script: IAttemptScript,
  { attempt, request, signal }: IAttemptCall,
  onTokens: (tokens: number) => void,
): Promise<Result<IAnswer, IAttemptError>> {
  const { error, firstTokenMs, ignoresCancel = false, tokenMs, tokens } = script;
  const isCancelled = (): boolean => signal.aborted && !ignoresCancel;
  let resume = (): void => undefined;
  signal.addEventListener('abort', () => {
    if (!ignoresCancel) resume();
  });
  for (let count = 0; count < Math.max(1, tokens); count += 1) {
    await new Promise<void>((resolve) => {
      resume = resolve;
      clock.schedule(count === 0 ? firstTokenMs : tokenMs, resolve);
    });
    if (isCancelled()) return Result.err({ kind: 'cancelled', ran: 'unknown', message: 'Cancelled.' });
    if (tokens > 0) onTokens(1);
  }
  if (error) return Result.err(error);
  if (request.target.kind === 'plain')
    return Result.ok({ kind: 'plain', status: 200, contentType: undefined, body: new Uint8Array() });
  const usage = { promptTokens: 1, completionTokens: tokens };
  return Result.ok({ kind: 'model', version: attempt.version ?? '', usage, content: attempt.id });
}

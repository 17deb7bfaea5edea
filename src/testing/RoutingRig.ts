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
import { Routing } from '../daemons/RoutingWiring.js';
import { createTestEndpoint, createTestService } from './Entries.js';
import { ManualClock } from './ManualClock.js';

/** What an attempt does: waits, produces tokens at a pace, then ends. */
export interface IAttemptScript {
  firstTokenMs: Millis;
  tokenMs: Millis;
  tokens: number;
  /** Error instead of an answer, after the tokens. */
  error?: IAttemptError;
  /** Whether the attempt goes on after it was cancelled, as over a broken connection. */
  ignoresCancel?: boolean;
}

/** Chooses what an attempt does. */
export type ChooseScript = (call: IAttemptCall) => IAttemptScript;

/** The routing controllers of one host with scripted endpoints and a manual clock. */
export interface IRoutingRig {
  board: Blackboard;
  clock: ManualClock;
  routing: Routing;
  /** Attempts as planned. */
  planned: IAttemptEntry[];
  /** Chunks delivered, as `request<attempt`. */
  delivered: string[];
}

/** Creates a host with healthy endpoints; `chooseScript` decides what their attempts do. */
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
  const planned: IAttemptEntry[] = [];
  board.attempts.onChange(({ before, after }) => {
    if (!before && after) planned.push(after);
  });
  const routing = new Routing({ board, clock, random, createId, hashTexts, host: 'host-1', zone: 'a' });
  const delivered: string[] = [];
  const runAttempt: RunAttempt = (call, onPart) =>
    runScript(clock, chooseScript(call), call, (tokens) => {
      onPart({ kind: 'chunk', tokens, data: call.attempt.id });
    });
  const deliverChunk = (request: string, data: unknown): void => {
    delivered.push(`${request}<${String(data)}`);
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
  return { board, clock, routing, planned, delivered };
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

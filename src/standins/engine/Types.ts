import type { ServerResponse } from 'node:http';
import * as z from 'zod';

/** Priority of a run in the engine's waiting queue. */
export type RunPriority = 'high' | 'normal' | 'low';

/** Options of the engine stand-in; a separate process takes them as JSON in `--options`. */
export const ENGINE_OPTIONS_SCHEMA = z.object({
  port: z.number().int().optional(),
  versions: z.array(z.string()),
  /** Maximum runs in the batch; further runs wait in the queue. */
  batchSize: z.number().int().positive().default(16),
  /** Time of one decoding step for the whole batch. */
  stepMs: z.number().positive().default(10),
  /** Time between the start of a run and its first decoding step. */
  prefillMs: z.number().min(0).default(20),
  /** Additional prefill time for each prompt token that is not in the prefix cache. */
  prefillTokenMs: z.number().min(0).default(0),
  /** Capacity of the prefix cache in blocks. */
  cacheBlocks: z.number().int().min(0).default(4096),
  /** Age of the load figures in a load report. */
  reportLagMs: z.number().min(0).default(0),
  /** Whether an order with a lower fencing token than an earlier one is refused. */
  checksFencing: z.boolean().default(false),
});

/** Options of the engine stand-in. */
export type IEngineOptions = z.input<typeof ENGINE_OPTIONS_SCHEMA>;

/** Options with every default filled in. */
export type EngineSettings = z.output<typeof ENGINE_OPTIONS_SCHEMA>;

/** A period during which the engine is slower. `PUT /faults` takes times relative to the request. */
export interface ISlowdownWindow {
  startMs: number;
  endMs: number;
  /** Multiplies step and prefill times. */
  factor: number;
}

/** Faults and speed of the engine stand-in, set through `PUT /faults`. */
export interface IEngineFaults {
  /** Multiplies step and prefill times. */
  slowdown: number;
  /** Periods of further slowdown, with times on the clock of `performance.now()`. */
  windows: ISlowdownWindow[];
  /** Refuses new runs and marks load reports as leaving. */
  isLeaving: boolean;
  /** Streams send no new tokens, although runs continue and new connections are accepted. */
  isSilent: boolean;
  /** A prompt that contains this text crashes the engine. Empty: no prompt does. */
  crashText: string;
}

/** Records of what the engine stand-in received and did, to compare with what the router reports. */
export interface IEngineRecords {
  /** Ids of the accepted runs in the order of arrival, those that crashed the engine included. */
  runs: string[];
  /** The `user` field of each accepted run, in the same order. */
  users: string[];
  /** Ids of the runs that generated all their tokens, in that order. */
  finished: string[];
  /** Ids of the runs that were cancelled, in that order. */
  cancelled: string[];
  crashes: number;
  /** Accepted orders, in the order of arrival. */
  orders: unknown[];
  /** Tokens generated, those of cancelled runs included. */
  tokens: number;
}

/** One run of a chat completion request in the engine. */
export interface IEngineRun {
  id: string;
  version: string;
  priority: RunPriority;
  promptTokens: number;
  /** Tokens to generate. */
  outputTokens: number;
  /** Prefill time without slowdown. */
  prefillMs: number;
  /** Tokens generated so far, whether or not they were sent. */
  generatedTokens: number;
  /** When decoding may begin, on the clock of `performance.now()`; 0 while the run waits. */
  prefillEndsAt: number;
  isDone: boolean;
  /** Open stream of the run; `undefined` while no caller is connected. */
  response: ServerResponse | undefined;
}

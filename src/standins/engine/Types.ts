import type { ServerResponse } from 'node:http';
import * as z from 'zod';

/** Priority of a run in the engine's waiting queue. */
export type RunPriority = 'high' | 'normal' | 'low';

/** Options of the engine stand-in, as a process gets them in JSON. */
export const ENGINE_OPTIONS_SCHEMA = z.object({
  port: z.number().int().optional(),
  versions: z.array(z.string()),
  /** Requests in one batch; more wait. */
  batchSize: z.number().int().positive().default(16),
  /** Time of one decoding step for the whole batch. */
  stepMs: z.number().positive().default(10),
  /** Time from the start of a run to its first token, besides the step. */
  prefillMs: z.number().min(0).default(20),
  /** Added prefill time for each prompt token that the prefix cache does not hold. */
  prefillTokenMs: z.number().min(0).default(0),
  /** Prompt blocks that the prefix cache holds. */
  cacheBlocks: z.number().int().min(0).default(4096),
  /** Age of the load that reports show. */
  reportLagMs: z.number().min(0).default(0),
  checksFencing: z.boolean().default(false),
});

/** Options of the engine stand-in. */
export type IEngineOptions = z.input<typeof ENGINE_OPTIONS_SCHEMA>;

/** Options with every default filled in. */
export type EngineSettings = z.output<typeof ENGINE_OPTIONS_SCHEMA>;

/** A time during which the engine is slower, counted from when it is set. */
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
  windows: ISlowdownWindow[];
  isLeaving: boolean;
  /** Open streams stop sending; new connections work. */
  isSilent: boolean;
  /** Prompts that contain this text crash the engine. */
  crashText: string;
}

/** Books of the engine stand-in, for checks against what the router says. */
export interface IEngineBooks {
  /** Run ids that were accepted, in order. */
  runs: string[];
  /** The `user` field of each accepted run, in the same order. */
  users: string[];
  finished: string[];
  cancelled: string[];
  crashes: number;
  orders: unknown[];
  /** Tokens generated, cancelled runs included. */
  tokens: number;
}

/** One run of a request. */
export interface IEngineRun {
  id: string;
  version: string;
  priority: RunPriority;
  promptTokens: number;
  length: number;
  prefillMs: number;
  sent: number;
  startsAt: number;
  isDone: boolean;
  response: ServerResponse | undefined;
}

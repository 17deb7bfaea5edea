import type { Millis } from '../Types.js';

/** Stage of a version in a service document. */
export type VersionStage = 'rolling-out' | 'stable' | 'withdrawing' | 'withdrawn';

/** A version of a model, as the service document describes it. */
export interface IVersionSpec {
  name: string;
  model: string;
  stage: VersionStage;
  /** Price of a thousand tokens, prompt and completion alike, in the document's currency unit. */
  pricePerThousandTokens: number;
  /** Share of good answers to assume before ratings arrive, 0 to 1. */
  expectedQuality: number;
  /** Number of the rollout attempt, from 1; an operator raises it to start a halted rollout again. */
  rolloutAttempt: number;
}

/** A client account and its limits. */
export interface IAccountSpec {
  name: string;
  /** SHA-256 of the account's key, in hex. */
  keySha256: string;
  /** Versions that the account's requests may run on. */
  versions: readonly string[];
  /** Plain services that the account may call. */
  plainServices: readonly string[];
  requestsPerSecond: number;
  maxInFlight: number;
  /** Share of capacity under contention, relative to the other accounts. */
  weight: number;
}

/** A plain service: a service without models, whose HTTP calls are routed like the requests for models. */
export interface IPlainServiceSpec {
  name: string;
  /** HTTP methods whose calls may be repeated without harm. */
  idempotentMethods: readonly string[];
  pricePerCall: number;
}

/** How the quality of versions is learned, and when the draft of a cheap version is tried first. */
export interface ILearningSpec {
  /**
   * Bounds the exploration of versions whose quality is not known yet: the largest expected share of
   * requests that run, for exploration, on a version that misses the quality target.
   */
  explorationShare: number;
  /**
   * Share of answers that are submitted for rating. Answers of explored versions and of versions that are
   * rolling out are always submitted.
   */
  ratingShare: number;
  /** Weight of a version's `expectedQuality`, as a number of ratings. */
  priorRatings: number;
  /** Whether the draft of a cheap version may be tried before a stronger version runs. */
  usesCascades: boolean;
  /** Longest wait for the score of a draft. */
  draftCheckMs: Millis;
  /** Lowest score with which a draft is accepted as the answer. */
  draftAcceptScore: number;
}

/** How versions are rolled out. */
export interface IRolloutSpec {
  /** Shortest time that the version stays at a share of traffic before the share is raised. */
  stepMs: Millis;
  /** Ratings of the new version that are needed before its share is raised. */
  stepRatings: number;
  /** Largest accepted probability of halting a version that is as good as the stable one. */
  falseHaltRate: number;
}

/** The document that a team writes for its service. */
export interface IServiceDocument {
  name: string;
  /** Smallest acceptable share of good answers, 0 to 1. */
  qualityTarget: number;
  /** Smallest probability, 0 to 1, with which a version must meet the target to count as good enough. */
  qualityConfidence: number;
  defaultDeadlineMs: Millis;
  /**
   * What matters most to the service. `cost` also stands for the exposure of requests to a bad version,
   * `latency` also for the behaviour at peak load.
   */
  preference: 'cost' | 'latency';
  /** Whether the bill of an escalated request includes the drafts that were not delivered. */
  billsDrafts: boolean;
  /** Largest share of traffic that a version receives while it is rolling out. */
  rolloutMaxShare: number;
  learning: ILearningSpec;
  rollout: IRolloutSpec;
  versions: Readonly<Record<string, IVersionSpec>>;
  accounts: Readonly<Record<string, IAccountSpec>>;
  plainServices: Readonly<Record<string, IPlainServiceSpec>>;
}

/** Verdict on a version that is rolling out. */
export type RolloutVerdict = 'ramping' | 'halted' | 'passed';

/** Rollout state of a version. It is stored beside the document; only the rollout owner writes it. */
export interface IRolloutState {
  version: string;
  verdict: RolloutVerdict;
  /** Share of the eligible requests that the version receives, 0 to 1. */
  share: number;
  /** Why the state changed last, for operators. */
  reason: string;
  /** Rollout attempt that this state belongs to: the version's `rolloutAttempt` when it was written. */
  attempt: number;
  /** Fencing token of the owner that wrote the state. */
  fencingToken: number;
}

/** A problem in a service document. */
export interface IDocumentProblem {
  /** Line of the text; `undefined` when a whole section is missing. */
  line: number | undefined;
  /** Section and key, such as `[version small-1] stage`. */
  key: string;
  /** What is wrong and what is allowed. */
  message: string;
}

/** Content of the store key `config/index`. */
export interface IConfigIndex {
  /** Number of the document in force for each service. */
  services: Readonly<Record<string, number>>;
  /** Rollout states by service, then by version. */
  rollouts: Readonly<Record<string, Readonly<Record<string, IRolloutState>>>>;
}

/** Content of a store key `config/<service>/<number>`. */
export interface IConfigRecord {
  service: string;
  number: number;
  text: string;
  author: string;
  /** Wall-clock time of the edit, ISO 8601. */
  editedAt: string;
}

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
  /** Quality to assume before ratings arrive, 0 to 1. */
  expectedQuality: number;
  /** Raised by an operator to start a halted rollout again; 1 at first. */
  rolloutAttempt: number;
}

/** A client account and its limits. */
export interface IAccountSpec {
  name: string;
  /** SHA-256 of the account's key, in hex. */
  keySha256: string;
  /** Versions that the account's requests may run on. */
  versions: readonly string[];
  plainServices: readonly string[];
  requestsPerSecond: number;
  maxInFlight: number;
  /** Share of capacity under contention, relative to the other accounts. */
  weight: number;
}

/** A plain service that stands beside the model engines. */
export interface IPlainServiceSpec {
  name: string;
  /** HTTP methods whose calls may be repeated. */
  idempotentMethods: readonly string[];
  pricePerCall: number;
}

/** How the choice of a version learns, and when drafts are tried first. */
export interface ILearningSpec {
  /** Largest share of requests that try a version whose quality is not known yet. */
  explorationShare: number;
  /** Share of finished answers sent to the rating service. */
  ratingShare: number;
  /** Number of ratings that `expectedQuality` counts for. */
  priorRatings: number;
  /** Whether a cheap draft may be tried before a stronger version. */
  usesCascades: boolean;
  /** Longest wait for the score of a draft. */
  draftCheckMs: Millis;
  /** Lowest score of a draft that is delivered. */
  draftAcceptScore: number;
}

/** How versions are rolled out. */
export interface IRolloutSpec {
  /** Shortest time at each share. */
  stepMs: Millis;
  /** Ratings of the new version needed before the next share. */
  stepRatings: number;
  /** Largest probability of halting a version that is as good as the stable one. */
  falseHaltRate: number;
}

/** The document that a team writes for its service. */
export interface IServiceDocument {
  name: string;
  /** Share of good answers that must be reached, 0 to 1. */
  qualityTarget: number;
  /** Confidence with which the target must be met, 0 to 1. */
  qualityConfidence: number;
  defaultDeadlineMs: Millis;
  /** What the service weighs most: `cost` also weighs exposure, `latency` also weighs the crest. */
  preference: 'cost' | 'latency';
  /** Whether an escalated answer's earlier drafts are billed. */
  billsDrafts: boolean;
  /** Largest share of traffic of a version that is rolling out. */
  rolloutMaxShare: number;
  learning: ILearningSpec;
  rollout: IRolloutSpec;
  versions: Readonly<Record<string, IVersionSpec>>;
  accounts: Readonly<Record<string, IAccountSpec>>;
  plainServices: Readonly<Record<string, IPlainServiceSpec>>;
}

/** Verdict on a version that is rolling out. */
export type RolloutVerdict = 'ramping' | 'halted' | 'passed';

/** Roll-out state beside the document; written by the roll-out owner only. */
export interface IRolloutState {
  version: string;
  verdict: RolloutVerdict;
  /** Share of eligible requests, 0 to 1. */
  share: number;
  /** Reason of the last change, for operators. */
  reason: string;
  /** The version's `rolloutAttempt` that this state belongs to. */
  attempt: number;
  /** Fencing token of the owner that wrote the state. */
  fencingToken: number;
}

/** A problem in a service document, with the place and what is allowed. */
export interface IDocumentProblem {
  line: number | undefined;
  key: string;
  message: string;
}

/** Content of the store key `config/index`. */
export interface IConfigIndex {
  /** Document number in force for each service. */
  services: Readonly<Record<string, number>>;
  /** Roll-out states by service, then by version. */
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

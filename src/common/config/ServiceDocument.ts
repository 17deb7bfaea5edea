import { Result } from 'true-myth';
import * as z from 'zod';
import type {
  IAccountSpec,
  IDocumentProblem,
  ILearningSpec,
  IPlainServiceSpec,
  IRolloutSpec,
  IServiceDocument,
  IVersionSpec,
} from './Types.js';

/** Values of an INI text by section title, then by key. Keys before the first section have the title ''. */
export type IniSections = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** Finds the line number of a key, or of the section's title when no key is given. */
export type FindLine = (section: string, key?: string) => number | undefined;

const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits or dashes');
const COMMA_SEPARATED_LIST = z.string().transform((text) => splitList(text));
const SHARE = z.coerce.number().min(0).max(1);
const PRICE = z.coerce.number().min(0).max(1_000_000);

const SERVICE_SCHEMA = z.strictObject({
  name: NAME,
  quality_target: SHARE,
  quality_confidence: SHARE.default(0.95),
  default_deadline_ms: z.coerce.number().int().min(100).max(86_400_000).default(60_000),
  preference: z.enum(['cost', 'latency']).default('cost'),
  bills_drafts: z.enum(['yes', 'no']).default('no'),
  rollout_max_share: SHARE.default(1),
  exploration_share: SHARE.default(0.02),
  rating_share: SHARE.default(0.1),
  prior_ratings: z.coerce.number().min(1).max(10_000).default(10),
  cascades: z.enum(['yes', 'no']).default('yes'),
  draft_check_ms: z.coerce.number().int().min(1).max(60_000).default(500),
  draft_accept_score: SHARE.default(0.5),
  rollout_step_s: z.coerce.number().min(1).max(604_800).default(300),
  rollout_step_ratings: z.coerce.number().int().min(1).max(1_000_000).default(50),
  rollout_false_halt: z.coerce.number().min(0.000001).max(0.5).default(0.001),
});

const VERSION_SCHEMA = z.strictObject({
  model: NAME,
  stage: z.enum(['rolling-out', 'stable', 'withdrawing', 'withdrawn']),
  price_per_1k_tokens: PRICE,
  expected_quality: SHARE.default(0.5),
  rollout_attempt: z.coerce.number().int().min(1).max(1_000_000).default(1),
});

const ACCOUNT_SCHEMA = z.strictObject({
  key_sha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 lower-case hex digits'),
  versions: COMMA_SEPARATED_LIST.default([]),
  plain_services: COMMA_SEPARATED_LIST.default([]),
  requests_per_second: z.coerce.number().min(0.01).max(100_000).default(100),
  max_in_flight: z.coerce.number().int().min(1).max(100_000).default(1000),
  weight: z.coerce.number().min(0.01).max(1000).default(1),
});

const PLAIN_SERVICE_SCHEMA = z.strictObject({
  idempotent_methods: COMMA_SEPARATED_LIST.default(['GET', 'HEAD']),
  price_per_call: PRICE.default(0),
});

/** Validates the sections of a service document. On failure, returns all problems, not only the first. */
export function parseServiceDocument(
  sections: IniSections,
  findLine: FindLine,
): Result<IServiceDocument, readonly IDocumentProblem[]> {
  const reader = new SectionReader(sections, findLine);
  const service = reader.readSection('service', SERVICE_SCHEMA);
  const versions = reader.readNamedSections('version', VERSION_SCHEMA, buildVersion);
  const accounts = reader.readNamedSections('account', ACCOUNT_SCHEMA, buildAccount);
  const plainServices = reader.readNamedSections('plain', PLAIN_SERVICE_SCHEMA, buildPlainService);
  reader.checkUnknownSections();
  reader.checkReferences(accounts, versions, plainServices);
  if (!service || reader.problems.length > 0) return Result.err(reader.problems);
  return Result.ok({
    name: service.name,
    qualityTarget: service.quality_target,
    qualityConfidence: service.quality_confidence,
    defaultDeadlineMs: service.default_deadline_ms,
    preference: service.preference,
    billsDrafts: service.bills_drafts === 'yes',
    rolloutMaxShare: service.rollout_max_share,
    learning: buildLearning(service),
    rollout: buildRollout(service),
    versions,
    accounts,
    plainServices,
  });
}

/** Formats a problem as one line: `line 12, [version small-1] stage: ...`. */
export function formatProblem(problem: IDocumentProblem): string {
  const place = problem.line === undefined ? '' : `line ${problem.line}, `;
  return `${place}${problem.key}: ${problem.message}`;
}

/** Reads and validates the sections of a service document, and collects the problems found. */
class SectionReader {
  public readonly problems: IDocumentProblem[] = [];

  constructor(
    private readonly _sections: IniSections,
    private readonly _findLine: FindLine,
  ) {}

  public readSection<T extends z.ZodType>(title: string, schema: T): z.output<T> | undefined {
    const section = this._sections[title];
    if (!section) {
      this.problems.push({ line: undefined, key: `[${title}]`, message: 'the section is missing' });
      return undefined;
    }
    const parsed = schema.safeParse(section);
    if (parsed.success) return parsed.data;
    const allowed = schema instanceof z.ZodObject ? Object.keys(schema.shape) : [];
    for (const issue of parsed.error.issues) this._addZodIssue(title, issue, allowed);
    return undefined;
  }

  /** Reads all sections with titles such as `[version small-1]`: the kind, a space and a name. */
  public readNamedSections<T extends z.ZodType, V>(
    kind: string,
    schema: T,
    build: (name: string, fields: z.output<T>) => V,
  ): Record<string, V> {
    const values: Record<string, V> = {};
    for (const title of Object.keys(this._sections)) {
      if (!title.startsWith(`${kind} `)) continue;
      const name = title.slice(kind.length + 1).trim();
      if (!NAME.safeParse(name).success) {
        this._addProblem(title, undefined, `the name '${name}' must be lower-case letters, digits or dashes`);
        continue;
      }
      const fields = this.readSection(title, schema);
      if (fields !== undefined) values[name] = build(name, fields);
    }
    return values;
  }

  public checkUnknownSections(): void {
    for (const title of Object.keys(this._sections)) {
      if (title === 'service' || /^(version|account|plain) /.test(title)) continue;
      const allowed = '[service], [version NAME], [account NAME], [plain NAME]';
      this._addProblem(title, undefined, `unknown section; allowed are ${allowed}`);
    }
  }

  /** Checks that the versions and plain services that accounts name are defined. */
  public checkReferences(
    accounts: Readonly<Record<string, IAccountSpec>>,
    versions: Readonly<Record<string, IVersionSpec>>,
    plainServices: Readonly<Record<string, IPlainServiceSpec>>,
  ): void {
    for (const account of Object.values(accounts)) {
      this._checkNamesAreDefined(
        `account ${account.name}`,
        'versions',
        account.versions,
        Object.keys(versions),
      );
      const allowed = Object.keys(plainServices);
      this._checkNamesAreDefined(`account ${account.name}`, 'plain_services', account.plainServices, allowed);
    }
  }

  private _checkNamesAreDefined(
    title: string,
    key: string,
    names: readonly string[],
    allowed: readonly string[],
  ): void {
    for (const name of names) {
      if (allowed.includes(name)) continue;
      const choices = allowed.length > 0 ? allowed.join(', ') : 'none';
      this._addProblem(title, key, `'${name}' is not defined; defined are: ${choices}`);
    }
  }

  private _addZodIssue(title: string, issue: z.core.$ZodIssue, allowed: readonly string[]): void {
    if (issue.code === 'unrecognized_keys') {
      const message = `unknown key; allowed are ${allowed.join(', ')}`;
      for (const key of issue.keys) this._addProblem(title, key, message);
      return;
    }
    const key = issue.path[0];
    this._addProblem(title, key === undefined ? undefined : String(key), issue.message);
  }

  private _addProblem(title: string, key: string | undefined, message: string): void {
    const place = key === undefined ? `[${title}]` : `[${title}] ${key}`;
    this.problems.push({ line: this._findLine(title, key), key: place, message });
  }
}

function buildLearning(fields: z.output<typeof SERVICE_SCHEMA>): ILearningSpec {
  return {
    explorationShare: fields.exploration_share,
    ratingShare: fields.rating_share,
    priorRatings: fields.prior_ratings,
    usesCascades: fields.cascades === 'yes',
    draftCheckMs: fields.draft_check_ms,
    draftAcceptScore: fields.draft_accept_score,
  };
}

function buildRollout(fields: z.output<typeof SERVICE_SCHEMA>): IRolloutSpec {
  return {
    stepMs: fields.rollout_step_s * 1000,
    stepRatings: fields.rollout_step_ratings,
    falseHaltRate: fields.rollout_false_halt,
  };
}

function buildVersion(name: string, fields: z.output<typeof VERSION_SCHEMA>): IVersionSpec {
  return {
    name,
    model: fields.model,
    stage: fields.stage,
    pricePerThousandTokens: fields.price_per_1k_tokens,
    expectedQuality: fields.expected_quality,
    rolloutAttempt: fields.rollout_attempt,
  };
}

function buildAccount(name: string, fields: z.output<typeof ACCOUNT_SCHEMA>): IAccountSpec {
  return {
    name,
    keySha256: fields.key_sha256,
    versions: fields.versions,
    plainServices: fields.plain_services,
    requestsPerSecond: fields.requests_per_second,
    maxInFlight: fields.max_in_flight,
    weight: fields.weight,
  };
}

function buildPlainService(name: string, fields: z.output<typeof PLAIN_SERVICE_SCHEMA>): IPlainServiceSpec {
  return { name, idempotentMethods: fields.idempotent_methods, pricePerCall: fields.price_per_call };
}

function splitList(text: string): string[] {
  return text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item.length > 0);
}

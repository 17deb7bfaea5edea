import { Result } from 'true-myth';
import * as z from 'zod';
import { parseIni } from '../adapters/Ini.js';
import { ENDPOINT_POLICIES, VERSION_POLICIES } from './Policies.js';

const ADDRESS_SCHEMA = z.string().regex(/^https?:\/\/[0-9a-f.:[\]]+:\d+$/, 'must be http://IP:PORT');
const PORT_SCHEMA = z.coerce.number().int().min(0).max(65_535);

const SETTINGS_SCHEMA = z.strictObject({
  host: z.strictObject({
    id: z.string().min(1),
    ip: z.string().default('127.0.0.1'),
    zone: z.string().min(1),
    port: PORT_SCHEMA,
    peer_port: PORT_SCHEMA,
    peer_key: z.string().min(16, 'must have at least 16 characters'),
  }),
  platform: z.strictObject({
    store: ADDRESS_SCHEMA,
    host_list: ADDRESS_SCHEMA,
    host_list_interval_ms: z.coerce.number().int().min(50).default(1000),
    ratings: ADDRESS_SCHEMA.optional(),
    weight_store: ADDRESS_SCHEMA.optional(),
  }),
  limits: z
    .strictObject({
      max_body_bytes: z.coerce.number().int().min(1024).default(4_194_304),
      body_timeout_ms: z.coerce.number().int().min(100).default(10_000),
      drain_grace_ms: z.coerce.number().int().min(0).default(3000),
    })
    .prefault({}),
  journal: z
    .strictObject({
      partitions: z.coerce.number().int().min(1).max(64).default(8),
      commit_interval_ms: z.coerce.number().int().min(1).default(40),
      claim_retention_hours: z.coerce.number().int().min(1).default(168),
    })
    .prefault({}),
  policy: z
    .strictObject({
      endpoints: z.enum(ENDPOINT_POLICIES).default('default'),
      versions: z.enum(VERSION_POLICIES).default('default'),
    })
    .prefault({}),
  logs: z.strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') }).prefault({}),
  timeline: z.strictObject({ file: z.string().optional() }).prefault({}),
  metrics: z
    .strictObject({ statsd_host: z.string().optional(), statsd_port: PORT_SCHEMA.default(8125) })
    .prefault({}),
});

/** Settings of an entry host, as read from its INI file. */
export type HostSettings = z.output<typeof SETTINGS_SCHEMA>;

/**
 * Parses and validates settings. The error lists all problems, each with its section, key and line number.
 */
export function parseSettings(text: string): Result<HostSettings, string> {
  const { sections, findLine } = parseIni(text);
  const parsed = SETTINGS_SCHEMA.safeParse(sections);
  if (parsed.success) return Result.ok(parsed.data);
  const problems = parsed.error.issues.map((issue) => {
    const [section = '', key] = issue.path.map(String);
    const line = findLine(section, key);
    const position = line === undefined ? '' : `line ${line}, `;
    return `${position}[${section}]${key === undefined ? '' : ` ${key}`}: ${issue.message}`;
  });
  return Result.err(problems.join('; '));
}

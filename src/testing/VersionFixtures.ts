import { Result } from 'true-myth';
import { configCodec } from '../adapters/ConfigStore.js';
import type { IRequestEntry, IServiceEntry } from '../common/blackboard/Types.js';
import type { IRolloutState, IServiceDocument, VersionStage } from '../common/config/Types.js';
import type { IJournal, IJournalRecord } from '../common/coordination/Types.js';
import { INITIAL_REQUEST_FIELDS } from '../common/request/InitialFields.js';

/**
 * Stages by version name. Each version has four times the price of the one before it, and a higher expected
 * quality, up to 0.97.
 */
export type VersionStages = Readonly<Record<string, VersionStage>>;

/**
 * Builds a service document with one client account, which may use every version. The part of a version's
 * name before the hyphen is its model. `serviceLines` are further lines of the `[service]` section.
 */
export function buildTestDocument(stages: VersionStages, serviceLines = ''): IServiceDocument {
  const names = Object.keys(stages);
  const versions = names.map(
    (name, index) => `[version ${name}]
model = ${name.split('-')[0] ?? name}
stage = ${stages[name] ?? 'stable'}
price_per_1k_tokens = ${4 ** index / 4}
expected_quality = ${Math.min(0.97, 0.8 + index * 0.1)}`,
  );
  const parsed = configCodec.parseDocument(`[service]
name = deposits
quality_target = 0.9
${serviceLines}
${versions.join('\n')}
[account depot-north]
key_sha256 = ${'0'.repeat(64)}
versions = ${names.join(', ')}
`);
  if (parsed.isErr) throw new Error(JSON.stringify(parsed.error));
  return parsed.value;
}

/** Builds the entry of a service in the `services` panel. */
export function buildTestService(
  document: IServiceDocument,
  rollouts: Readonly<Record<string, IRolloutState>> = {},
): IServiceEntry {
  return { name: document.name, document, revision: 1, rollouts };
}

/** Builds the state of a version's rollout: ramping, with a share of 0.2, unless `patch` says otherwise. */
export function buildTestRolloutState(version: string, patch: Partial<IRolloutState> = {}): IRolloutState {
  const state = { version, verdict: 'ramping', share: 0.2, reason: '', attempt: 1, fencingToken: 1 } as const;
  return { ...state, ...patch };
}

/** Builds a claimed request that leaves the choice of the version to the router. Not streamed by default. */
export function buildTestRequest(patch: Partial<IRequestEntry> = {}, isStreaming = false): IRequestEntry {
  const body = {};
  const sizes = { promptTokens: 100, maxTokens: 100, prefixHashes: [] };
  return {
    id: 'r-1',
    phase: 'claimed',
    service: 'deposits',
    account: 'depot-north',
    kind: 'tag-note',
    target: { kind: 'model', model: 'auto', isStreaming, ...sizes, body },
    isIdempotent: true,
    idempotencyKey: undefined,
    fingerprint: 'f',
    session: undefined,
    priority: 'normal',
    receivedAt: 0,
    deadlineAt: 60_000,
    ...INITIAL_REQUEST_FIELDS,
    ...patch,
  };
}

/**
 * Creates a journal in memory that stores only the first pin of each key. Later entries of that key are
 * reported as duplicates.
 */
export function createPinJournal(): IJournal {
  const recordsByKey = new Map<string, IJournalRecord>();
  return {
    append: (key, entries) => {
      const existing = recordsByKey.get(key);
      if (existing) return Promise.resolve(Result.ok([{ kind: 'duplicate', record: existing }]));
      const pin = entries.find((entry) => entry.kind === 'pin');
      const unclaimedFields = {
        claim: 'unclaimed',
        request: undefined,
        answer: undefined,
        isBilled: false,
        billedRequest: undefined,
      } as const;
      if (pin) recordsByKey.set(key, { key, ...unclaimedFields, version: pin.version, atMs: pin.atMs });
      return Promise.resolve(Result.ok([{ kind: 'committed' }]));
    },
    lookup: (key) => Promise.resolve(Result.ok(recordsByKey.get(key))),
  };
}

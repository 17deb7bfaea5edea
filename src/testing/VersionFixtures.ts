import { Result } from 'true-myth';
import { configCodec } from '../adapters/ConfigStore.js';
import type { IRequestEntry, IServiceEntry } from '../common/blackboard/Types.js';
import type { IRolloutState, IServiceDocument, VersionStage } from '../common/config/Types.js';
import type { IJournal, IJournalRecord } from '../common/coordination/Types.js';
import { UNDECIDED_REQUEST } from '../common/request/NewEntries.js';

/** Stages by version; price and expected quality grow with the position. */
export type VersionStages = Readonly<Record<string, VersionStage>>;

/** Builds a document whose one account may use every version. Names are `model-number`. */
export function buildTestDocument(stages: VersionStages, serviceLines = ''): IServiceDocument {
  const names = Object.keys(stages);
  const versions = names.map(
    (name, index) => `[version ${name}]
model = ${name.split('-')[0] ?? name}
stage = ${stages[name] ?? 'stable'}
price_per_1k_tokens = ${4 ** index / 4}
expected_quality = ${Math.min(0.97, 0.8 + index * 0.1)}`,
  );
  const parsed = configCodec.parseText(`[service]
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

/** Builds the entry of the `services` panel. */
export function buildTestService(
  document: IServiceDocument,
  rollouts: Readonly<Record<string, IRolloutState>> = {},
): IServiceEntry {
  return { name: document.name, document, revision: 1, rollouts };
}

/** Builds a rollout state. */
export function buildTestState(version: string, patch: Partial<IRolloutState> = {}): IRolloutState {
  const state = { version, verdict: 'ramping', share: 0.2, reason: '', attempt: 1, fencingToken: 1 } as const;
  return { ...state, ...patch };
}

/** Builds a claimed request for a whole answer of any version. */
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
    ...UNDECIDED_REQUEST,
    ...patch,
  };
}

/** Journal in memory that keeps the first pin of each key. */
export function createPinJournal(): IJournal {
  const pins = new Map<string, IJournalRecord>();
  return {
    append: (key, entries) => {
      const known = pins.get(key);
      if (known) return Promise.resolve(Result.ok([{ kind: 'duplicate', record: known }]));
      const pin = entries.find((entry) => entry.kind === 'pin');
      const empty = {
        claim: 'unclaimed',
        request: undefined,
        answer: undefined,
        isBilled: false,
        billedRequest: undefined,
      } as const;
      if (pin) pins.set(key, { key, ...empty, version: pin.version, atMs: pin.atMs });
      return Promise.resolve(Result.ok([{ kind: 'committed' }]));
    },
    lookup: (key) => Promise.resolve(Result.ok(pins.get(key))),
  };
}

import { readFileSync } from 'node:fs';
import test from 'ava';
import { formatProblem } from '../common/config/ServiceDocument.js';
import { parseDocumentText } from './ConfigStore.js';

// Guards against example documents that no longer validate. Operators start from a copy of an example, so
// their first edit would be rejected.
for (const name of ['caskback', 'society']) {
  test(`the example document ${name} is valid`, (t) => {
    const parsed = parseDocumentText(readFileSync(`examples/documents/${name}.ini`, 'utf8'));
    if (parsed.isErr) {
      t.fail(parsed.error.map(formatProblem).join('\n'));
      return;
    }
    const { accounts, ...document } = parsed.value;
    t.is(new Set(Object.values(accounts).map((account) => account.keySha256)).size, 10);
    t.snapshot({
      ...document,
      accounts: Object.values(accounts).map(({ name: id, weight }) => [id, weight]),
    });
  });
}

test('problems with version and rollout settings name the line and the allowed values', (t) => {
  const text = `[service]
name = deposits
quality_target = 0.9
exploration_share = 2
rating_share = some
prior_ratings = 0
cascades = maybe
draft_check_ms = 0
draft_accept_score = -1
rollout_step_s = 0
rollout_step_ratings = 1.5
rollout_false_halt = 0

[version small-1]
model = small
stage = stable
price_per_1k_tokens = 1
rollout_attempt = 0
`;
  const parsed = parseDocumentText(text);
  t.snapshot(parsed.isErr ? parsed.error.map(formatProblem) : 'valid');
});

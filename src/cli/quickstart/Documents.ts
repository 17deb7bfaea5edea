import { hashAccountKey } from '../../adapters/Random.js';

/** Key of the quickstart's client account. */
export const DEMO_ACCOUNT_KEY = 'demo-key-depot-north';

/** Service document of the quickstart with two versions, a plain service and a client account. */
export const DEMO_DOCUMENT = `[service]
name = deposits
quality_target = 0.9
default_deadline_ms = 10000

[version small-1]
model = small
stage = stable
price_per_1k_tokens = 0.2
expected_quality = 0.8

[version large-1]
model = large
stage = stable
price_per_1k_tokens = 2
expected_quality = 0.97

[plain ledger]
idempotent_methods = GET, HEAD
price_per_call = 0.01

[account depot-north]
key_sha256 = ${hashAccountKey(DEMO_ACCOUNT_KEY)}
versions = small-1, large-1
plain_services = ledger
requests_per_second = 50
`;

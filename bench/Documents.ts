import { hashAccountKey } from '../src/adapters/Random.js';

/** A version in the service document of the benchmark. */
export interface IBenchVersion {
  name: string;
  model: string;
  price: number;
  quality: number;
}

/** Contents of the service document of the benchmark. */
export interface IBenchDocument {
  versions: readonly IBenchVersion[];
  /** Number of client accounts. */
  accounts: number;
  /** Name of the plain service. */
  plainService: string;
  /** Comment in the document, which makes the text of each edit different. */
  comment?: string;
}

/** Name of the service of the benchmark. */
export const BENCH_SERVICE = 'bench';

/** Formats the API key of a client account of the benchmark. */
export function formatAccountKey(account: number): string {
  return `bench-key-of-account-${account}`;
}

/** Formats the service document. Its limits are so high that no request is refused because of them. */
export function formatDocument(document: IBenchDocument): string {
  const { accounts, comment, plainService, versions } = document;
  const parts = [
    `; ${comment ?? 'bench'}`,
    `[service]\nname = ${BENCH_SERVICE}\nquality_target = 0.9\ndefault_deadline_ms = 60000\n`,
    ...versions.map(
      ({ model, name, price, quality }) =>
        `[version ${name}]\nmodel = ${model}\nstage = stable\nprice_per_1k_tokens = ${price}\nexpected_quality = ${quality}\n`,
    ),
    `[plain ${plainService}]\nidempotent_methods = GET, HEAD\nprice_per_call = 0.01\n`,
  ];
  const names = versions.map(({ name }) => name).join(', ');
  for (let account = 0; account < accounts; account += 1) {
    parts.push(
      `[account account-${account}]\nkey_sha256 = ${hashAccountKey(formatAccountKey(account))}\n` +
        `versions = ${names}\nplain_services = ${plainService}\nrequests_per_second = 100000\nmax_in_flight = 100000\n`,
    );
  }
  return parts.join('\n');
}

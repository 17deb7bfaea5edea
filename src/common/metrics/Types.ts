/** Names of the metrics; docs/operators/metrics.md describes each. */
export type MetricName =
  | 'requests.answered'
  | 'requests.refused'
  | 'requests.first_token_ms'
  | 'requests.total_ms'
  | 'attempts.ended'
  | 'prompts.tokens'
  | 'prompts.cached_tokens'
  | 'prompts.cache_checks'
  | 'endpoints.unhealthy'
  | 'zones.evacuated'
  | 'endpoints.cold'
  | 'endpoints.uneven'
  | 'config.revision'
  | 'store.calls'
  | 'demand.offered_ms'
  | 'demand.admitted_ms'
  | 'demand.refused'
  | 'news.read_bytes'
  | 'news.sent_bytes'
  | 'memory.held_bytes'
  | 'memory.budget_bytes'
  | 'callers.connections'
  | 'callers.limited';

/** Tags of a sample, by name. */
export type MetricTags = Readonly<Record<string, string>>;

/** Receives samples and passes them to a metrics system. */
export interface IMetricsSink {
  /** Adds to a counter. `amount` is 1 by default. */
  count: (name: MetricName, tags: MetricTags, amount?: number) => void;
  /** Records a duration in milliseconds. */
  time: (name: MetricName, durationMs: number, tags: MetricTags) => void;
  gauge: (name: MetricName, value: number) => void;
}

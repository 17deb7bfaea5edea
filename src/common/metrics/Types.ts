/** Names of the metrics; docs/operators/metrics.md describes each. */
export type MetricName =
  | 'requests.answered'
  | 'requests.refused'
  | 'requests.first_token_ms'
  | 'requests.total_ms'
  | 'attempts.ended'
  | 'endpoints.unhealthy'
  | 'config.revision'
  | 'store.calls';

/** Tags of a sample, by name. */
export type MetricTags = Readonly<Record<string, string>>;

/** Receives samples and passes them to a metrics system. */
export interface IMetricsSink {
  count: (name: MetricName, tags: MetricTags) => void;
  /** Records a duration in milliseconds. */
  time: (name: MetricName, durationMs: number, tags: MetricTags) => void;
  gauge: (name: MetricName, value: number) => void;
}

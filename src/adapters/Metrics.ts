import { StatsD } from 'hot-shots';
import type { IMetricsSink } from '../common/metrics/Types.js';

/** Options of the metrics client. */
export interface IMetricsClientOptions {
  /** IP of the StatsD server. */
  host: string;
  port: number;
  /** Id of this entry host, sent as a tag with each sample. */
  entryHost: string;
  onError: (error: Error) => void;
}

/** A metrics client and its clean-up. */
export interface IMetricsClient {
  sink: IMetricsSink;
  close: () => void;
}

/** Creates a client that sends metrics to a StatsD server by UDP. */
export function createMetricsClient(options: IMetricsClientOptions): IMetricsClient {
  const { entryHost, host, onError, port } = options;
  const client = new StatsD({
    host,
    port,
    prefix: 'mulberryweir.',
    globalTags: { entry_host: entryHost },
    errorHandler: onError,
    // Samples of one interval share a packet.
    maxBufferSize: 1400,
    bufferFlushInterval: 500,
  });
  return {
    sink: {
      count: (name, tags) => {
        client.increment(name, tags);
      },
      time: (name, durationMs, tags) => {
        client.histogram(name, durationMs, tags);
      },
      gauge: (name, value) => {
        client.gauge(name, value);
      },
    },
    close: () => {
      client.close();
    },
  };
}

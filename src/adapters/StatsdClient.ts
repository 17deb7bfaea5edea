import { StatsD } from 'hot-shots';
import type { IMetricsSink } from '../common/metrics/Types.js';

/** Options of the StatsD client. */
export interface IStatsdClientOptions {
  /** IP address of the StatsD server. */
  host: string;
  port: number;
  /** Id of this host, sent with each sample as the tag `entry_host`. */
  entryHost: string;
  onError: (error: Error) => void;
}

/** A metrics sink and the function that closes its client. */
export interface IStatsdClient {
  sink: IMetricsSink;
  close: () => void;
}

/** Creates a client that sends metrics to a StatsD server over UDP. */
export function createStatsdClient(options: IStatsdClientOptions): IStatsdClient {
  const { entryHost, host, onError, port } = options;
  const client = new StatsD({
    host,
    port,
    prefix: 'mulberryweir.',
    globalTags: { entry_host: entryHost },
    errorHandler: onError,
    // Samples are buffered, so that one UDP packet carries many of them.
    maxBufferSize: 1400,
    bufferFlushInterval: 500,
  });
  return {
    sink: {
      count: (name, tags, amount = 1) => {
        client.increment(name, amount, tags);
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

import { createServer, type Server, type ServerResponse } from 'node:http';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { IMetricsSink, MetricName, MetricTags } from '../common/metrics/Types.js';
import { startListening } from './Listening.js';

/** Upper bounds of the latency buckets, in milliseconds. */
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1000, 2000, 4000, 8000, 16_000];

/** Labels of each metric. prom-client requires them when a metric is created. */
const LABELS: Readonly<Record<MetricName, readonly string[]>> = {
  'requests.answered': ['service', 'account', 'version'],
  'requests.refused': ['service', 'account', 'code', 'ran'],
  'requests.first_token_ms': ['version'],
  'requests.total_ms': ['service', 'version'],
  'attempts.ended': ['version', 'role', 'outcome'],
  'prompts.tokens': ['service'],
  'prompts.cached_tokens': ['service'],
  'prompts.cache_checks': ['service', 'outcome'],
  'endpoints.unhealthy': [],
  'zones.evacuated': [],
  'endpoints.cold': [],
  'endpoints.uneven': [],
  'config.revision': [],
  'store.calls': ['operation', 'outcome'],
  'demand.offered_ms': ['service', 'account', 'class'],
  'demand.admitted_ms': ['service', 'account', 'class'],
  'demand.refused': ['service', 'account', 'class'],
  'news.read_bytes': ['kind'],
  'news.sent_bytes': ['reply'],
  'memory.held_bytes': [],
  'memory.budget_bytes': [],
  'callers.connections': [],
  'callers.limited': ['cause'],
};

/** Answers a question with a value that is encoded as JSON. It must not change anything. */
export type AnswerQuestion = (query: URLSearchParams) => unknown;

/** Collects the metrics of this process and serves them as text in the Prometheus format. */
export class PrometheusExporter {
  private readonly _registry = new Registry();
  private readonly _counters = new Map<MetricName, Counter>();
  private readonly _histograms = new Map<MetricName, Histogram>();
  private readonly _gauges = new Map<MetricName, Gauge>();
  private readonly _pages = new Map<string, AnswerQuestion>();
  private _server: Server | undefined;

  public readonly sink: IMetricsSink = {
    count: (name, tags, amount) => {
      const counter = this._counters.get(name) ?? this._createCounter(name);
      counter.inc(pickLabels(name, tags), amount);
    },
    time: (name, durationMs, tags) => {
      const histogram = this._histograms.get(name) ?? this._createHistogram(name);
      histogram.observe(pickLabels(name, tags), durationMs);
    },
    gauge: (name, value) => {
      const gauge = this._gauges.get(name) ?? this._createGauge(name);
      gauge.set(value);
    },
  };

  /** Serves the metrics at `/metrics`. */
  public startListening(ip: string, port: number): Promise<void> {
    const server = createServer((request, response) => {
      const [path = '', query = ''] = (request.url ?? '').split('?', 2);
      const answer = this._pages.get(path);
      if (answer && request.method === 'GET') {
        writeAnswer(response, () => answer(new URLSearchParams(query)));
        return;
      }
      if (request.url !== '/metrics') {
        response.writeHead(404).end();
        return;
      }
      void this._registry.metrics().then((text) => {
        response.writeHead(200, { 'content-type': this._registry.contentType }).end(text);
      });
    });
    this._server = server;
    return startListening(server, ip, port);
  }

  /** Serves the answers to questions, as JSON, at a path. */
  public addPage(path: string, answer: AnswerQuestion): void {
    this._pages.set(path, answer);
  }

  /** Stops serving. */
  public close(): void {
    this._server?.close();
    this._server?.closeAllConnections();
  }

  private _createCounter(name: MetricName): Counter {
    const counter = new Counter({ ...this._buildMetricOptions(name), labelNames: [...LABELS[name]] });
    this._counters.set(name, counter);
    return counter;
  }

  private _createHistogram(name: MetricName): Histogram {
    const options = {
      ...this._buildMetricOptions(name),
      labelNames: [...LABELS[name]],
      buckets: LATENCY_BUCKETS_MS,
    };
    const histogram = new Histogram(options);
    this._histograms.set(name, histogram);
    return histogram;
  }

  private _createGauge(name: MetricName): Gauge {
    const gauge = new Gauge(this._buildMetricOptions(name));
    this._gauges.set(name, gauge);
    return gauge;
  }

  private _buildMetricOptions(name: MetricName): { name: string; help: string; registers: Registry[] } {
    const registers = [this._registry];
    return { name: `mulberryweir_${name.replaceAll('.', '_')}`, help: `See ${name} in the docs.`, registers };
  }
}

/** Writes an answer; one that fails must not end the process. */
function writeAnswer(response: ServerResponse, answer: () => unknown): void {
  try {
    const text = JSON.stringify(answer());
    response.writeHead(200, { 'content-type': 'application/json' }).end(text);
  } catch {
    response.writeHead(500).end();
  }
}

function pickLabels(name: MetricName, tags: MetricTags): Record<string, string> {
  return Object.fromEntries(LABELS[name].map((label) => [label, tags[label] ?? '']));
}

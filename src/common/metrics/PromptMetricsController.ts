import type { Blackboard } from '../blackboard/Blackboard.js';
import { Disposable } from '../Lifecycle.js';
import type { IMetricsSink } from './Types.js';

/** Records how many tokens of prompts were expected to be cached, and how often the expectation was met. */
export class PromptMetricsController extends Disposable {
  constructor(board: Blackboard, sink: IMetricsSink) {
    super();
    this._register(
      board.servicePrompts.onChange(({ key: service, before, after }) => {
        const tokens = (after?.promptTokens ?? 0) - (before?.promptTokens ?? 0);
        const cachedTokens = (after?.cachedTokens ?? 0) - (before?.cachedTokens ?? 0);
        if (tokens > 0) sink.count('prompts.tokens', { service }, tokens);
        if (cachedTokens > 0) sink.count('prompts.cached_tokens', { service }, Math.round(cachedTokens));
      }),
    );
    this._register(
      board.cacheChecks.onChange(({ key: service, before, after }) => {
        if (!after) return;
        const isMet = after.metCount > (before?.metCount ?? 0);
        sink.count('prompts.cache_checks', { service, outcome: isMet ? 'met' : 'missed' });
      }),
    );
  }
}

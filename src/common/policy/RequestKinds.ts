import type { RequestTarget } from '../blackboard/Types.js';

const SHORT_PROMPT_TOKENS = 200;
const LONG_PROMPT_TOKENS = 2000;
const SHORT_ANSWER_TOKENS = 64;

/**
 * Derives the kind of a request that the caller has not labelled from the lengths of its prompt and of its
 * answer.
 */
export function classifyRequestKind(target: RequestTarget): string {
  if (target.kind === 'plain') return 'default';
  const answer = target.maxTokens <= SHORT_ANSWER_TOKENS ? 'brief' : 'full';
  if (target.promptTokens <= SHORT_PROMPT_TOKENS) return `short-prompt-${answer}`;
  return target.promptTokens >= LONG_PROMPT_TOKENS ? `long-prompt-${answer}` : `medium-prompt-${answer}`;
}

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { IAttemptEntry, IRequestEntry } from '../blackboard/Types.js';
import { parseVersion } from '../fleet/Versions.js';
import { Disposable } from '../Lifecycle.js';

/** Options of the model confidence controller. */
export interface IModelConfidenceOptions {
  board: Blackboard;
  /** Confidence, 0 to 1, from which on an answer counts as good. Default 0.5. */
  minConfidence?: number;
}

/** Answers after which older ones count half, so that the shares follow changes of the traffic. */
const MAX_ANSWERS = 200;

/** Answers from which on a share is used. */
const MIN_ANSWERS = 20;

/** Keeps the `modelConfidence` panel: how often each model has been confident in its answers to requests of a size. */
export class ModelConfidenceController extends Disposable {
  constructor(private readonly _options: IModelConfidenceOptions) {
    super();
    this._register(
      _options.board.attempts.onChange(({ before, after }) => {
        if (after?.confidence !== undefined && before?.confidence === undefined) this._count(after);
      }),
    );
  }

  private _count({ confidence = 0, request: requestId, version = '' }: IAttemptEntry): void {
    const { board, minConfidence = 0.5 } = this._options;
    const request = board.requests.get(requestId);
    const model = parseVersion(version)?.model;
    if (!request || model === undefined) return;
    const key = formatConfidenceKey(request, model);
    const { answers = 0, confident = 0 } = board.modelConfidence.get(key) ?? {};
    const weight = answers < MAX_ANSWERS ? 1 : 0.5;
    board.modelConfidence.set(key, {
      key,
      answers: weight * answers + 1,
      confident: weight * confident + (confidence >= minConfidence ? 1 : 0),
    });
  }
}

/**
 * Finds the share of the answers of a model to requests of the size of this one in which it was confident, 0 to 1;
 * `undefined` if there were too few.
 * @example
 * findConfidentShare(board, request, 'small'); // 0.25
 */
export function findConfidentShare(
  { modelConfidence }: Blackboard,
  request: IRequestEntry,
  model: string,
): number | undefined {
  const { answers = 0, confident = 0 } = modelConfidence.get(formatConfidenceKey(request, model)) ?? {};
  return answers < MIN_ANSWERS ? undefined : confident / answers;
}

/** Sizes are told apart by the power of two of the tokens of a request, those that it may generate included. */
function formatConfidenceKey({ service, target }: IRequestEntry, model: string): string {
  const tokens = target.kind === 'model' ? target.promptTokens + target.maxTokens : 0;
  return `${service}/${model}/${Math.floor(Math.log2(Math.max(1, tokens)))}`;
}

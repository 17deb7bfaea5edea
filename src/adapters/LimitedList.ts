import * as z from 'zod';

/** Options of a list in a message or a stored value. */
export interface ILimitedListOptions {
  /** Largest number of items. Default 20,000. */
  maxLength?: number;
}

const DEFAULT_MAX_LENGTH = 20_000;

/**
 * Creates the schema of a list that is refused as a whole at its first invalid item. `z.array` describes each of them,
 * and a megabyte has room for half a million: that many descriptions take seconds and more memory than the process has.
 * @example
 * const REPLY_SCHEMA = z.object({ ids: limitList(z.string(), { maxLength: 100 }) });
 * REPLY_SCHEMA.safeParse({ ids: [1, 2] }).error?.issues.length; // 1
 */
export function limitList<Item extends z.ZodType>(
  item: Item,
  { maxLength = DEFAULT_MAX_LENGTH }: ILimitedListOptions = {},
) {
  return z.unknown().transform((value, context): z.output<Item>[] => {
    const refuse = (message: string, path: readonly PropertyKey[] = []): never => {
      context.addIssue({ code: 'custom', message, path: [...path] });
      return z.NEVER;
    };
    if (!Array.isArray(value)) return refuse('The value is not a list.');
    if (value.length > maxLength) return refuse(`The list has more than ${maxLength} items.`);
    const items: z.output<Item>[] = [];
    for (const [index, candidate] of value.entries()) {
      const parsed = item.safeParse(candidate);
      if (!parsed.success) {
        const [issue] = parsed.error.issues;
        return refuse(issue?.message ?? 'The item is not valid.', [index, ...(issue?.path ?? [])]);
      }
      items.push(parsed.data);
    }
    return items;
  });
}

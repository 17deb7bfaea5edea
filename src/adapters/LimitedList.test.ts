import test from 'ava';
import * as z from 'zod';
import { limitList } from './LimitedList.js';

// Guards against a message that costs seconds and the memory of the process, because each of its items is wrong.
test('a list is refused as a whole, with one reason', (t) => {
  const schema = z.object({
    rows: limitList(limitList(z.number(), { maxLength: 3 }), { maxLength: 2 }).default([]),
  });
  const describe = (rows: unknown): unknown => {
    const { data, error } = schema.safeParse(rows === undefined ? {} : { rows });
    return error ? error.issues.map(({ message, path }) => `${path.join('.')}: ${message}`) : data;
  };
  t.snapshot({
    absent: describe(undefined),
    valid: describe([[1, 2, 3], []]),
    'no list': describe({ length: 1 }),
    'too long': describe([[], [], []]),
    'too long within': describe([[1], [1, 2, 3, 4]]),
    'wrong items': describe([['a', 'b', 'c'], 'd']),
  });
});

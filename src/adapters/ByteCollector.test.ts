import test from 'ava';
import { ByteCollector } from './ByteCollector.js';

// Guards against a body whose small parts take a hundred times their bytes, or whose parts change places.
test('parts of every size are combined in order, and small ones are copied together', (t) => {
  const collector = new ByteCollector();
  const parts = Array.from({ length: 3000 }, (_, index) =>
    Buffer.alloc(index % 97 === 0 ? 5000 : 60, index % 251),
  );
  for (const part of parts) collector.add(part);
  t.true(collector.combine().equals(Buffer.concat(parts)));
  collector.clear();
  t.is(collector.combine().length, 0);
});

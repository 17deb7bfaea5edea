import test from 'ava';
import { findHeadFault } from './RequestHead.js';

const HEADS: readonly (readonly string[])[] = [
  [],
  ['Host', 'a.example'],
  ['host', 'a.example:8080'],
  ['Host', ''],
  ['Host', '[2001:db8::1]:80'],
  ['Accept', '*/*', 'HOST', '10.0.0.1:80'],
  ['Host', 'a.example', 'Accept', '*/*', 'host', 'a.example'],
  ['Host', 'a.example, b.example'],
  ['Host', 'a.example/x'],
  ['Host', 'user@a.example'],
  ['Host', 'a.example:port'],
  ['Host', '[2001:db8::1'],
];

// Guards against heads that one side takes and the other refuses, and against valid ones that are refused.
test('a head is invalid if it names several hosts, or one that is none', (t) => {
  t.snapshot(HEADS.map((head) => `${JSON.stringify(head)}: ${findHeadFault(head) ?? 'valid'}`));
});

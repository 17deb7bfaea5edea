import test from 'ava';
import type { ICrashEvidence } from '../fleet/Types.js';
import { findCrashingParts } from './CrashingParts.js';

/** Crashes one second apart, each with the prompts that were in flight at it. */
function createCrashes(prompts: readonly (readonly string[])[], stepMs = 1000): ICrashEvidence[] {
  return prompts.map((texts, index) => ({
    id: `crash-${index}`,
    crashedAt: index * stepMs,
    prompts: texts.map((text) => text.split(' ')),
  }));
}

test('the part that all crashes share is found, whatever else their prompts hold', (t) => {
  t.snapshot(findCrashingParts(createCrashes([['a bad x'], ['b bad y', 'd z'], ['a bad w', 'c']])));
});

test('parts that no crash tells apart form one group, so that neither is blocked alone', (t) => {
  t.snapshot(findCrashingParts(createCrashes([['a bad'], ['a bad'], ['a bad', 'c']])));
});

test('two parts that crash endpoints at the same time are both found', (t) => {
  const prompts = [['a bad'], ['a worse'], ['b bad'], ['b worse'], ['c bad'], ['c worse']];
  t.snapshot(findCrashingParts(createCrashes(prompts)));
});

test('a common part is not blamed for crashes at the same moment, nor any part for two crashes', (t) => {
  t.deepEqual(findCrashingParts(createCrashes([['a x'], ['a y'], ['a z'], ['a w']], 50)), []);
  t.deepEqual(findCrashingParts(createCrashes([['a bad'], ['b bad']])), []);
});

import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import addResume from '../src/addResume.js';

test('resume field', () => {
  fc.assert(
    fc.property(fc.string(), fc.nat(), fc.string(), (prompt, afterChunks, text) => {
      const body = addResume(JSON.stringify({ prompt }), afterChunks, text);
      expect(JSON.parse(body)).toEqual({ prompt, resume: { afterChunks, text } });
    }),
    { seed: 15, numRuns: 300 },
  );
});

test('other bodies stay', () => {
  expect(addResume('plain text', 1, 'x')).toEqual('plain text');
});

test('empty object', () => {
  expect(addResume('{ }', 1, 'x')).toEqual('{ "resume":{"afterChunks":1,"text":"x"}}');
});

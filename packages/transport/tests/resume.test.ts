import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import addResume from '../src/addResume.js';

test('adds the resume field to a JSON object', () => {
  fc.assert(
    fc.property(fc.string(), fc.nat(), fc.string(), (prompt, afterChunks, text) => {
      const body = addResume(JSON.stringify({ prompt }), afterChunks, text);
      expect(JSON.parse(body)).toEqual({ prompt, resume: { afterChunks, text } });
    }),
    { seed: 15, numRuns: 300 },
  );
});

test('leaves a body that is not JSON unchanged', () => {
  expect(addResume('plain text', 1, 'x')).toEqual('plain text');
});

test('adds the resume field to an empty object', () => {
  expect(addResume('{ }', 1, 'x')).toEqual('{ "resume":{"afterChunks":1,"text":"x"}}');
});

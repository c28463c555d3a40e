/** @module A short run of the soak, and the seeds that failed once. */
import { test } from 'node:test';
import { expect } from 'earl';
import { REGRESSIONS } from '../src/regressions.js';
import runSoak, { type SoakOptions } from '../src/runSoak.js';

const findBrokenPromises = async (options: SoakOptions): Promise<readonly string[]> => {
  const { violations, servedCount, folder } = await runSoak(options);
  expect(servedCount > 0).toEqual(true);
  return violations.map(({ promise, detail }) => `${promise}: ${detail} (logs: ${folder})`);
};

test('a short run keeps every promise', async () => {
  expect(await findBrokenPromises({ seed: 7, durationMs: 6_000 })).toEqual([]);
});

REGRESSIONS.forEach(({ cause, ...options }) =>
  test(`seed ${options.seed} once failed: ${cause}`, async () => {
    expect(await findBrokenPromises(options)).toEqual([]);
  }),
);

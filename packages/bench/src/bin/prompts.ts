#!/usr/bin/env node
/**
 * @module Compares placement policies under the same requests with prompts of different lengths.
 *
 * Prints the time to the first event by prompt length, as median / 99th percentile in milliseconds, and
 * draws it by tenth of the prompt length.
 */
import { writeFile } from 'node:fs/promises';
import { createRandom } from '@ebonysill/emulator';
import { command, number, option, optional, run, string } from 'cmd-ts';
import { drawChart, type ChartCase } from '../prompts/chart.js';
import { CAPTIONS, PARKING, type Pool } from '../prompts/deployments.js';
import { POLICIES } from '../prompts/policies.js';
import { formatTable } from '../prompts/print-table.js';
import { announceUsually, drawRequests, heavyTail } from '../prompts/prompt-mix.js';
import { replay } from '../prompts/replay.js';

/** A pool at a multiple of its usual load, with messages between gateways that take some time. */
interface BenchCase {
  readonly pool: Pool;
  readonly loadFactor: number;
  readonly delayMs: number;
}

const CASES: readonly BenchCase[] = [CAPTIONS, PARKING].flatMap((pool) =>
  [
    { loadFactor: 1, delayMs: 5 },
    { loadFactor: 1.6, delayMs: 5 },
    { loadFactor: 2.2, delayMs: 5 },
    { loadFactor: 1, delayMs: 200 },
  ].map((changes) => ({ pool, ...changes })),
);

/** Mean of the prompts that are not near the longest. */
const SHORT_MEAN_TOKENS = 620;

const MS_PER_SECOND = 1_000;

/** Replays a case under all policies and prints its table. */
const compareCase = (
  { pool, loadFactor, delayMs }: BenchCase,
  seed: number,
  spanMs: number,
): ChartCase => {
  const { gatewayCount, rankCount, requestsPerSecond } = pool;
  const requests = drawRequests(
    {
      spanMs,
      gatewayCount,
      perSecondAt: () => requestsPerSecond * loadFactor,
      draw: heavyTail(SHORT_MEAN_TOKENS),
      announce: announceUsually,
    },
    createRandom(seed),
  );
  const policies = POLICIES.map((policy) => ({
    name: policy.name,
    outcomes: replay(requests, { ...pool, delayMs, policy, random: createRandom(seed + 1) }),
  }));
  process.stdout.write(
    `${pool.name}: ${rankCount} ranks, ${gatewayCount} gateways, ${loadFactor} times the load, ` +
      `reports ${delayMs} ms late, ${requests.length} requests, seed ${seed}\n` +
      `${formatTable(policies, pool)}\n`,
  );
  const conditions = `${loadFactor} times the load, reports ${delayMs} ms late`;
  return { pool: pool.name, conditions, policies };
};

const app = command({
  name: 'prompts',
  args: {
    seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 30 }),
    svg: option({ type: optional(string), long: 'svg' }),
  },
  handler: async ({ seed, seconds, svg }) => {
    const cases = CASES.map((benchCase) => compareCase(benchCase, seed, seconds * MS_PER_SECOND));
    if (svg !== undefined) {
      await writeFile(svg, drawChart(cases));
    }
  },
});

await run(app, process.argv.slice(2));

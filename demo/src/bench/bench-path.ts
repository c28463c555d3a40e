/**
 * @module Measures requests through an entry process against direct calls to the target, in
 * alternating rounds.
 */
import { completionBody, mintKey, postCompletion, postIdempotent, postKeyed } from '../caller.js';
import { DemoFleet } from '../demo-fleet.js';
import { MODEL_SERVICE, PLAIN_SERVICE, credentialOf } from '../fleet-plan.js';
import { LatencySample, type LatencySummary } from './latency-sample.js';
import { runBatch } from './run-batch.js';

const ORGANISATION = 'bench';

const CREDENTIAL = credentialOf(ORGANISATION);

const ROUNDS = 6;

const REQUESTS_PER_ROUND = 400;

const TOKENS = 16;

const CONCURRENCIES: readonly number[] = [1, 32];

const writeLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const formatRow = (name: string, { p50Ms, p99Ms, requestsPerSecond }: LatencySummary): string =>
  `${name.padEnd(22)} p50 ${p50Ms.toFixed(2)} ms  p99 ${p99Ms.toFixed(2)} ms  ` +
  `${requestsPerSecond.toFixed(0)} requests/s`;

interface BenchCase {
  readonly name: string;
  readonly sample: LatencySample;
  readonly send: (index: number) => Promise<void>;
}

const createCase = (name: string, send: (index: number) => Promise<void>): BenchCase => ({
  name,
  sample: LatencySample.create(),
  send,
});

const runRounds = async (
  cases: readonly BenchCase[],
  concurrency: number,
  round: number,
): Promise<void> => {
  if (round >= ROUNDS) {
    return;
  }
  await cases.reduce<Promise<void>>(async (previous, { send, sample }) => {
    await previous;
    await runBatch({ requestCount: REQUESTS_PER_ROUND, concurrency, send, sample });
  }, Promise.resolve());
  await runRounds(cases, concurrency, round + 1);
};

const formatComparison = (base: LatencySummary, other: LatencySummary): string =>
  `added p50 ${(other.p50Ms - base.p50Ms).toFixed(2)} ms, ` +
  `p99 ${(other.p99Ms - base.p99Ms).toFixed(2)} ms; ratio p50 ` +
  `${(other.p50Ms / base.p50Ms).toFixed(2)}, p99 ${(other.p99Ms / base.p99Ms).toFixed(2)}, ` +
  `requests/s ${(other.requestsPerSecond / base.requestsPerSecond).toFixed(2)}`;

const createCases = (fleet: DemoFleet): readonly BenchCase[] => {
  const entryUrl = fleet.entries[0]?.url ?? '';
  const engineUrl = fleet.targets.find(({ service }) => service === MODEL_SERVICE)?.targetUrl ?? '';
  const plainUrl = fleet.targets.find(({ service }) => service === PLAIN_SERVICE)?.targetUrl ?? '';
  const body = (index: number): string => completionBody(`bench ${index}`, TOKENS);
  return [
    createCase('engine direct', async (index) => {
      await postCompletion(engineUrl, '', body(index));
    }),
    createCase('model through', async (index) => {
      await postCompletion(entryUrl, CREDENTIAL, body(index));
    }),
    createCase('plain direct', async (index) => {
      await postKeyed(plainUrl, '', '', `{"seat":${index}}`);
    }),
    createCase('idempotent through', async (index) => {
      await postIdempotent(entryUrl, CREDENTIAL, `{"seat":${index}}`);
    }),
    createCase('keyed through', async (index) => {
      const key = await mintKey(entryUrl, CREDENTIAL);
      await postKeyed(entryUrl, CREDENTIAL, key, `{"seat":${index}}`);
    }),
  ];
};

const measure = async (fleet: DemoFleet, concurrency: number): Promise<void> => {
  const cases = createCases(fleet);
  await runRounds(cases, concurrency, 0);
  writeLine(`concurrency ${concurrency}, ${ROUNDS} rounds of ${REQUESTS_PER_ROUND}, in turns`);
  const summaries = cases.map(({ sample }) => sample.summarise());
  cases.forEach(({ name }, index) => {
    const summary = summaries[index];
    if (summary !== undefined) {
      writeLine(formatRow(name, summary));
    }
  });
  const [engine, model, plain, idempotent, keyed] = summaries;
  if (engine && model && plain && idempotent && keyed) {
    writeLine(`model:  ${formatComparison(engine, model)}`);
    writeLine(`keyed:  ${formatComparison(plain, keyed)}`);
    writeLine(`keyed against idempotent through:  ${formatComparison(idempotent, keyed)}`);
  }
};

const fleet = await DemoFleet.create({
  zones: ['kochi'],
  modelTargetsPerZone: 1,
  plainTargetsPerZone: 1,
  organisations: [ORGANISATION],
  tokenIntervalMs: 0,
});
try {
  await CONCURRENCIES.reduce<Promise<void>>(async (previous, concurrency) => {
    await previous;
    await measure(fleet, concurrency);
  }, Promise.resolve());
} finally {
  await fleet.stop();
}

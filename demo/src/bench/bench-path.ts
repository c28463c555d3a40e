/** @module Measures the whole path against direct calls to the engine, in turns in one run. */
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

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const row = (name: string, { p50Ms, p99Ms, requestsPerSecond }: LatencySummary): string =>
  `${name.padEnd(22)} p50 ${p50Ms.toFixed(2)} ms  p99 ${p99Ms.toFixed(2)} ms  ` +
  `${requestsPerSecond.toFixed(0)} requests/s`;

interface Side {
  readonly name: string;
  readonly sample: LatencySample;
  readonly send: (index: number) => Promise<void>;
}

const createSide = (name: string, send: (index: number) => Promise<void>): Side => ({
  name,
  sample: LatencySample.create(),
  send,
});

const runRounds = async (
  sides: readonly Side[],
  concurrency: number,
  round: number,
): Promise<void> => {
  if (round >= ROUNDS) {
    return;
  }
  await sides.reduce<Promise<void>>(async (before, { send, sample }) => {
    await before;
    await runBatch({ requestCount: REQUESTS_PER_ROUND, concurrency, send, sample });
  }, Promise.resolve());
  await runRounds(sides, concurrency, round + 1);
};

const compare = (base: LatencySummary, other: LatencySummary): string =>
  `added p50 ${(other.p50Ms - base.p50Ms).toFixed(2)} ms, ` +
  `p99 ${(other.p99Ms - base.p99Ms).toFixed(2)} ms; ratio p50 ` +
  `${(other.p50Ms / base.p50Ms).toFixed(2)}, p99 ${(other.p99Ms / base.p99Ms).toFixed(2)}, ` +
  `requests/s ${(other.requestsPerSecond / base.requestsPerSecond).toFixed(2)}`;

const createSides = (fleet: DemoFleet): readonly Side[] => {
  const entryUrl = fleet.entries[0]?.url ?? '';
  const engineUrl = fleet.targets.find(({ service }) => service === MODEL_SERVICE)?.targetUrl ?? '';
  const plainUrl = fleet.targets.find(({ service }) => service === PLAIN_SERVICE)?.targetUrl ?? '';
  const body = (index: number): string => completionBody(`bench ${index}`, TOKENS);
  return [
    createSide('engine direct', async (index) => {
      await postCompletion(engineUrl, '', body(index));
    }),
    createSide('model through', async (index) => {
      await postCompletion(entryUrl, CREDENTIAL, body(index));
    }),
    createSide('plain direct', async (index) => {
      await postKeyed(plainUrl, '', '', `{"seat":${index}}`);
    }),
    createSide('idempotent through', async (index) => {
      await postIdempotent(entryUrl, CREDENTIAL, `{"seat":${index}}`);
    }),
    createSide('keyed through', async (index) => {
      const key = await mintKey(entryUrl, CREDENTIAL);
      await postKeyed(entryUrl, CREDENTIAL, key, `{"seat":${index}}`);
    }),
  ];
};

const measure = async (fleet: DemoFleet, concurrency: number): Promise<void> => {
  const sides = createSides(fleet);
  await runRounds(sides, concurrency, 0);
  say(`concurrency ${concurrency}, ${ROUNDS} rounds of ${REQUESTS_PER_ROUND}, in turns`);
  const summaries = sides.map(({ sample }) => sample.summarise());
  sides.forEach(({ name }, index) => {
    const summary = summaries[index];
    if (summary !== undefined) {
      say(row(name, summary));
    }
  });
  const [engine, model, plain, idempotent, keyed] = summaries;
  if (engine && model && plain && idempotent && keyed) {
    say(`model:  ${compare(engine, model)}`);
    say(`keyed:  ${compare(plain, keyed)}`);
    say(`keyed against idempotent through:  ${compare(idempotent, keyed)}`);
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
  await CONCURRENCIES.reduce<Promise<void>>(async (before, concurrency) => {
    await before;
    await measure(fleet, concurrency);
  }, Promise.resolve());
} finally {
  await fleet.stop();
}

#!/usr/bin/env node
/** @module Compares policies for overload under the same load patterns, and draws a picture. */
import { writeFile } from 'node:fs/promises';
import { createRandom } from '@ebonysill/emulator';
import { command, number, oneOf, option, optional, run, string } from 'cmd-ts';
import { boundOf } from '../overload/bound.js';
import { drawChart, type ChartSeries } from '../overload/chart.js';
import { POLICIES } from '../overload/policies.js';
import { runScenario, type RunResult } from '../overload/run-scenario.js';
import { groupBy, seriesOf, sharesOf, worstWindow } from '../overload/summary.js';
import { Incident, PATTERNS, drawRequests, type Pattern } from '../overload/traffic.js';

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const columns = (values: readonly number[]): string =>
  values.map((value) => value.toFixed(3).padStart(8)).join('');

const printRow = (name: string, { records, brokenRefusalCount }: RunResult): void => {
  const { served, inTime, worth, refusedOnce, refusedTwice } = sharesOf(records);
  const organisations = [
    ...groupBy(records, ({ planned }) => `${planned.organisation}`).values(),
  ].filter(({ count }) => count >= 20);
  const least = Math.min(...organisations.map((shares) => shares.served));
  const figures = [served, inTime, worth, refusedOnce, refusedTwice, worstWindow(records), least];
  const broken = brokenRefusalCount > 0 ? `  ${brokenRefusalCount} REFUSED REQUESTS RAN` : '';
  print(`  ${name.padEnd(12)}${columns(figures)}${broken}`);
};

const printKinds = (name: string, { records }: RunResult): void => {
  const kinds = groupBy(records, ({ planned }) => planned.kind.name);
  const texts = [...kinds].map(
    ([kind, { served, inTime, worth }]) =>
      `${kind} ${served.toFixed(2)}/${inTime.toFixed(2)}/${worth.toFixed(2)}`,
  );
  print(`  ${name.padEnd(12)} ${texts.sort().join('  ')}`);
};

/** Runs one pattern under all policies with the same requests. */
const comparePattern = (
  pattern: string,
  drawScenario: Pattern,
  seed: number,
  gatewayCount: number | undefined,
): readonly ChartSeries[] => {
  const startMs = performance.now();
  const createScenario = (): ReturnType<Pattern> => {
    const scenario = drawScenario(createRandom(seed));
    const count = gatewayCount ?? scenario.deployment.gatewayCount;
    return {
      ...scenario,
      deployment: { ...scenario.deployment, gatewayCount: count },
      gatewayWeights: Array.from(
        { length: count },
        (_, index) => scenario.gatewayWeights[index] ?? 1,
      ),
    };
  };
  const scenario = createScenario();
  const { deployment, incident, incidentAtMs } = scenario;
  const requests = drawRequests(scenario, createRandom(seed + 1));
  const results = POLICIES.map((policy) => ({
    name: policy.name,
    result: runScenario({ scenario: createScenario(), requests, policy, seed: seed + 2 }),
  }));
  const bound = boundOf(requests, deployment, (atMs) =>
    incident === Incident.HalfPoolReturns && atMs < incidentAtMs ? 0.5 : 1,
  );
  const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
  print(
    `\n${pattern}: ${requests.length} requests, ${deployment.gatewayCount} gateways, ${seconds} s`,
  );
  print(
    `  ${''.padEnd(12)}  served in time   worth refused refused   worst   least\n` +
      `  ${''.padEnd(12)}                           once   twice     2 s   org.`,
  );
  results.forEach(({ name, result }) => printRow(name, result));
  print(`  ${'bound'.padEnd(12)}        ${columns([bound.inTimeShare, bound.worthShare])}`);
  print('  by kind, served/in time/worth:');
  results.forEach(({ name, result }) => printKinds(name, result));
  return results.map(({ name, result }) => ({
    ...{ pattern, policy: name, points: seriesOf(result.records) },
  }));
};

const overload = command({
  name: 'overload',
  description: 'Compares policies for overload on virtual time',
  args: {
    seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
    pattern: option({ type: optional(oneOf(Object.keys(PATTERNS))), long: 'pattern' }),
    gateways: option({ type: optional(number), long: 'gateways' }),
    svg: option({ type: optional(string), long: 'svg' }),
  },
  handler: async ({ seed, pattern, gateways, svg }) => {
    print(`seed ${seed}; shares of all requests, of their worth, and of the worst two seconds`);
    const series = Object.entries(PATTERNS)
      .filter(([name]) => pattern === undefined || name === pattern)
      .flatMap(([name, drawScenario]) => comparePattern(name, drawScenario, seed, gateways));
    if (svg !== undefined) {
      await writeFile(svg, drawChart(series));
    }
  },
});

await run(overload, process.argv.slice(2));

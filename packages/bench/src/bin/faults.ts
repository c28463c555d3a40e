#!/usr/bin/env node
/** @module Runs the fault matrix or some of its cases, and prints the results. */
import { Outcome } from '@ebonysill/core';
import { command, flag, number, oneOf, option, optional, run, string } from 'cmd-ts';
import { nameOfFaultCase, pairCases, singleCases, type FaultCase } from '../faults/fault-case.js';
import { FaultKind, RequestKind } from '../faults/fault-kind.js';
import { KNOWN_BAD, KnownBad } from '../faults/known-bad.js';
import { runCase, type CaseResult } from '../faults/run-case.js';

const NAME_WIDTH = 30;

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const countOf = (results: readonly CaseResult[], outcome: Outcome): number =>
  results.filter((result) => result.outcome === outcome).length;

const medianMs = (results: readonly CaseResult[]): number => {
  const sorted = results.map(({ durationMs }) => durationMs).sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

const formatRow = (name: string, results: readonly CaseResult[]): string => {
  const failed = results.filter(({ violations }) => violations.length > 0);
  const served = countOf(results, Outcome.Done);
  return [
    name.padEnd(NAME_WIDTH),
    String(results.length).padStart(6),
    String(served).padStart(7),
    String(countOf(results, Outcome.RefusedNotRun)).padStart(8),
    String(countOf(results, Outcome.Unknown)).padStart(8),
    `${medianMs(results).toFixed(0)} ms`.padStart(10),
    String(failed.length).padStart(7),
  ].join('');
};

const formatHeader = (name: string): string =>
  `${name.padEnd(NAME_WIDTH)} cases served refused unknown    median failed`;

const printTable = (results: readonly CaseResult[]): void => {
  printLine(formatHeader('fault'));
  Object.values(FaultKind).forEach((fault) => {
    const withFault = results.filter(({ faultCase }) =>
      faultCase.faults.some((planned) => planned.fault === fault),
    );
    printLine(formatRow(fault, withFault));
  });
  printLine('');
  printLine(formatHeader('request'));
  Object.values(RequestKind).forEach((kind) => {
    printLine(
      formatRow(
        kind,
        results.filter(({ faultCase }) => faultCase.kind === kind),
      ),
    );
  });
  printLine(formatRow('all', results));
};

const casesOf = (seed: number, pairCount: number | undefined): readonly FaultCase[] =>
  pairCount === undefined ? singleCases(seed) : pairCases(seed, pairCount);

const faults = command({
  name: 'ebonysill-faults',
  description: 'Runs the fault matrix on virtual time',
  args: {
    seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
    pairs: option({
      type: optional(number),
      long: 'pairs',
      description: 'Run this many random pairs of faults instead of single faults',
    }),
    only: option({
      type: optional(string),
      long: 'only',
      description: 'Run the cases whose name begins like this',
    }),
    variant: option({
      type: optional(oneOf(Object.values(KnownBad))),
      long: 'variant',
      description: 'Run a known-bad variant instead of the system',
    }),
    json: flag({ long: 'json', description: 'Print one JSON line per case' }),
  },
  handler: ({ seed, pairs, only, variant, json }) => {
    const fleetVariant = variant === undefined ? {} : KNOWN_BAD[variant].variant;
    const cases = casesOf(seed, pairs).filter((faultCase) =>
      nameOfFaultCase(faultCase).startsWith(only ?? ''),
    );
    const results = cases.map((faultCase) => runCase(faultCase, fleetVariant));
    if (json) {
      results.forEach((result) => printLine(JSON.stringify(result)));
    } else {
      printTable(results);
    }
    const failed = results.filter(({ violations }) => violations.length > 0);
    failed.forEach(({ faultCase, violations }) => {
      process.stderr.write(`${nameOfFaultCase(faultCase)}: ${violations.join(', ')}\n`);
    });
    process.exitCode = failed.length > 0 ? 1 : 0;
  },
});

await run(faults, process.argv.slice(2));

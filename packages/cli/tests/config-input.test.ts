/** @module Input of any kind to `ebonysill config check`. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { DocumentVerdict, formatFinding, formatJson, formatText } from '../src/index.js';
import { checkText, readText } from './check-text.js';

const CONFIGURATION = JSON.stringify(
  {
    version: 7,
    routes: [
      {
        name: 'lookup',
        host: 'app.example',
        'path-prefix': '/lookup/',
        kind: 'idempotent',
        'traffic-split': [{ service: 'plain', weight: 1 }],
        'timeout-ms': 2_500,
      },
    ],
    services: [
      { name: 'plain', 'inference-engine': { slots: 4, usual: { prompt: 1, answer: 1 } } },
    ],
    tenants: [{ name: 'org-1', 'api-keys': ['key-1'] }],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 65_536,
      'header-timeout-ms': 3_000,
      'idle-timeout-ms': 15_000,
    },
  },
  undefined,
  2,
);

const refusalOf = (text: string): string | undefined => {
  const result = readText(text);
  return result.kind === DocumentVerdict.Refused
    ? `${result.position.line}:${result.position.column}: ${result.text}`
    : undefined;
};

const parses = (text: string): boolean => {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
};

const checkAnything = (text: string): void => {
  if (refusalOf(text) === undefined) {
    checkText(CONFIGURATION, text);
    const report = checkText(text, CONFIGURATION);
    formatJson(report, { file: 'new.json' });
    expect(formatText(report, { file: 'new.json' }).split('\n').length).toEqual(
      report.findings.length + 2,
    );
  }
};

test('reads just what gateways read', () => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json(), fc.string({ unit: 'binary' })), (text) => {
      expect(refusalOf(text) === undefined).toEqual(parses(text));
    }),
    { seed: 7, numRuns: 1_000 },
  );
});

test('any JSON is checked without an exception', () => {
  fc.assert(fc.property(fc.json(), checkAnything), { seed: 7, numRuns: 500 });
});

test('any value in any place is checked without an exception', () => {
  const values = fc.oneof(fc.jsonValue(), fc.constantFrom('__proto__', 'constructor', 1e300, -0));
  const paths = ['version', 'routes', 'services', 'tenants', 'limits'];
  const fields = ['traffic-split', 'service', 'inference-engine', 'api-keys', '__proto__', 'usual'];
  fc.assert(
    fc.property(
      fc.constantFrom(...paths),
      fc.constantFrom(...fields),
      values,
      (section, field, value) => {
        const whole = { ...(JSON.parse(CONFIGURATION) as object), [section]: value };
        const inside = {
          ...(JSON.parse(CONFIGURATION) as object),
          [section]: [{ [field]: value }],
        };
        checkAnything(JSON.stringify(whole));
        checkAnything(JSON.stringify(inside));
      },
    ),
    { seed: 7, numRuns: 1_000 },
  );
});

test('each truncation is refused with its place', () => {
  const lengths = fc.integer({ min: 0, max: CONFIGURATION.length - 1 });
  fc.assert(
    fc.property(lengths, (length) => {
      expect(/^\d+:\d+: .+$/.test(refusalOf(CONFIGURATION.slice(0, length)) ?? '')).toEqual(true);
    }),
    { seed: 7, numRuns: 500 },
  );
});

test('comments and trailing commas are refused', () => {
  expect(refusalOf('{"a": 1 /* one */}')).toEqual('1:9: not JSON: invalid comment token');
  expect(refusalOf('{"a": 1,\n}')).toEqual('2:1: not JSON: property name expected');
});

test('a byte order mark is refused', () => {
  expect(refusalOf('\ufeff{}') === undefined).toEqual(false);
});

test('100 levels are read and 101 refused', () => {
  expect(refusalOf('['.repeat(100) + ']'.repeat(100))).toEqual(undefined);
  expect(refusalOf('['.repeat(101))).toEqual('1:101: nested more than 100 levels deep');
});

test('brackets that close nothing do not hide the depth', () => {
  expect(refusalOf('[}'.repeat(100_000))).toEqual('1:2: a bracket closes nothing');
});

test('many values are refused', () => {
  expect(refusalOf(`[${Array.from({ length: 10_000 }, () => 1).join(',')}]`)).toEqual(
    '1:20000: more than 10000 names and values',
  );
});

test('a finding is located by line and column', () => {
  const { findings } = checkText(CONFIGURATION.replace('2500', '"2500"'));
  expect(findings.map((finding) => formatFinding(finding, { file: 'new.json' }))).toEqual([
    'new.json:15:7: error: routes[0].timeout-ms: expected number, received string [invalid-field]',
  ]);
});

test('names from a file break no line', () => {
  const text = CONFIGURATION.replace('"version"', '"a\\nb": 1, "version"');
  const { findings } = checkText(text);
  expect(findings.map((finding) => formatFinding(finding, { file: 'new.json' }))).toEqual([
    'new.json:2:3: warning: ["a\\nb"]: gateways do not read this field [unknown-field]',
  ]);
});

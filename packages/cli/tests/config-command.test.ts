/** @module Exit status and output of `ebonysill config check`, run as a program. */
import { execFile } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { RuleName } from '../src/index.js';

const PROGRAM = fileURLToPath(new URL('../src/bin/ebonysill.js', import.meta.url));

const CONFIGURATION = {
  version: 7,
  routes: [],
  services: [],
  tenants: [{ name: 'org-1', 'api-keys': ['key-1'] }],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 65_536,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
  },
};

const FILES: Readonly<Record<string, string | Uint8Array>> = {
  'base.json': JSON.stringify(CONFIGURATION),
  'next.json': JSON.stringify({ ...CONFIGURATION, version: 8, tenants: [] }),
  'other.json': JSON.stringify({
    ...CONFIGURATION,
    version: 8,
    limits: { ...CONFIGURATION.limits, 'max-body-bytes': 1_024 },
  }),
  'mistyped.json': JSON.stringify({ ...CONFIGURATION, version: '8' }),
  'truncated.json': JSON.stringify(CONFIGURATION).slice(0, -1),
  'deep.json': '['.repeat(1_000_000),
  'huge.json': ' '.repeat(16_777_217),
  'binary.json': Uint8Array.from([0x22, 0xff, 0xfe, 0x22]),
};

interface Run {
  readonly status: number;
  readonly output: string;
  readonly errors: string;
}

let folder = '';

/** Runs the program in the folder of the files, so that its output names them without a folder. */
const run = (...args: readonly string[]): Promise<Run> =>
  new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      [PROGRAM, 'config', ...args],
      { cwd: folder },
      (_error, output, errors) => resolve({ status: child.exitCode ?? -1, output, errors }),
    );
  });

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'config-check-'));
  await Promise.all(
    Object.entries(FILES).map(([name, content]) => writeFile(join(folder, name), content)),
  );
});

after(() => rm(folder, { recursive: true }));

test('a sound file gives 0', async () => {
  expect(await run('check', 'base.json')).toEqual({
    status: 0,
    output: 'base.json: 0 errors, 0 warnings\n',
    errors: '',
  });
});

test('differences alone give 0', async () => {
  const { status, output } = await run('check', 'other.json', '--against', 'base.json');
  expect(status).toEqual(0);
  expect(output.endsWith('other.json: 0 errors, 0 warnings, 1 difference\n')).toEqual(true);
});

test('a warning gives 1 and names the file in force', async () => {
  const { status, output } = await run('check', 'next.json', '--against', 'base.json');
  expect(status).toEqual(1);
  expect(output).toEqual(
    [
      'base.json:1:67: warning: tenants[0].api-keys: organisation "org-1" loses 1 credential and has none left; callers with them get 401 [credentials-removed]',
      'next.json: 0 errors, 1 warning, 0 differences\n',
    ].join('\n'),
  );
});

test('an error gives 1', async () => {
  const { status, output } = await run('check', 'mistyped.json');
  expect(status).toEqual(1);
  expect(output).toEqual(
    [
      'mistyped.json:1:2: error: version: expected number, received string [invalid-field]',
      'mistyped.json: 1 error, 0 warnings; gateways cannot decode the file, so only its fields were checked\n',
    ].join('\n'),
  );
});

test('JSON output is one document', async () => {
  const { status, output } = await run('check', 'mistyped.json', '--format', 'json');
  expect(status).toEqual(1);
  expect(JSON.parse(output)).toEqual({
    file: 'mistyped.json',
    isDecoded: false,
    omittedCount: 0,
    errorCount: 1,
    warningCount: 0,
    differenceCount: 0,
    findings: [
      {
        severity: 'error',
        rule: 'invalid-field',
        file: 'mistyped.json',
        path: ['version'],
        line: 1,
        column: 2,
        text: 'expected number, received string',
      },
    ],
  });
});

const UNREADABLE: Readonly<Record<string, string>> = {
  'missing.json': 'missing.json: error: the file cannot be read (ENOENT)\n',
  '.': '.: error: the file cannot be read (EISDIR)\n',
  'truncated.json': `truncated.json:1:${JSON.stringify(CONFIGURATION).length}: error: not JSON: close brace expected\n`,
  'deep.json': 'deep.json:1:101: error: nested more than 100 levels deep\n',
  'huge.json': 'huge.json: error: the file is larger than 16 MiB\n',
  'binary.json': 'binary.json: error: the file is not UTF-8 text\n',
};

Object.entries(UNREADABLE).forEach(([file, errors]) => {
  test(`${file} gives 2 and one line`, async () => {
    expect(await run('check', file)).toEqual({ status: 2, output: '', errors });
    expect(await run('check', 'base.json', '--against', file)).toEqual({
      status: 2,
      output: '',
      errors,
    });
  });
});

test('a version in force that gateways cannot decode gives 2', async () => {
  expect(await run('check', 'base.json', '--against', 'mistyped.json')).toEqual({
    status: 2,
    output: '',
    errors: 'mistyped.json:1:2: error: version: expected number, received string [invalid-field]\n',
  });
});

test('an invalid command line gives 2', async () => {
  const runs = await Promise.all([
    run('check'),
    run('check', 'base.json', '--format', 'xml'),
    run('check', 'base.json', '--unknown'),
    run('chek', 'base.json'),
  ]);
  expect(runs.map(({ status }) => status)).toEqual([2, 2, 2, 2]);
  expect(runs.filter(({ errors }) => errors === '' || /^ +at /m.test(errors))).toEqual([]);
});

test('the documentation shows each rule', async () => {
  const page = await readFile(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
  expect(Object.values(RuleName).filter((rule) => !page.includes(` [${rule}]\n`))).toEqual([]);
});

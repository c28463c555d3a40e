import { after, before, test } from 'node:test';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'earl';
import { request } from 'undici';
import { completionBody, mintKey, postCompletion, postKeyed } from '../src/caller.js';
import { DemoFleet, type RunningEntry } from '../src/demo-fleet.js';
import { programPath, runProgram } from '../src/program.js';
import { MODEL_SERVICE, PLAIN_SERVICE, credentialOf } from '../src/fleet-plan.js';

const ORGANISATION = 'kochi-tea';

const CREDENTIAL = credentialOf(ORGANISATION);

const STREAM_COUNT = 1_000;

const TOKENS = 16;

let fleet: DemoFleet;

const entryAt = (index: number): RunningEntry => {
  const entry = fleet.entries[index % fleet.entries.length];
  if (entry === undefined) {
    throw new Error('the fleet has no entry process');
  }
  return entry;
};

interface Refusal {
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
}

const post = async (
  path: string,
  body: string,
  headers: Record<string, string>,
): Promise<Refusal> => {
  const response = await request(`${entryAt(0).url}${path}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${CREDENTIAL}`, ...headers },
    body,
  });
  const { outcome, reason } = (await response.body.json()) as Refusal;
  return { status: response.statusCode, outcome, reason };
};

before(async () => {
  fleet = await DemoFleet.create({
    zones: ['kochi', 'thrissur', 'kozhikode'],
    modelTargetsPerZone: 1,
    plainTargetsPerZone: 1,
    organisations: [ORGANISATION],
    tokenIntervalMs: 2,
  });
});

after(() => fleet.stop());

test('streams equal direct answers of the engine', async () => {
  const engineUrl = fleet.targets.find(({ service }) => service === MODEL_SERVICE)?.targetUrl ?? '';
  const bodies = Array.from({ length: STREAM_COUNT }, (_, index) =>
    completionBody(`blurb ${index}`, TOKENS),
  );
  const viaEntry = await Promise.all(
    bodies.map((body, index) => postCompletion(entryAt(index).url, CREDENTIAL, body)),
  );
  const direct = await Promise.all(bodies.map((body) => postCompletion(engineUrl, '', body)));
  const same = viaEntry.filter(({ body }, index) => body === direct[index]?.body);
  expect(same.length).toEqual(STREAM_COUNT);
});

test('repeats of a keyed call get the same answer', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  const answers = await Promise.all(
    [0, 1, 2, 0].map((index) => postKeyed(entryAt(index).url, CREDENTIAL, key, '{"seat":1}')),
  );
  expect(new Set(answers.map(({ body }) => body)).size).toEqual(1);
  expect(answers.map(({ outcome }) => outcome)).toEqual(['done', 'done', 'done', 'done']);
});

test('a used key with other content is refused', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  await postKeyed(entryAt(0).url, CREDENTIAL, key, '{"seat":2}');
  const other = await postKeyed(entryAt(1).url, CREDENTIAL, key, '{"seat":3}');
  expect(other.outcome).toEqual('refused-not-run');
});

test('idempotent read needs no key', async () => {
  const { statusCode, body } = await request(
    `${entryAt(0).url}/services/${PLAIN_SERVICE}/halls/7`,
    { headers: { authorization: `Bearer ${CREDENTIAL}` } },
  );
  expect(statusCode).toEqual(200);
  expect(await body.json()).toEqual({ path: '/halls/7', inStockCount: 7 });
});

test('malformed JSON gets 400', async () => {
  expect(await post('/v1/chat/completions', '{"model":', {})).toEqual({
    status: 400,
    outcome: 'refused-not-run',
    reason: 'malformed-request',
  });
});

test('oversize body gets 413', async () => {
  const refusal = await post('/v1/chat/completions', 'x'.repeat(2_000_000), {});
  expect([refusal.status, refusal.reason]).toEqual([413, 'too-large']);
});

test('oversize headers get 431', async () => {
  const status = await new Promise<number>((resolve, reject) => {
    const outgoing = httpRequest(
      `${entryAt(0).url}/v1/chat/completions`,
      { method: 'POST', headers: { 'x-filler': 'x'.repeat(40_000) } },
      (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      },
    );
    outgoing.once('error', reject);
    outgoing.end();
  });
  expect(status).toEqual(431);
});

test('unknown organisation gets 401', async () => {
  const refusal = await post('/v1/chat/completions', completionBody('x', 1), {
    authorization: 'Bearer nobody',
  });
  expect([refusal.status, refusal.reason]).toEqual([401, 'unknown-organisation']);
});

test('unknown service gets 404', async () => {
  const refusal = await post('/services/nothing/here', '{}', {});
  expect([refusal.status, refusal.reason]).toEqual([404, 'unknown-service']);
});

test('missing key gets 428', async () => {
  const refusal = await post(`/services/${PLAIN_SERVICE}/seats`, '{}', {});
  expect([refusal.status, refusal.reason]).toEqual([428, 'key-missing']);
});

test('forged key gets 403', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  const forged = `${key.slice(0, -3)}AAA`;
  const answer = await postKeyed(entryAt(0).url, CREDENTIAL, forged, '{"seat":4}');
  expect(answer.status).toEqual(403);
});

test('invalid priority gets 400', async () => {
  const refusal = await post('/v1/chat/completions', completionBody('x', 1), {
    'ebonysill-priority': '11',
  });
  expect([refusal.status, refusal.reason]).toEqual([400, 'malformed-request']);
});

test('serves requests after refusals', async () => {
  const answer = await postCompletion(entryAt(0).url, CREDENTIAL, completionBody('after', 2));
  expect(answer.status).toEqual(200);
});

const runCli = (...args: readonly string[]): ReturnType<typeof runProgram> =>
  runProgram(programPath('cli', 'ebonysill'), args);

test('cli status prints a line for each process', async () => {
  const { output, exitCode } = await runCli('status', ...fleet.adminOptions);
  expect(exitCode).toEqual(0);
  expect(output.trimEnd().split('\n').length).toEqual(10);
});

test('cli status exits with 69 without an answer', async () => {
  const { errors, exitCode } = await runCli('status', '--admin', 'http://127.0.0.1:1');
  expect([errors, exitCode]).toEqual(['http://127.0.0.1:1: no answer\n', 69]);
});

test('cli explain shows the steps of a request', async () => {
  const answer = await postCompletion(entryAt(0).url, CREDENTIAL, completionBody('why', 2));
  const { output } = await runCli('explain', answer.requestId, ...fleet.adminOptions);
  expect(
    ['attempt started', 'run started', 'request ended'].every((topic) => output.includes(topic)),
  ).toEqual(true);
});

test('cli init builds a configuration, check refuses bad files', async () => {
  const answers = new URL('../../../examples/thaalam.answers.jsonc', import.meta.url).pathname;
  const { output, exitCode } = await runCli('init', '--answers', answers);
  expect([output.includes('"revision": 1'), exitCode]).toEqual([true, 0]);
  const refused = await runCli('check', answers);
  expect(refused.exitCode).toEqual(78);
  const missing = await runCli('check', 'nothing.jsonc');
  expect([missing.errors, missing.exitCode]).toEqual([
    'nothing.jsonc: the file cannot be read\n',
    66,
  ]);
});

test('cli check --against accepts only a newer revision', async () => {
  const answers = new URL('../../../examples/thaalam.answers.jsonc', import.meta.url).pathname;
  const folder = await mkdtemp(join(tmpdir(), 'ebonysill-'));
  const files = ['1', '2'].map((revision) => join(folder, `${revision}.jsonc`));
  const [present = '', next = ''] = files;
  await Promise.all(
    files.map(async (file, index) => {
      const args = ['init', '--answers', answers, '--revision', String(index + 1)];
      await writeFile(file, (await runCli(...args)).output);
    }),
  );
  const forward = await runCli('check', next, '--against', present);
  const backward = await runCli('check', present, '--against', next);
  await rm(folder, { recursive: true });
  expect([forward.output, forward.exitCode]).toEqual(['revision 1 becomes 2\n', 0]);
  expect(backward.exitCode).toEqual(78);
});

test('invalid settings file is refused, naming the field', async () => {
  const answers = new URL('../../../examples/thaalam.answers.jsonc', import.meta.url).pathname;
  const { errors, exitCode } = await runProgram(programPath('binaries', 'entry'), [answers]);
  expect(exitCode).toEqual(78);
  expect(errors.includes('processId')).toEqual(true);
});

test('cli burn shows the service, as a page without scripts', async () => {
  const { output, exitCode } = await runCli('burn', ...fleet.adminOptions);
  expect(exitCode).toEqual(0);
  expect(output.includes(MODEL_SERVICE)).toEqual(true);
  const page = await runCli('burn', '--html', ...fleet.adminOptions);
  expect(page.output.startsWith('<!doctype html>')).toEqual(true);
  expect(page.output.includes('<script')).toEqual(false);
});

test('metrics show the revision and quantiles', async () => {
  const { body } = await request(`${entryAt(0).adminUrl}/metrics`);
  const page = await body.text();
  expect(page.includes('ebonysill_configuration_revision 1')).toEqual(true);
  expect(page.includes(`quantile="0.99"`)).toEqual(true);
});

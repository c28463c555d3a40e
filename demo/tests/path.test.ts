import { after, before, test } from 'node:test';
import { request as httpRequest } from 'node:http';
import { expect } from 'earl';
import { request } from 'undici';
import { completionBody, mintKey, postCompletion, postKeyed } from '../src/caller.js';
import { DemoFleet, type RunningEntry } from '../src/demo-fleet.js';
import { MODEL_SERVICE, PLAIN_SERVICE, credentialOf } from '../src/fleet-plan.js';

const ORGANISATION = 'kochi-tea';

const CREDENTIAL = credentialOf(ORGANISATION);

const STREAM_COUNT = 1_000;

const TOKENS = 16;

let fleet: DemoFleet;

const entryAt = (index: number): RunningEntry => {
  const entry = fleet.entries[index % fleet.entries.length];
  if (entry === undefined) {
    throw new Error('no entry process runs');
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

test('streams whole', async () => {
  const engineUrl = fleet.targets.find(({ service }) => service === MODEL_SERVICE)?.targetUrl ?? '';
  const bodies = Array.from({ length: STREAM_COUNT }, (_, index) =>
    completionBody(`blurb ${index}`, TOKENS),
  );
  const through = await Promise.all(
    bodies.map((body, index) => postCompletion(entryAt(index).url, CREDENTIAL, body)),
  );
  const direct = await Promise.all(bodies.map((body) => postCompletion(engineUrl, '', body)));
  const same = through.filter(({ body }, index) => body === direct[index]?.body);
  expect(same.length).toEqual(STREAM_COUNT);
});

test('keyed once', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  const answers = await Promise.all(
    [0, 1, 2, 0].map((index) => postKeyed(entryAt(index).url, CREDENTIAL, key, '{"seat":1}')),
  );
  expect(new Set(answers.map(({ body }) => body)).size).toEqual(1);
  expect(answers.map(({ outcome }) => outcome)).toEqual(['done', 'done', 'done', 'done']);
});

test('other content, spent key', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  await postKeyed(entryAt(0).url, CREDENTIAL, key, '{"seat":2}');
  const other = await postKeyed(entryAt(1).url, CREDENTIAL, key, '{"seat":3}');
  expect(other.outcome).toEqual('refused-not-run');
});

test('idempotent read', async () => {
  const { statusCode, body } = await request(
    `${entryAt(0).url}/services/${PLAIN_SERVICE}/halls/7`,
    { headers: { authorization: `Bearer ${CREDENTIAL}` } },
  );
  expect(statusCode).toEqual(200);
  expect(await body.json()).toEqual({ path: '/halls/7', inStockCount: 7 });
});

test('malformed json', async () => {
  expect(await post('/v1/chat/completions', '{"model":', {})).toEqual({
    status: 400,
    outcome: 'refused-not-run',
    reason: 'malformed-request',
  });
});

test('oversize body', async () => {
  const refusal = await post('/v1/chat/completions', 'x'.repeat(2_000_000), {});
  expect([refusal.status, refusal.reason]).toEqual([413, 'too-large']);
});

test('oversize headers', async () => {
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

test('unknown organisation', async () => {
  const refusal = await post('/v1/chat/completions', completionBody('x', 1), {
    authorization: 'Bearer nobody',
  });
  expect([refusal.status, refusal.reason]).toEqual([401, 'unknown-organisation']);
});

test('unknown service', async () => {
  const refusal = await post('/services/nothing/here', '{}', {});
  expect([refusal.status, refusal.reason]).toEqual([404, 'unknown-service']);
});

test('missing key', async () => {
  const refusal = await post(`/services/${PLAIN_SERVICE}/seats`, '{}', {});
  expect([refusal.status, refusal.reason]).toEqual([428, 'key-missing']);
});

test('forged key', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  const forged = `${key.slice(0, -3)}AAA`;
  const answer = await postKeyed(entryAt(0).url, CREDENTIAL, forged, '{"seat":4}');
  expect(answer.status).toEqual(403);
});

test('bad priority', async () => {
  const refusal = await post('/v1/chat/completions', completionBody('x', 1), {
    'ebonysill-priority': '11',
  });
  expect([refusal.status, refusal.reason]).toEqual([400, 'malformed-request']);
});

test('serves on', async () => {
  const answer = await postCompletion(entryAt(0).url, CREDENTIAL, completionBody('after', 2));
  expect(answer.status).toEqual(200);
});

import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { request } from 'undici';
import { completionBody, mintKey, postCompletion, postKeyed, type Answer } from '../src/caller.js';
import { DemoFleet, type RunningEntry, type RunningTarget } from '../src/demo-fleet.js';
import { MODEL_SERVICE, PLAIN_SERVICE, credentialOf } from '../src/fleet-plan.js';

const ORGANISATION = 'kochi-tea';

const CREDENTIAL = credentialOf(ORGANISATION);

const TOKENS = 200;

let fleet: DemoFleet;

const entryAt = (index: number): RunningEntry => {
  const entry = fleet.entries[index];
  if (entry === undefined) {
    throw new Error('the fleet has no entry process with this index');
  }
  return entry;
};

const targetsOf = (service: string): readonly RunningTarget[] =>
  fleet.targets.filter((target) => target.service === service);

/** Target whose identifier is the second part of a key. */
const targetOfKey = (key: string): RunningTarget => {
  const target = fleet.targets.find(({ targetId }) => targetId === key.split('.')[1]);
  if (target === undefined) {
    throw new Error('no target has the identifier in the key');
  }
  return target;
};

const countRuns = async (body: string): Promise<number> => {
  const counts = await Promise.all(
    targetsOf(PLAIN_SERVICE).map(async ({ targetUrl }) => {
      const response = await request(`${targetUrl}/runs`).catch(() => undefined);
      const runs = ((await response?.body.json()) ?? {}) as Record<string, number>;
      return runs[body] ?? 0;
    }),
  );
  return counts.reduce((total, count) => total + count, 0);
};

const directAnswer = async (body: string): Promise<Answer> => {
  const live = targetsOf(MODEL_SERVICE).find(({ target }) => target.child.signalCode === null);
  return postCompletion(live?.targetUrl ?? '', '', body);
};

/** Starts streams and waits long enough for them to be in progress. */
const startStreams = async (count: number): Promise<readonly Promise<Answer>[]> => {
  const streams = Array.from({ length: count }, (_, index) =>
    postCompletion(entryAt(0).url, CREDENTIAL, completionBody(`stream ${index}`, TOKENS)),
  );
  await delay(400);
  return streams;
};

const expectComplete = async (streams: readonly Promise<Answer>[]): Promise<void> => {
  const answers = await Promise.all(streams);
  const direct = await Promise.all(
    answers.map((_, index) => directAnswer(completionBody(`stream ${index}`, TOKENS))),
  );
  answers.forEach(({ body }, index) => {
    expect(body).toEqual(direct[index]?.body ?? '');
  });
};

beforeEach(async () => {
  fleet = await DemoFleet.create({
    zones: ['kochi', 'thrissur', 'kozhikode'],
    modelTargetsPerZone: 1,
    plainTargetsPerZone: 1,
    organisations: [ORGANISATION],
    tokenIntervalMs: 5,
    holdMs: 300,
  });
});

afterEach(() => fleet.stop());

test('kill engine, streams equal direct answers', async () => {
  const streams = await startStreams(9);
  targetsOf(MODEL_SERVICE)[0]?.target.child.kill('SIGKILL');
  await expectComplete(streams);
});

test('kill sidecar, streams equal direct answers', async () => {
  const streams = await startStreams(9);
  targetsOf(MODEL_SERVICE)[1]?.sidecar.child.kill('SIGKILL');
  await expectComplete(streams);
});

test('pause sidecar, streams equal direct answers', async () => {
  const streams = await startStreams(9);
  const paused = targetsOf(MODEL_SERVICE)[2]?.sidecar.child;
  paused?.kill('SIGSTOP');
  await expectComplete(streams);
  paused?.kill('SIGCONT');
});

test('drain entry, streams equal direct answers', async () => {
  const streams = await startStreams(9);
  const { program } = entryAt(0);
  program.child.kill('SIGTERM');
  await expectComplete(streams);
  expect(await program.exited).toEqual(0);
});

test('drain sidecar, streams equal direct answers', async () => {
  const streams = await startStreams(9);
  const sidecar = targetsOf(MODEL_SERVICE)[0]?.sidecar;
  sidecar?.child.kill('SIGTERM');
  await expectComplete(streams);
  expect(await sidecar?.exited).toEqual(0);
});

test('kill entry, keyed call runs once', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  const first = postKeyed(entryAt(0).url, CREDENTIAL, key, '{"seat":1}').catch(() => undefined);
  entryAt(0).program.child.kill('SIGKILL');
  await first;
  const again = await postKeyed(entryAt(1).url, CREDENTIAL, key, '{"seat":1}');
  expect(again.outcome).toEqual('done');
  expect(await countRuns('{"seat":1}')).toEqual(1);
});

test('pause sidecar, keyed call runs at most once', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  const { child } = targetOfKey(key).sidecar;
  child.kill('SIGSTOP');
  const first = await postKeyed(entryAt(0).url, CREDENTIAL, key, '{"seat":2}');
  expect(first.outcome).toEqual('unknown');
  child.kill('SIGCONT');
  const again = await postKeyed(entryAt(1).url, CREDENTIAL, key, '{"seat":2}');
  const runCount = await countRuns('{"seat":2}');
  expect(runCount).toEqual(again.outcome === 'done' ? 1 : 0);
});

test('kill sidecar, outcome of a used key is unknown', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  await postKeyed(entryAt(0).url, CREDENTIAL, key, '{"seat":3}');
  targetOfKey(key).sidecar.child.kill('SIGKILL');
  const again = await postKeyed(entryAt(1).url, CREDENTIAL, key, '{"seat":3}');
  expect(again.outcome).toEqual('unknown');
  expect(await countRuns('{"seat":3}')).toEqual(1);
});

test('kill target holding a call, call is not resent', async () => {
  const key = await mintKey(entryAt(0).url, CREDENTIAL);
  const held = targetOfKey(key);
  const first = postKeyed(entryAt(0).url, CREDENTIAL, key, '{"seat":4}');
  await delay(150);
  held.target.child.kill('SIGKILL');
  await held.target.exited;
  const replacement = await fleet.restartTarget(held);
  expect((await first).outcome).toEqual('unknown');
  const again = await postKeyed(entryAt(1).url, CREDENTIAL, key, '{"seat":4}');
  await delay(600);
  expect(again.outcome).toEqual('unknown');
  expect(await countRuns('{"seat":4}')).toEqual(0);
  replacement.child.kill('SIGKILL');
});

test('restart target, repeat gets the first answer', async () => {
  const firstKey = await mintKey(entryAt(0).url, CREDENTIAL);
  await postKeyed(entryAt(0).url, CREDENTIAL, firstKey, '{"seat":5}');
  const replaced = targetOfKey(firstKey);
  replaced.target.child.kill('SIGKILL');
  await replaced.target.exited;
  const replacement = await fleet.restartTarget(replaced);
  const again = await postKeyed(entryAt(1).url, CREDENTIAL, firstKey, '{"seat":5}');
  expect(again.body).toEqual('{"licenceNumber":1}');
  expect(await countRuns('{"seat":5}')).toEqual(0);
  replacement.child.kill('SIGKILL');
});

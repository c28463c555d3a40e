import { test } from 'node:test';
import { VirtualTime, createRandom } from '@ebonysill/emulator';
import { expect } from 'earl';
import { boundOf } from '../src/overload/bound.js';
import { Callers } from '../src/overload/Callers.js';
import { drawChart } from '../src/overload/chart.js';
import { CAPTIONS } from '../src/overload/deployment.js';
import { EngineGroup, Submission, type Job } from '../src/overload/EngineGroup.js';
import { POLICIES } from '../src/overload/policies.js';
import { runScenario, type RunResult } from '../src/overload/run-scenario.js';
import { seriesOf, sharesOf } from '../src/overload/summary.js';
import {
  PATTERNS,
  TRAFFIC_FROM_MS,
  drawRequests,
  type PlannedRequest,
  type Scenario,
} from '../src/overload/traffic.js';

const PROFILE = {
  ...{ rankCount: 2, slots: 3, queueSlots: 1, stepsPerPass: 4 },
  ...{ stepMs: 5, perSequenceMs: 1, readTokensPerMs: 64 },
};

const jobOf = (changes: Partial<Job> = {}): Job => ({
  ...{ promptTokens: 0, eventCount: 1, priority: 5 },
  ...{ onStart: () => undefined, onEvent: () => undefined, onEnd: () => undefined },
  ...changes,
});

/** Time to the event of a request at rank 0 that starts together with other requests. */
const passMsBeside = (others: readonly { readonly rank: number; readonly job: Job }[]): number => {
  const time = VirtualTime.create();
  const group = EngineGroup.create(time, PROFILE);
  let eventAtMs = 0;
  // An idle group begins a step with the first request alone, so another one goes before.
  group.submit(0, jobOf({ eventCount: 9 }));
  time.runUntil(1);
  others.forEach(({ rank, job }) => group.submit(rank, job));
  const onEvent = (): void => {
    eventAtMs = time.nowMs;
  };
  group.submit(0, jobOf({ eventCount: 2, onEvent }));
  time.runUntil(1_000);
  return eventAtMs;
};

const scenarioOf = (pattern: string, seed: number): Scenario => {
  const drawScenario = PATTERNS[pattern];
  if (drawScenario === undefined) {
    throw new Error(`no pattern ${pattern}`);
  }
  return drawScenario(createRandom(seed));
};

const requestsOf = (pattern: string, seed: number): readonly PlannedRequest[] =>
  drawRequests(scenarioOf(pattern, seed), createRandom(seed + 1));

/** Runs the requests of a pattern that arrive in a span from the begin of the traffic. */
const runPattern = (pattern: string, seed: number, spanMs: number, name = 'before'): RunResult =>
  runScenario({
    scenario: scenarioOf(pattern, seed),
    requests: requestsOf(pattern, seed).filter(
      ({ arrivesAtMs }) => arrivesAtMs < TRAFFIC_FROM_MS + spanMs,
    ),
    policy: POLICIES.find((policy) => policy.name === name) ?? {
      name,
      decisions: {},
      sharesLoads: true,
    },
    seed,
  });

// Guards against a model in which load has no price, so that every policy looks the same.
test('a pass gets longer with streams and with prompt tokens at any rank', () => {
  const aloneMs = passMsBeside([]);
  const withStreamMs = passMsBeside([{ rank: 0, job: jobOf({ eventCount: 9 }) }]);
  const withPromptMs = passMsBeside([{ rank: 1, job: jobOf({ promptTokens: 2_048 }) }]);
  expect(aloneMs).toBeLessThan(withStreamMs);
  // Four steps of 5 + 1 + 512 / 64 ms at the other rank, instead of 5 + 2 * 1 ms at this one.
  expect(withPromptMs - aloneMs).toEqual(28);
});

// Guards against targets that accept without bound, or reject a request that already waits.
test('the newest request is rejected when a rank is full, even if it is more urgent', () => {
  const time = VirtualTime.create();
  const group = EngineGroup.create(time, PROFILE);
  const startedIds: number[] = [];
  const submissions = [0, 1, 2, 3, 4].map((id) =>
    group.submit(0, jobOf({ priority: 9 - id, onStart: () => startedIds.push(id) })),
  );
  time.runUntil(1_000);
  const accepted = [0, 1, 2, 3].map(() => Submission.Accepted);
  expect(submissions).toEqual([...accepted, Submission.Rejected]);
  expect([...startedIds].sort()).toEqual([0, 1, 2, 3]);
});

// Guards against ranks that ignore the priority which gateways set in their calls.
test('a more urgent request leaves the queue of a rank first', () => {
  const time = VirtualTime.create();
  const group = EngineGroup.create(time, { ...PROFILE, slots: 1, queueSlots: 3 });
  const startedPriorities: number[] = [];
  [5, 7, 2, 5].forEach((priority) =>
    group.submit(0, jobOf({ priority, onStart: () => startedPriorities.push(priority) })),
  );
  time.runUntil(1_000);
  expect(startedPriorities).toEqual([5, 2, 5, 7]);
});

// Guards against slots that stay taken by callers that left.
test('a cancelled request frees its slot and has no further event', () => {
  const time = VirtualTime.create();
  const group = EngineGroup.create(time, PROFILE);
  let eventCount = 0;
  const onEvent = (): void => {
    eventCount += 1;
  };
  const job = jobOf({ eventCount: 100, onEvent });
  group.submit(0, job);
  time.runUntil(50);
  const countBefore = eventCount;
  group.cancel(0, job);
  time.runUntil(1_000);
  expect(countBefore).toBeGreaterThan(0);
  expect(eventCount).toEqual(countBefore);
  expect(group.loadOf(0).runningCount).toEqual(0);
});

// Guards against a comparison that a second run does not confirm.
test('a run repeats by its seed, and another seed gives another run', () => {
  const [first, again, other] = [1, 1, 2].map((seed) =>
    JSON.stringify(runPattern('swing', seed, 2_000).records),
  );
  expect(first).toEqual(again);
  expect(first === other).toEqual(false);
});

// Guards against a replay that is spoilt by requests which differ between the policies.
test('all policies get the same requests', () => {
  const planned = POLICIES.map(({ name }) =>
    runPattern('unlike', 1, 300, name).records.map((record) => record.planned),
  );
  expect(planned[1]).toEqual(planned[0]);
  expect(planned[2]).toEqual(planned[0]);
});

// Guards against gateways that refuse a request which a target has started, under each policy.
['abusive', 'restart', 'store-lost', 'late-loads'].forEach((pattern) =>
  POLICIES.forEach(({ name }) =>
    test(`no refused request has run: ${pattern}, ${name}`, () => {
      const { records, brokenRefusalCount } = runPattern(pattern, 3, 9_000, name);
      expect(records.length).toBeGreaterThan(100);
      expect(brokenRefusalCount).toEqual(0);
    }),
  ),
);

// Guards against a check of refusals that finds nothing because it looks at nothing.
test('a request that runs after its refusal is found', () => {
  const time = VirtualTime.create();
  // Without gateways, connections are refused.
  const callers = Callers.create(time, createRandom(1), []);
  const [planned] = requestsOf('swing', 1);
  if (planned === undefined) {
    throw new Error('no request');
  }
  callers.schedule([{ ...planned, isAbusive: false }]);
  time.runUntil(30_000);
  expect(sharesOf(callers.records).refusedTwice).toEqual(1);
  expect(callers.brokenRefusalCount).toEqual(0);
  callers.recordRun(Buffer.from(JSON.stringify({ id: planned.id })));
  expect(callers.brokenRefusalCount).toEqual(1);
});

// Guards against a bound that a policy exceeds, and one that ignores the capacity.
test('the bound is above what a policy serves, and falls with the capacity', () => {
  const requests = requestsOf('burst', 1);
  const [all, tenth] = [1, 0.1].map((capacity) => boundOf(requests, CAPTIONS, () => capacity));
  const { inTime, worth } = sharesOf(runPattern('burst', 1, 20_000).records);
  expect(all?.inTimeShare ?? 0).toBeGreaterThanOrEqual(inTime);
  expect(all?.worthShare ?? 0).toBeGreaterThanOrEqual(worth);
  expect(tenth?.inTimeShare ?? 1).toBeLessThan(0.9);
});

// Guards against a picture without one of the lines.
test('the picture has a line for each policy and measure', () => {
  const points = seriesOf(runPattern('swing', 1, 500).records);
  const series = POLICIES.map(({ name }) => ({ pattern: 'swing', policy: name, points }));
  const lineCount = drawChart(series).split('fill="none"').length - 1;
  expect(lineCount).toEqual(POLICIES.length * 4);
});

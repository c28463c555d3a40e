import { test } from 'node:test';
import { Outcome } from '@ebonysill/core';
import {
  AnswerState,
  CallerAgent,
  expectedAnswer,
  type CallSend,
  type Fleet,
} from '@ebonysill/emulator';
import { expect } from 'earl';
import fc from 'fast-check';
import { MODEL, PLAIN, startScenario } from './scenario.js';

const CHUNK_COUNT = 4;

interface PlannedCall {
  readonly isKeyed: boolean;
  readonly entry: number;
  readonly delayMs: number;
  /** Whether a keyed call is sent again with its key through another entry process. */
  readonly isRepeated: boolean;
}

/** Reference model: runs each call on arrival, and each key once. */
class ReferenceSystem {
  readonly #answers = new Map<string, string>();

  runCount = 0;

  private constructor() {}

  static create(): ReferenceSystem {
    return new ReferenceSystem();
  }

  serve(body: string, key: string | undefined): string {
    const known = key === undefined ? undefined : this.#answers.get(key);
    if (known !== undefined) {
      return known;
    }
    this.runCount += 1;
    const answer = expectedAnswer(body, CHUNK_COUNT);
    this.#answers.set(key ?? body, answer);
    return answer;
  }
}

const calls: fc.Arbitrary<PlannedCall[]> = fc.array(
  fc.record({
    isKeyed: fc.boolean(),
    entry: fc.nat(2),
    delayMs: fc.nat(400),
    isRepeated: fc.boolean(),
  }),
  { minLength: 1, maxLength: 12 },
);

const startCall = (fleet: Fleet, call: PlannedCall, index: number, key?: string): CallerAgent =>
  CallerAgent.create(fleet.emulation, {
    service: call.isKeyed ? PLAIN : MODEL,
    body: `call-${index}`,
    organisationId: 'large',
    isKeyed: call.isKeyed,
    entryIds: [`entry-${1 + ((call.entry + (key === undefined ? 0 : 1)) % 3)}`],
    maxSends: 2,
    answerTimeoutMs: 15_000,
    ...(key === undefined ? {} : { key }),
  });

const lastSend = ({ sends }: CallerAgent): CallSend | undefined => sends.at(-1);

test('answers and run counts equal the reference model', () => {
  fc.assert(
    fc.property(calls, (planned) => {
      const fleet = startScenario({ targetsPerZone: 1, chunkCount: CHUNK_COUNT });
      const agents: CallerAgent[] = [];
      planned.forEach((call, index) =>
        fleet.emulation.time.schedule(call.delayMs, () => {
          const agent = startCall(fleet, call, index);
          agents.push(agent);
          fleet.emulation.time.schedule(50, () => {
            if (call.isKeyed && call.isRepeated && agent.key !== undefined) {
              agents.push(startCall(fleet, call, index, agent.key));
            }
          });
        }),
      );
      fleet.emulation.runFor(20_000);
      const reference = ReferenceSystem.create();
      agents.forEach((agent) => {
        const send = lastSend(agent);
        const { state, text, problem } = fleet.emulation.answer(send?.exchangeId ?? '');
        expect(problem?.outcome ?? Outcome.Done).toEqual(Outcome.Done);
        expect(state).toEqual(AnswerState.Ended);
        expect(text).toEqual(reference.serve(send?.body ?? '', agent.key));
      });
      const bodies = [...new Set(agents.map((agent) => lastSend(agent)?.body ?? ''))];
      const runCount = bodies.reduce((sum, body) => sum + fleet.emulation.runsOf(body).count, 0);
      expect(runCount).toEqual(reference.runCount);
    }),
    { seed: 14, numRuns: 25 },
  );
});

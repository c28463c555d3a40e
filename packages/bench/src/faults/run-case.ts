/** @module Runs one case of the fault matrix and checks the invariants. */
import { Outcome } from '@ebonysill/core';
import { AnswerState, CallerAgent, expectedAnswer, type Fleet } from '@ebonysill/emulator';
import type { FaultCase } from './fault-case.js';
import FaultInjector from './FaultInjector.js';
import { RequestKind, isKeyed } from './fault-kind.js';
import { CHUNK_COUNT, ORGANISATION, startMatrixFleet, type FleetVariant } from './matrix-fleet.js';

/** Invariants of every case; the value describes the violation. */
export enum Invariant {
  AtMostOnce = 'a keyed call ran more than once',
  /** The body of a call that was refused as not run has no runs. */
  NotRunIsCorrect = '"not run" was told of a call that ran',
  /** An answer that ended has the full expected text. */
  CompleteAnswer = 'an answer that ended was not whole',
  /** The text received so far is a prefix of the expected text. */
  CorrectAnswer = 'a part of an answer was not its own',
  EveryCallEnds = 'a call was never answered',
  /** Once the faults are cleared, each entry process serves a new call. */
  Recovers = 'a call after the faults was not served',
}

/** Result of a case; `ebonysill-faults --json` prints it with these field names. */
export interface CaseResult {
  readonly faultCase: FaultCase;
  readonly violations: readonly Invariant[];
  /** Final outcome as the caller sees it; unknown if it got no answer. */
  readonly outcome: Outcome;
  /** Time from the first send to the final outcome. */
  readonly durationMs: number;
  /** Whether the step of every planned fault occurred. */
  readonly hasStruck: boolean;
}

/** Time for the injection of the faults and for all answers of the call. */
const FAULT_PHASE_MS = 60_000;

/** Time for the fleet to recover once the faults are cleared. */
const RECOVERY_MS = 15_000;

/** Time within which a call after the recovery must be served. */
const PROBE_TIMEOUT_MS = 10_000;

/** Time without an answer after which the caller sends again. */
const ANSWER_TIMEOUT_MS = 2_500;

const MAX_SENDS = 8;

const startCall = (fleet: Fleet, kind: RequestKind, body: string, key?: string): CallerAgent =>
  CallerAgent.create(fleet.emulation, {
    service: kind,
    body,
    organisationId: ORGANISATION,
    isKeyed: isKeyed(kind),
    entryIds: ['entry-1', 'entry-2'],
    maxSends: MAX_SENDS,
    answerTimeoutMs: ANSWER_TIMEOUT_MS,
    ...(key === undefined ? {} : { key }),
  });

/** Sends the call through the other entry process too, as soon as its key is minted. */
const sendDuplicateWhenKeyed = (fleet: Fleet, agent: CallerAgent, agents: CallerAgent[]): void => {
  if (agent.key === undefined) {
    fleet.emulation.time.schedule(1, () => sendDuplicateWhenKeyed(fleet, agent, agents));
    return;
  }
  const { key, plan } = agent;
  const duplicate = CallerAgent.create(fleet.emulation, {
    ...plan,
    key,
    entryIds: [...plan.entryIds].reverse(),
  });
  agents.push(duplicate);
};

const checkSend = (fleet: Fleet, exchangeId: string, body: string): readonly Invariant[] => {
  const { state, text, problem } = fleet.emulation.answer(exchangeId);
  const expected = expectedAnswer(body, CHUNK_COUNT);
  const isRefusedNotRun = problem?.outcome === Outcome.RefusedNotRun;
  return [
    ...(state === AnswerState.Waiting ? [Invariant.EveryCallEnds] : []),
    ...(state === AnswerState.Ended && text !== expected ? [Invariant.CompleteAnswer] : []),
    ...(expected.startsWith(text) ? [] : [Invariant.CorrectAnswer]),
    ...(isRefusedNotRun && fleet.emulation.runsOf(body).count > 0
      ? [Invariant.NotRunIsCorrect]
      : []),
  ];
};

const checkAgent = (fleet: Fleet, agent: CallerAgent): readonly Invariant[] => {
  const ranTwice = agent.plan.isKeyed && fleet.emulation.runsOf(agent.plan.body).count > 1;
  return [
    ...agent.sends.flatMap(({ exchangeId, body }) => checkSend(fleet, exchangeId, body)),
    ...(ranTwice ? [Invariant.AtMostOnce] : []),
  ];
};

const outcomeOf = (agent: CallerAgent): Outcome => {
  if (agent.finalAnswer?.state === AnswerState.Ended) {
    return Outcome.Done;
  }
  return agent.finalAnswer?.problem?.outcome ?? Outcome.Unknown;
};

const probe = (fleet: Fleet, kind: RequestKind): readonly Invariant[] => {
  const agents = ['entry-1', 'entry-2'].map((entryId) =>
    CallerAgent.create(fleet.emulation, {
      service: kind,
      body: `probe-${entryId}`,
      organisationId: ORGANISATION,
      isKeyed: isKeyed(kind),
      entryIds: [entryId],
      maxSends: 2,
      answerTimeoutMs: PROBE_TIMEOUT_MS,
    }),
  );
  fleet.emulation.runFor(PROBE_TIMEOUT_MS);
  return agents.every(({ finalAnswer }) => finalAnswer?.state === AnswerState.Ended)
    ? []
    : [Invariant.Recovers];
};

/**
 * Runs a case on virtual time; an empty variant tests the unmodified system.
 *
 * @example
 * runCase(faultCase, {}).violations; // []
 */
export const runCase = (faultCase: FaultCase, variant: FleetVariant): CaseResult => {
  const { kind, faults, seed } = faultCase;
  const injector = FaultInjector.create(faults);
  const fleet = startMatrixFleet(kind, seed, injector, variant);
  injector.arm(fleet);
  const startedMs = fleet.emulation.time.nowMs;
  const agent = startCall(fleet, kind, 'call');
  const agents = [agent, startCall(fleet, kind, 'bystander')];
  if (kind === RequestKind.RacedCall) {
    sendDuplicateWhenKeyed(fleet, agent, agents);
  }
  fleet.emulation.runFor(FAULT_PHASE_MS);
  injector.clearFaults();
  fleet.emulation.runFor(RECOVERY_MS);
  const violations = [...agents.flatMap((each) => checkAgent(fleet, each)), ...probe(fleet, kind)];
  return {
    faultCase,
    violations: [...new Set(violations)],
    outcome: outcomeOf(agent),
    durationMs: (agent.finalAnswer?.endedAtMs ?? fleet.emulation.time.nowMs) - startedMs,
    hasStruck: injector.pendingCount === 0,
  };
};

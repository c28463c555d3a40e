/** @module Deliberately faulty variants of the system, each of which the fault matrix must detect. */
import {
  DuplicateCheck,
  EffectKind,
  KeyVerdict,
  LogLevel,
  LogTopic,
  Outcome,
  Reason,
  ServiceName,
  type AnyRegistration,
  type ConfigurationApi,
  type Effect,
  type KeyLedgerApi,
  type Registration,
} from '@ebonysill/core';
import { RequestKind } from './fault-kind.js';
import type { FleetVariant } from './matrix-fleet.js';
import { Invariant } from './run-case.js';

/** Name of a known-bad variant. */
export enum KnownBad {
  /** Treats a known key as new, so that a repeated call runs again. */
  ForgetsKeys = 'forgets-keys',
  /** Assumes that every target checks for duplicate keys, and so retries on other targets. */
  RetriesElsewhere = 'retries-elsewhere',
  /** Targets are configured to check for duplicate keys, but do not. */
  TrustsTargetsThatIgnoreKeys = 'trusts-targets-that-ignore-keys',
  /** Answers with a not-run refusal where the outcome is unknown. */
  NotRunOnTimeout = 'not-run-on-timeout',
  /** Refuses a key as not run without a tombstone that keeps it from running later. */
  NotRunWithoutTombstone = 'not-run-without-tombstone',
  /** Ends a cut stream as if it were complete. */
  CutShownAsEnd = 'cut-shown-as-end',
  /** Resumes a stream from its first chunk instead of the first one not delivered. */
  ResumesFromStart = 'resumes-from-start',
  /** Never closes a link, not even a silent one. */
  KeepsSilentLinks = 'keeps-silent-links',
}

/** A variant, the kinds of requests that expose it, and the invariant that it violates. */
export interface KnownBadVariant {
  readonly variant: FleetVariant;
  readonly kinds: readonly RequestKind[];
  readonly violates: Invariant;
}

/** Replaces a suppressed effect; it only writes a debug log line. */
const NO_EFFECT: Effect = {
  kind: EffectKind.Log,
  level: LogLevel.Debug,
  topic: LogTopic.LinkLost,
  fields: {},
};

const alterLedger =
  (alter: (api: KeyLedgerApi) => KeyLedgerApi) =>
  (services: readonly AnyRegistration[]): readonly AnyRegistration[] =>
    services.map((service) => {
      if (service.name !== ServiceName.KeyLedger) {
        return service;
      }
      const altered: Registration<ServiceName.KeyLedger> = {
        ...service,
        create: (find) => {
          const instance = service.create(find);
          return { ...instance, api: alter(instance.api) };
        },
      };
      return altered;
    });

const alterConfiguration =
  (alter: (api: ConfigurationApi) => ConfigurationApi) =>
  (services: readonly AnyRegistration[]): readonly AnyRegistration[] =>
    services.map((service) => {
      if (service.name !== ServiceName.Configuration) {
        return service;
      }
      const altered: Registration<ServiceName.Configuration> = {
        ...service,
        create: (find) => {
          const instance = service.create(find);
          return { ...instance, api: alter(instance.api) };
        },
      };
      return altered;
    });

const forgetKeys = alterLedger((api) => ({
  ...api,
  claim: (key, organisationId, fingerprint) => {
    const decision = api.claim(key, organisationId, fingerprint);
    return decision.kind === KeyVerdict.Known
      ? { kind: KeyVerdict.Fresh, recordId: decision.recordId }
      : decision;
  },
}));

const forgetTombstones = alterLedger((api) => ({
  ...api,
  void: (_key, _organisationId, problem) => ({ kind: KeyVerdict.Refused, problem }),
}));

const assumeDuplicateChecks = alterConfiguration((api) => ({
  ...api,
  service: (name) => {
    const service = api.service(name);
    return service === undefined ? undefined : { ...service, duplicateCheck: DuplicateCheck.Key };
  },
}));

const answerNotRunOnTimeout = (effect: Effect): Effect =>
  effect.kind === EffectKind.AnswerProblem && effect.problem.outcome === Outcome.Unknown
    ? { ...effect, problem: { ...effect.problem, outcome: Outcome.RefusedNotRun } }
    : effect;

const endCutStreams = (effect: Effect): Effect =>
  effect.kind === EffectKind.AnswerProblem && effect.problem.reason === Reason.StreamCut
    ? { kind: EffectKind.AnswerEnd, exchangeId: effect.exchangeId }
    : effect;

const resumeFromStart = (effect: Effect): Effect =>
  effect.kind === EffectKind.CallTarget ? { ...effect, deliveredCount: 0 } : effect;

const keepSilentLinks = (effect: Effect): Effect =>
  effect.kind === EffectKind.CloseLink ? NO_EFFECT : effect;

/** Every known-bad variant. */
export const KNOWN_BAD: Readonly<Record<KnownBad, KnownBadVariant>> = {
  [KnownBad.ForgetsKeys]: {
    variant: { alterServices: forgetKeys },
    kinds: [RequestKind.RacedCall],
    violates: Invariant.AtMostOnce,
  },
  [KnownBad.RetriesElsewhere]: {
    variant: { alterServices: assumeDuplicateChecks },
    kinds: [RequestKind.KeyedCall],
    violates: Invariant.AtMostOnce,
  },
  [KnownBad.TrustsTargetsThatIgnoreKeys]: {
    variant: { ignoresKeys: true },
    kinds: [RequestKind.CheckedCall],
    violates: Invariant.AtMostOnce,
  },
  [KnownBad.NotRunOnTimeout]: {
    variant: { alterEffect: answerNotRunOnTimeout },
    kinds: [RequestKind.KeyedCall],
    violates: Invariant.NotRunIsCorrect,
  },
  [KnownBad.NotRunWithoutTombstone]: {
    variant: { alterServices: forgetTombstones },
    kinds: [RequestKind.KeyedCall, RequestKind.RacedCall, RequestKind.HeldCall],
    violates: Invariant.NotRunIsCorrect,
  },
  [KnownBad.CutShownAsEnd]: {
    variant: { alterEffect: endCutStreams },
    kinds: [RequestKind.PlainStream],
    violates: Invariant.CompleteAnswer,
  },
  [KnownBad.ResumesFromStart]: {
    variant: { alterEffect: resumeFromStart },
    kinds: [RequestKind.ResumedStream],
    violates: Invariant.CorrectAnswer,
  },
  [KnownBad.KeepsSilentLinks]: {
    variant: { alterEffect: keepSilentLinks },
    kinds: [RequestKind.KeyedCall],
    violates: Invariant.Recovers,
  },
};

/** @module Known-bad variants of the system; the fault matrix must fail each of them. */
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
  ForgetsKeys = 'forgets-keys',
  RetriesElsewhere = 'retries-elsewhere',
  TrustsTargetsThatIgnoreKeys = 'trusts-targets-that-ignore-keys',
  NotRunOnTimeout = 'not-run-on-timeout',
  NotRunWithoutTombstone = 'not-run-without-tombstone',
  CutShownAsEnd = 'cut-shown-as-end',
  ResumesFromStart = 'resumes-from-start',
  KeepsSilentLinks = 'keeps-silent-links',
}

/** A variant, the requests that show it, and the invariant that it breaks. */
export interface KnownBadVariant {
  readonly variant: FleetVariant;
  readonly kinds: readonly RequestKind[];
  readonly violates: Invariant;
}

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

/** @module Checks what callers and targets recorded against the promises of the system. */
import { EVENTS_PER_STREAM, RoutePath, type RecordedRun } from '@ebonysill/platform/stand-ins';

/** A request of a caller and the answer to it. */
export interface Attempt {
  readonly attemptId: string;
  readonly path: RoutePath;
  readonly credential: string;
  readonly sentAtMs: number;
  /** 0 if no answer was received. */
  readonly status: number;
  readonly isSigned: boolean;
  readonly isComplete: boolean;
  readonly body: string;
}

/** The removal of a credential from the configuration. */
export interface Revocation {
  readonly credential: string;
  readonly atMs: number;
}

/** A time in which a target named a limit on the requests of all gateways. */
export interface LimitPeriod {
  readonly instanceId: string;
  readonly maxRequestsPerSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
}

export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/** What callers, targets and the fault injector recorded in one soak run. */
export interface SoakRecord {
  readonly attempts: readonly Attempt[];
  readonly runs: readonly RecordedRun[];
  readonly revocations: readonly Revocation[];
  readonly limits: readonly LimitPeriod[];
}

type Check = (record: SoakRecord) => readonly Violation[];

/** Operators allow requests sent within this time after a revocation to run with the credential. */
const REVOCATION_DELAY_MS = 5_000;

/** Statuses that state that the request did not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

const EVENT_PATTERN = /^id: (\d+)\ndata: (.*)$/;

const groupRunsByAttempt = (
  runs: readonly RecordedRun[],
): ReadonlyMap<string, readonly RecordedRun[]> => {
  const byAttempt = new Map<string, RecordedRun[]>();
  runs.forEach((run) => {
    const existing = byAttempt.get(run.attemptId) ?? [];
    existing.push(run);
    byAttempt.set(run.attemptId, existing);
  });
  return byAttempt;
};

const atMostOnce: Check = ({ runs }) =>
  [...groupRunsByAttempt(runs.filter(({ path }) => path.startsWith(RoutePath.NonIdempotent)))]
    .filter(([, group]) => group.length > 1)
    .map(([attemptId, group]) => ({
      promise: 'a non-idempotent call runs at most once',
      detail: `${attemptId} ran at ${group.map(({ instanceId }) => instanceId).join(' and ')}`,
    }));

const refusedNotRun: Check = ({ attempts, runs }) => {
  const runsByAttempt = groupRunsByAttempt(runs);
  return attempts
    .filter(({ status, path }) => NOT_RUN_STATUSES.includes(status) && path !== RoutePath.Stream)
    .filter(
      ({ path, attemptId }) => path === RoutePath.NonIdempotent && runsByAttempt.has(attemptId),
    )
    .map(({ attemptId, status }) => ({
      promise: 'what is told not to have run did not run',
      detail: `${attemptId} was answered ${status} and ran`,
    }));
};

/**
 * Describes why the body is not a prefix of the requested stream, or that a complete answer has too
 * few events; undefined if the body is correct.
 */
const findStreamDefect = ({ attemptId, body, isComplete }: Attempt): string | undefined => {
  const events = body.split('\n\n').slice(0, -1);
  const isOrdered = events.every((event, index) => {
    const [, id, data] = EVENT_PATTERN.exec(event) ?? [];
    return Number(id) === index + 1 && data === `${attemptId}/${index + 1}`;
  });
  if (!isOrdered) {
    return `events are missing, doubled or of another stream: ${JSON.stringify(body)}`;
  }
  return isComplete && events.length !== EVENTS_PER_STREAM ? 'ends early as complete' : undefined;
};

const findPlainDefect = ({ attemptId, body, isComplete }: Attempt): string | undefined =>
  isComplete && body !== `answer to ${attemptId}` ? 'the body is not the whole answer' : undefined;

const completeAnswers: Check = ({ attempts }) =>
  attempts
    .filter(({ status }) => status === 200)
    .flatMap((attempt) => {
      const defect =
        attempt.path === RoutePath.Stream ? findStreamDefect(attempt) : findPlainDefect(attempt);
      const missingSignature = attempt.isSigned ? undefined : 'no signature';
      const violationDetail = defect ?? missingSignature;
      return violationDetail === undefined
        ? []
        : [
            {
              promise: 'answers are whole and unmixed',
              detail: `${attempt.attemptId}: ${violationDetail}`,
            },
          ];
    });

/**
 * Targets run only requests that a caller sent, for the organisation of the credential, and do not
 * receive the credential.
 */
const requestedOnly: Check = ({ attempts, runs }) => {
  const byId = new Map(attempts.map((attempt) => [attempt.attemptId, attempt]));
  return runs
    .filter(({ attemptId, organisation, hasCredential }) => {
      const attempt = byId.get(attemptId);
      return attempt === undefined || hasCredential || organisation !== `org-${attempt.credential}`;
    })
    .map(({ attemptId }) => ({
      promise: 'only what was asked runs, for its own organisation',
      detail: attemptId,
    }));
};

const revokedCredentials: Check = ({ attempts, runs, revocations }) => {
  const runsByAttempt = groupRunsByAttempt(runs);
  return attempts
    .filter(({ attemptId, credential, sentAtMs }) => {
      const revocation = revocations.find((candidate) => candidate.credential === credential);
      const isLate = revocation !== undefined && sentAtMs > revocation.atMs + REVOCATION_DELAY_MS;
      return isLate && runsByAttempt.has(attemptId);
    })
    .map(({ attemptId, credential }) => ({
      promise: 'a revoked credential runs nothing',
      detail: `${attemptId} with ${credential}`,
    }));
};

/** Operators count from this long after a target first named its limit. */
const LIMIT_DELAY_MS = 3_000;

const LIMIT_WINDOW_MS = 4_000;

/** Requests beyond one and a half times the limit that operators allow in the window. */
const LIMIT_SLACK = 5;

const targetLimits: Check = ({ runs, limits }) =>
  limits.flatMap(({ instanceId, maxRequestsPerSecond, fromMs, toMs }) => {
    const times = runs
      .filter((run) => run.instanceId === instanceId)
      .map(({ atMs }) => atMs)
      .filter((atMs) => atMs >= fromMs + LIMIT_DELAY_MS && atMs <= toMs);
    const counts = times.map(
      (from) => times.filter((atMs) => atMs >= from && atMs < from + LIMIT_WINDOW_MS).length,
    );
    const highest = Math.max(0, ...counts);
    const allowed = (1.5 * maxRequestsPerSecond * LIMIT_WINDOW_MS) / 1_000 + LIMIT_SLACK;
    return highest <= allowed
      ? []
      : [
          {
            promise: 'a target gets no more than its limit',
            detail: `${instanceId} got ${highest} in 4 s, ${allowed} may come`,
          },
        ];
  });

const CHECKS: readonly Check[] = [
  targetLimits,
  atMostOnce,
  refusedNotRun,
  completeAnswers,
  requestedOnly,
  revokedCredentials,
];

/**
 * Applies all checks to the record of one soak run.
 *
 * @example
 * checkPromises({ attempts, runs, revocations }).length; // 0 when every promise was kept
 */
export const checkPromises = (record: SoakRecord): readonly Violation[] =>
  CHECKS.flatMap((check) => check(record));

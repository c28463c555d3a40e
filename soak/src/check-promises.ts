/** @module What callers and targets saw, checked against what the system promises. */
import { EVENTS_PER_STREAM, RoutePath, type RecordedRun } from '@ebonysill/platform/stand-ins';

/** One attempt of a caller and what came back. */
export interface Attempt {
  readonly attemptId: string;
  readonly path: RoutePath;
  readonly credential: string;
  readonly sentAtMs: number;
  /** 0 when no answer came. */
  readonly status: number;
  readonly isSigned: boolean;
  readonly isComplete: boolean;
  readonly body: string;
}

/** A credential that operators took away. */
export interface Revocation {
  readonly credential: string;
  readonly atMs: number;
}

/** A promise that was broken. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/** Everything that was seen in one run. */
export interface SoakRecord {
  readonly attempts: readonly Attempt[];
  readonly runs: readonly RecordedRun[];
  readonly revocations: readonly Revocation[];
}

type Check = (record: SoakRecord) => readonly Violation[];

/** Operators allow this from the change to the last request that runs with the credential. */
const REVOCATION_MS = 5_000;

/** Statuses that promise that a request did not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

const EVENT_PATTERN = /^id: (\d+)\ndata: (.*)$/;

const groupRuns = (runs: readonly RecordedRun[]): ReadonlyMap<string, readonly RecordedRun[]> => {
  const byAttempt = new Map<string, RecordedRun[]>();
  runs.forEach((run) => {
    const present = byAttempt.get(run.attemptId) ?? [];
    present.push(run);
    byAttempt.set(run.attemptId, present);
  });
  return byAttempt;
};

const atMostOnce: Check = ({ runs }) =>
  [...groupRuns(runs.filter(({ path }) => path.startsWith(RoutePath.NonIdempotent)))]
    .filter(([, group]) => group.length > 1)
    .map(([attemptId, group]) => ({
      promise: 'a non-idempotent call runs at most once',
      detail: `${attemptId} ran at ${group.map(({ instanceId }) => instanceId).join(' and ')}`,
    }));

const honestRefusals: Check = ({ attempts, runs }) => {
  const ran = groupRuns(runs);
  return attempts
    .filter(({ status, path }) => NOT_RUN_STATUSES.includes(status) && path !== RoutePath.Stream)
    .filter(({ path, attemptId }) => path === RoutePath.NonIdempotent && ran.has(attemptId))
    .map(({ attemptId, status }) => ({
      promise: 'what is told not to have run did not run',
      detail: `${attemptId} was answered ${status} and ran`,
    }));
};

/** Why a stream is not the prefix, or the whole, of the one stream that was asked for. */
const streamFault = ({ attemptId, body, isComplete }: Attempt): string | undefined => {
  const whole = body.split('\n\n').slice(0, -1);
  const isOrdered = whole.every((event, index) => {
    const [, id, data] = EVENT_PATTERN.exec(event) ?? [];
    return Number(id) === index + 1 && data === `${attemptId}/${index + 1}`;
  });
  if (!isOrdered) {
    return `events are missing, doubled or of another stream: ${JSON.stringify(body)}`;
  }
  return isComplete && whole.length !== EVENTS_PER_STREAM ? 'ends early as complete' : undefined;
};

const plainFault = ({ attemptId, body, isComplete }: Attempt): string | undefined =>
  isComplete && body !== `answer to ${attemptId}` ? 'the body is not the whole answer' : undefined;

const wholeAnswers: Check = ({ attempts }) =>
  attempts
    .filter(({ status }) => status === 200)
    .flatMap((attempt) => {
      const fault = attempt.path === RoutePath.Stream ? streamFault(attempt) : plainFault(attempt);
      const unsigned = attempt.isSigned ? undefined : 'no signature';
      const found = fault ?? unsigned;
      return found === undefined
        ? []
        : [{ promise: 'answers are whole and unmixed', detail: `${attempt.attemptId}: ${found}` }];
    });

const askedOnly: Check = ({ attempts, runs }) => {
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

const revokedKeys: Check = ({ attempts, runs, revocations }) => {
  const ran = groupRuns(runs);
  return attempts
    .filter(({ attemptId, credential, sentAtMs }) => {
      const revocation = revocations.find((one) => one.credential === credential);
      const isLate = revocation !== undefined && sentAtMs > revocation.atMs + REVOCATION_MS;
      return isLate && ran.has(attemptId);
    })
    .map(({ attemptId, credential }) => ({
      promise: 'a revoked credential runs nothing',
      detail: `${attemptId} with ${credential}`,
    }));
};

const CHECKS: readonly Check[] = [atMostOnce, honestRefusals, wholeAnswers, askedOnly, revokedKeys];

/**
 * Checks what was seen.
 *
 * @example
 * checkPromises({ attempts, runs, revocations }).length; // 0 when every promise was kept
 */
export const checkPromises = (record: SoakRecord): readonly Violation[] =>
  CHECKS.flatMap((check) => check(record));

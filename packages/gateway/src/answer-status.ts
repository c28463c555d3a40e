/** @module What the status of a target's answer means. */
import type { TargetHead } from './exchange-data.js';

/** Lower statuses are no answers, and some of them cannot be written. */
const MIN_FINAL_STATUS = 200;

const MAX_STATUS = 599;

const FIRST_REDIRECT = 300;

const FIRST_SERVER_ERROR = 500;

/** The process at the address is another instance than the one that was called. */
const MISDIRECTED = 421;

/** Statuses from which callers conclude that the request did not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/**
 * Whether a status can end an exchange.
 *
 * @example
 * isFinalStatus(101); // false
 */
export const isFinalStatus = (status: number): boolean =>
  status >= MIN_FINAL_STATUS && status <= MAX_STATUS;

/**
 * Whether a status says that the request ran with success.
 *
 * @example
 * isSuccess(204); // true
 */
export const isSuccess = (status: number): boolean =>
  status >= MIN_FINAL_STATUS && status < FIRST_REDIRECT;

/**
 * Whether callers take a status for a promise that the request did not run.
 *
 * @example
 * promisesNotRun(429); // true
 */
export const promisesNotRun = (status: number): boolean => NOT_RUN_STATUSES.includes(status);

/**
 * Whether another target may answer better.
 *
 * @example
 * isFailure(500); // true
 */
export const isFailure = (status: number): boolean =>
  status >= FIRST_SERVER_ERROR || promisesNotRun(status);

/**
 * Whether the events of an answer are forwarded as they arrive.
 *
 * @example
 * isLiveStream(head);
 */
export const isLiveStream = ({ status, isEventStream, isSigned }: TargetHead): boolean =>
  isSuccess(status) && isEventStream && isSigned;

/**
 * Whether an answer may come from another instance than the one that was called.
 *
 * @example
 * isMisdirected(421); // true
 */
export const isMisdirected = (status: number): boolean => status === MISDIRECTED;

/**
 * Whether a target rejected a request because it runs as many as it can.
 *
 * @example
 * isFull(head); // true with a load of 7 running, 3 waiting and 7 slots
 */
export const isFull = ({ isNotRun, status, load, notice }: TargetHead): boolean =>
  isNotRun &&
  !isMisdirected(status) &&
  !notice.isLeaving &&
  (load === undefined || load.runningCount >= load.slots);

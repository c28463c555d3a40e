/**
 * @module Concurrent callers that reuse one connection per gateway and switch gateways at random.
 */
import { Agent, get, request, type IncomingMessage } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Random } from '@ebonysill/emulator';
import { RoutePath, isSignedAnswer, requestFields } from '@ebonysill/platform/stand-ins';
import type { Attempt } from './check-promises.js';

export interface CallerLoadOptions {
  /** IP addresses of the gateways. */
  readonly hosts: readonly string[];
  readonly callerPort: number;
  /**
   * Each request uses a random credential. Revoked credentials stay in use, so that the rejection
   * of their requests can be checked.
   */
  readonly credentials: readonly string[];
  readonly random: Random;
}

const CALLER_COUNT = 12;

/** Time-out of a caller for the complete answer. */
const CALL_TIMEOUT_MS = 9_000;

/** Remaining time that each request states in its header. */
const REQUEST_DEADLINE_MS = 8_000;

const STATUS_TIMEOUT_MS = 1_000;

/** Longest pause of a caller between two requests. */
const MAX_PAUSE_MS = 60;

/**
 * Share of answered requests after which a caller chooses a gateway at random again. After a
 * request without an answer it always does.
 */
const GATEWAY_SWITCH_SHARE = 0.05;

/** Paths to draw from; half of the requests are non-idempotent. */
const PATHS: readonly RoutePath[] = [
  RoutePath.Idempotent,
  RoutePath.NonIdempotent,
  RoutePath.NonIdempotent,
  RoutePath.Stream,
];

/** Recorded in place of a status when no answer was received. */
const NO_ANSWER_STATUS = 0;

const drawFrom = <T>(values: readonly T[], random: Random): T =>
  values[Math.floor(random() * values.length)] as T;

interface ReceivedAnswer {
  readonly status: number;
  readonly isSigned: boolean;
  readonly isComplete: boolean;
  readonly body: string;
}

const FAILED_ANSWER: ReceivedAnswer = {
  status: NO_ANSWER_STATUS,
  isSigned: false,
  isComplete: false,
  body: '',
};

const readAnswer = async (answer: IncomingMessage): Promise<ReceivedAnswer> => {
  let body = '';
  answer.setEncoding('utf8');
  answer.on('data', (text: string) => {
    body += text;
  });
  await new Promise<void>((resolve) => {
    answer.on('close', resolve);
    answer.on('error', () => resolve());
  });
  const isSigned = isSignedAnswer(answer.headers);
  return {
    status: answer.statusCode ?? NO_ANSWER_STATUS,
    isSigned,
    isComplete: answer.complete,
    body,
  };
};

/**
 * Status of the answer to a GET request; 0 on a connection error or a time-out of one second.
 *
 * @example
 * await statusOf('127.0.0.1', READINESS_PORT, READINESS_PATH); // 200
 */
export const statusOf = (host: string, port: number, path: string): Promise<number> =>
  new Promise((resolve) => {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    get({ host, port, path, agent: false, signal }, (answer) => {
      answer.resume();
      resolve(answer.statusCode ?? NO_ANSWER_STATUS);
    }).on('error', () => resolve(NO_ANSWER_STATUS));
  });

/** Sends requests from several callers at once and records every attempt. */
export class CallerLoad {
  readonly attempts: Attempt[] = [];

  #isStopped = false;

  #nextId = 1;

  private constructor(private readonly options: CallerLoadOptions) {}

  /**
   * Creates a load that sends nothing until `run` or `send` is called.
   *
   * @example
   * const load = CallerLoad.create({ hosts, callerPort, credentials, random });
   */
  static create(options: CallerLoadOptions): CallerLoad {
    return new CallerLoad(options);
  }

  /** Sends requests until `stop` is called; resolves after the last answer. */
  async run(): Promise<void> {
    await Promise.all(Array.from({ length: CALLER_COUNT }, () => this.#runCaller()));
  }

  /** Lets each caller finish its current request and send no more. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Sends one request with a random credential and records the attempt; never rejects. */
  async send(host: string, path: RoutePath, agent: Agent | false): Promise<Attempt> {
    const { callerPort, credentials, random } = this.options;
    const attemptId = `a-${this.#nextId}`;
    this.#nextId += 1;
    const credential = drawFrom(credentials, random);
    const sentAtMs = performance.now();
    const answer = await new Promise<ReceivedAnswer>((resolve) => {
      const outgoing = request({
        host,
        port: callerPort,
        method: path === RoutePath.Idempotent ? 'GET' : 'POST',
        path: `${path}${attemptId}`,
        agent,
        headers: {
          ...requestFields(attemptId, credential, REQUEST_DEADLINE_MS),
          ...(path === RoutePath.Idempotent ? {} : { 'content-length': 2 }),
        },
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      outgoing.on('response', (incoming) => {
        readAnswer(incoming).then(resolve, () => resolve(FAILED_ANSWER));
      });
      outgoing.on('error', () => resolve(FAILED_ANSWER));
      outgoing.end(path === RoutePath.Idempotent ? undefined : 'ab');
    });
    const attempt = { attemptId, path, credential, sentAtMs, ...answer };
    this.attempts.push(attempt);
    return attempt;
  }

  async #runCaller(): Promise<void> {
    const { hosts, random } = this.options;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let host = drawFrom(hosts, random);
    while (!this.#isStopped) {
      // eslint-disable-next-line no-await-in-loop
      const { status } = await this.send(host, drawFrom(PATHS, random), agent);
      if (status === NO_ANSWER_STATUS || random() < GATEWAY_SWITCH_SHARE) {
        host = drawFrom(hosts, random);
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(random() * MAX_PAUSE_MS);
    }
    agent.destroy();
  }
}

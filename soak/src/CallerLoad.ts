/** @module Callers that keep using open connections until the gateway is gone. */
import { Agent, get, request, type IncomingMessage } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Random } from '@ebonysill/emulator';
import { RoutePath, isSignedAnswer, requestFields } from '@ebonysill/platform/stand-ins';
import type { Attempt } from './check-promises.js';

/** What a load is created from. */
export interface CallerLoadOptions {
  /** IP addresses of the gateways. */
  readonly hosts: readonly string[];
  readonly callerPort: number;
  readonly credentials: readonly string[];
  readonly random: Random;
}

const CALLER_COUNT = 12;

/** Longest time that a caller waits for a whole answer. */
const CALL_TIMEOUT_MS = 9_000;

const REQUEST_DEADLINE_MS = 8_000;

const STATUS_TIMEOUT_MS = 1_000;

const MAX_PAUSE_MS = 60;

/** A caller changes to another gateway after this part of its calls, and after each failure. */
const GATEWAY_SWITCH_SHARE = 0.05;

const PATHS: readonly RoutePath[] = [
  RoutePath.Idempotent,
  RoutePath.NonIdempotent,
  RoutePath.NonIdempotent,
  RoutePath.Stream,
];

/** Status that stands for no answer at all. */
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
 * Status of a plain request; 0 when nobody answers.
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

/** Sends requests from a few callers at once. */
export class CallerLoad {
  readonly attempts: Attempt[] = [];

  #isStopped = false;

  #nextId = 1;

  private constructor(private readonly options: CallerLoadOptions) {}

  /**
   * Creates callers that send nothing yet.
   *
   * @example
   * const load = CallerLoad.create({ hosts, callerPort, credentials, random });
   */
  static create(options: CallerLoadOptions): CallerLoad {
    return new CallerLoad(options);
  }

  /** Sends requests until it is stopped; resolves when the last answer is in. */
  async run(): Promise<void> {
    await Promise.all(Array.from({ length: CALLER_COUNT }, () => this.#runCaller()));
  }

  /** Lets each caller end after its present call. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Sends one request and returns what came back. */
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

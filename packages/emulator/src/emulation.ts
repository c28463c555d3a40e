/**
 * @module Runs emulated processes and their surroundings on virtual time, reproducibly from a seed.
 */
import {
  EffectKind,
  EventKind,
  type AnswerRankEffect,
  type AnyRegistration,
  type CallerRequestEvent,
  type Effect,
  type LoadMapEffect,
  type Message,
  type Runtime,
} from '@ebonysill/core';
import { AnswerState, createPendingAnswer, type CallerAnswer } from './caller-answer.js';
import { createRandom, type Random } from './create-random.js';
import { EmulatedNetwork, deliverNormally, type NetworkRules } from './emulated-network.js';
import { EmulatedProcess } from './emulated-process.js';
import { FakeConfigurationService } from './fake-configuration-service.js';
import { FakeTarget, type FakeTargetOptions } from './fake-target.js';
import { Step, stepOf } from './step.js';
import { VirtualTime } from './virtual-time.js';

/** Seed, faults and observers of an emulation. */
export interface EmulationOptions {
  readonly seed: number;
  readonly network?: Partial<NetworkRules>;
  /** Called before each step of a request or a map change; for `TargetRan`, right after the run. */
  readonly onStep?: (upcoming: UpcomingStep) => void;
  /** Called with one line of text for each effect and each run on a target. */
  readonly onTrace?: (line: string) => void;
  /** Called for each message that a process sends. */
  readonly onSend?: (processId: string, message: Message) => void;
  /** Called for each effect on the rank beside a process. */
  readonly onRankEffect?: (process: EmulatedProcess, effect: RankEffect) => void;
  /** Whether the caller of an exchange has stopped reading from its connection. */
  readonly isStalled?: (exchangeId: string) => boolean;
  /** Replaces an effect before it is performed; used for deliberately faulty variants. */
  readonly alterEffect?: (effect: Effect) => Effect;
}

/** Identity and services of a process to add. */
export interface ProcessPlan {
  readonly processId: string;
  readonly availabilityZone: string;
  readonly createServices: (runtime: Runtime) => readonly AnyRegistration[];
}

/** An effect on a rank. */
export type RankEffect = AnswerRankEffect | LoadMapEffect;

/** A step passed to `onStep`, with the processes that it concerns. */
export interface UpcomingStep {
  readonly step: Step;
  /** Process or target that performs the step. */
  readonly processId: string;
  /** Process that the message of this step is sent to, if any. */
  readonly peerId: string | undefined;
}

/** How often a request body was run, and when last. */
export interface RunRecord {
  readonly count: number;
  readonly lastRunAtMs: number;
}

/** Latency between a caller and its entry process, and by default between two processes. */
const ONE_WAY_LATENCY_MS = 0.5;

const NEVER_RAN: RunRecord = { count: 0, lastRunAtMs: 0 };

/** Returns a post function whose events are discarded once the process is killed or restarted. */
const postToIncarnation = (process: EmulatedProcess): EmulatedProcess['post'] => {
  const { startCount } = process;
  return (event) => {
    if (process.startCount === startCount && process.isAlive) {
      process.post(event);
    }
  };
};

/** Runs processes, targets, callers, the configuration service and the network between them. */
export class Emulation {
  readonly time = VirtualTime.create();

  readonly network: EmulatedNetwork;

  readonly configurationService = FakeConfigurationService.create(this.time);

  readonly #random: Random;

  readonly #processes = new Map<string, EmulatedProcess>();

  readonly #targets = new Map<string, FakeTarget>();

  readonly #answers = new Map<string, CallerAnswer>();

  readonly #entryIdByExchange = new Map<string, string>();

  readonly #runsByBody = new Map<string, RunRecord>();

  #exchangeCount = 0;

  private constructor(private readonly options: EmulationOptions) {
    this.#random = createRandom(options.seed);
    this.network = EmulatedNetwork.create(this.time, this.#random, {
      deliveryOf: deliverNormally,
      isConnected: () => true,
      latencyMs: () => ONE_WAY_LATENCY_MS,
      ...options.network,
    });
  }

  /**
   * Creates an emulation at time zero, without processes.
   *
   * @example
   * const emulation = Emulation.create({ seed: 1 });
   */
  static create(options: EmulationOptions): Emulation {
    return new Emulation(options);
  }

  /** Adds a process without starting it. */
  addProcess(plan: ProcessPlan): EmulatedProcess {
    const process = EmulatedProcess.create({
      ...plan,
      time: this.time,
      seed: this.options.seed + this.#processes.size + 1,
      ports: {
        open: (from, effect) => this.network.open(from, effect),
        close: (from, linkId) => this.network.close(from, linkId),
        onKill: (killed) => this.#onKill(killed),
        perform: (from, effect) => this.#perform(from, effect),
        alter: (effect) => this.options.alterEffect?.(effect) ?? effect,
        beforeEffect: (from, effect) => this.#beforeEffect(from, effect),
      },
    });
    this.#processes.set(plan.processId, process);
    return process;
  }

  /** Adds the target of the process whose id equals the target id. */
  addTarget(options: Omit<FakeTargetOptions, 'time' | 'onRan'>): FakeTarget {
    const target = FakeTarget.create({
      ...options,
      time: this.time,
      onRan: ({ targetId }, body) => this.#onRan(targetId, body),
    });
    this.#targets.set(options.targetId, target);
    return target;
  }

  /** Returns the process with this id; throws if there is none. */
  process(processId: string): EmulatedProcess {
    const process = this.#processes.get(processId);
    if (process === undefined) {
      throw new Error(`there is no process "${processId}"`);
    }
    return process;
  }

  /** Returns the target with this id; throws if there is none. */
  target(targetId: string): FakeTarget {
    const target = this.#targets.get(targetId);
    if (target === undefined) {
      throw new Error(`there is no target "${targetId}"`);
    }
    return target;
  }

  /** Every process, in the order in which they were added. */
  get processes(): readonly EmulatedProcess[] {
    return [...this.#processes.values()];
  }

  /** Every target, in the order in which they were added. */
  get targets(): readonly FakeTarget[] {
    return [...this.#targets.values()];
  }

  /** Runs of a request body, on all targets together. */
  runsOf(body: string): RunRecord {
    return this.#runsByBody.get(body) ?? NEVER_RAN;
  }

  /** Sends a caller's request to an entry process; returns the id of the exchange. */
  request(entryId: string, event: Omit<CallerRequestEvent, 'kind' | 'exchangeId'>): string {
    this.#exchangeCount += 1;
    const exchangeId = `exchange-${this.#exchangeCount}`;
    this.#answers.set(exchangeId, createPendingAnswer(this.time.nowMs));
    this.#entryIdByExchange.set(exchangeId, entryId);
    const entry = this.process(entryId);
    this.time.schedule(ONE_WAY_LATENCY_MS, () => {
      if (entry.isAlive) {
        entry.post({ kind: EventKind.CallerRequest, exchangeId, ...event });
      } else {
        this.#updateAnswer(exchangeId, { state: AnswerState.Disconnected });
      }
    });
    return exchangeId;
  }

  /** The answer of an exchange, as received so far. */
  answer(exchangeId: string): CallerAnswer {
    return this.#answers.get(exchangeId) ?? createPendingAnswer(0);
  }

  /** Advances virtual time, running every action that falls due. */
  runFor(durationMs: number): void {
    this.time.runUntil(this.time.nowMs + durationMs);
  }

  #beforeEffect(process: EmulatedProcess, effect: Effect): void {
    const { processId } = process;
    this.options.onTrace?.(`${this.time.nowMs} ${processId} ${JSON.stringify(effect)}`);
    const step = stepOf(effect);
    if (step !== undefined) {
      const peerId =
        effect.kind === EffectKind.Send ? this.network.peerOf(process, effect.linkId) : undefined;
      this.options.onStep?.({ step, processId, peerId });
    }
  }

  #onRan(targetId: string, body: string): void {
    const { count } = this.runsOf(body);
    this.#runsByBody.set(body, { count: count + 1, lastRunAtMs: this.time.nowMs });
    this.options.onTrace?.(`${this.time.nowMs} ${targetId} ran ${body}`);
    this.options.onStep?.({ step: Step.TargetRan, processId: targetId, peerId: undefined });
  }

  #onKill(killed: EmulatedProcess): void {
    this.network.closeLinksOf(killed);
    this.#entryIdByExchange.forEach((entryId, exchangeId) => {
      if (entryId === killed.processId) {
        this.#updateAnswer(exchangeId, { state: AnswerState.Disconnected });
      }
    });
  }

  #perform(process: EmulatedProcess, effect: Effect): void {
    switch (effect.kind) {
      case EffectKind.AnswerChunk:
        this.#onAnswerChunk(process, effect.exchangeId, effect.data);
        return;
      case EffectKind.AnswerEnd:
        this.#updateAnswer(effect.exchangeId, { state: AnswerState.Ended });
        return;
      case EffectKind.AnswerKey:
        this.#updateAnswer(effect.exchangeId, {
          state: AnswerState.Ended,
          idempotencyKey: effect.idempotencyKey,
        });
        return;
      case EffectKind.AnswerProblem:
        this.#updateAnswer(effect.exchangeId, {
          state: AnswerState.Refused,
          problem: effect.problem,
        });
        return;
      case EffectKind.Send:
        this.options.onSend?.(process.processId, effect.message);
        this.network.send(process, effect.linkId, effect.message);
        return;
      case EffectKind.ReadConfiguration:
        this.#readConfiguration(process, effect.aboveRevision);
        return;
      default:
        this.#performOnTarget(process, effect);
    }
  }

  #performOnTarget(process: EmulatedProcess, effect: Effect): void {
    const target = this.#targets.get(process.processId);
    const post = postToIncarnation(process);
    switch (effect.kind) {
      case EffectKind.CallTarget:
        target?.call(effect, post);
        return;
      case EffectKind.AbortTarget:
        target?.abort(effect.callId);
        return;
      case EffectKind.PauseTarget:
        target?.pause(effect.callId);
        return;
      case EffectKind.ResumeTarget:
        target?.resume(effect.callId);
        return;
      case EffectKind.ReadTargetHealth:
        target?.readHealth(post);
        return;
      case EffectKind.AnswerRank:
      case EffectKind.LoadMap:
        this.options.onRankEffect?.(process, effect);
        break;
      default:
    }
  }

  #readConfiguration(process: EmulatedProcess, aboveRevision: number): void {
    this.configurationService.read(aboveRevision, postToIncarnation(process));
  }

  #onAnswerChunk(process: EmulatedProcess, exchangeId: string, data: string): void {
    const { text, firstChunkAtMs } = this.answer(exchangeId);
    this.#updateAnswer(exchangeId, {
      text: text + data,
      firstChunkAtMs: firstChunkAtMs ?? this.time.nowMs,
    });
    if (this.options.isStalled?.(exchangeId) === true) {
      return;
    }
    const post = postToIncarnation(process);
    this.time.schedule(ONE_WAY_LATENCY_MS, () =>
      post({ kind: EventKind.CallerFlushed, exchangeId, chunkCount: 1 }),
    );
  }

  #updateAnswer(exchangeId: string, change: Partial<CallerAnswer>): void {
    const answer = this.answer(exchangeId);
    if (answer.state !== AnswerState.Waiting) {
      return;
    }
    const hasEnded = change.state !== undefined;
    this.#answers.set(exchangeId, {
      ...answer,
      ...change,
      endedAtMs: hasEnded ? this.time.nowMs : undefined,
    });
  }
}

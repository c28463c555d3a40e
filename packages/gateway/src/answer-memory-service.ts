/** @module Lets large answers be read from targets no faster than callers take them. */
import { createInstance } from '@ebonysill/kernel';
import AnswerMemory, { ReadVerdict } from './AnswerMemory.js';
import { setTimer } from './build-effects.js';
import { ServiceName, type Registration } from './directory.js';
import { EffectKind, type Effect } from './effect.js';
import { EventKind, type Event } from './event.js';
import TimerKind from './TimerKind.js';

/** Interval at which stalled callers are looked for, while answers wait for memory. */
const CHECK_INTERVAL_MS = 250;

/**
 * Time without a byte taken after which a caller loses its answer to those that wait. The system takes
 * bytes again when a third of its buffer is free, which is seconds at a few Mbit/s.
 */
const MAX_STALL_MS = 3_000;

const TIMER_KEY = 0;

/** Outcome of a block. */
export interface BlockResult {
  readonly isTooLarge: boolean;
  /** Whether the rest has to wait for memory; the effects pause the call. */
  readonly isWaiting: boolean;
  readonly effects: readonly Effect[];
}

/** Options of the service. */
export interface AnswerMemoryOptions {
  /** Memory of all large answers together. */
  readonly maxBytes: number;
}

const READ_ON: BlockResult = { isTooLarge: false, isWaiting: false, effects: [] };

class AnswerMemoryService {
  readonly #memory: AnswerMemory;

  #isChecking = false;

  private constructor({ maxBytes }: AnswerMemoryOptions) {
    this.#memory = AnswerMemory.create(maxBytes);
  }

  static create(options: AnswerMemoryOptions): AnswerMemoryService {
    return new AnswerMemoryService(options);
  }

  readonly begin = (exchangeId: number, callId: number): readonly Effect[] => {
    this.#memory.begin(exchangeId, callId);
    return this.#resumeWaiting();
  };

  readonly addBlock = (
    exchangeId: number,
    callId: number,
    blockBytes: number,
    announcedBytes?: number,
  ): BlockResult => {
    switch (this.#memory.add(exchangeId, blockBytes, announcedBytes)) {
      case ReadVerdict.TooLarge:
        return { ...READ_ON, isTooLarge: true };
      case ReadVerdict.Wait:
        return {
          ...READ_ON,
          isWaiting: true,
          effects: [{ kind: EffectKind.PauseCall, callId }, ...this.#scheduleCheck()],
        };
      default:
        return READ_ON;
    }
  };

  readonly markSent = (exchangeId: number): void => this.#memory.markSent(exchangeId);

  readonly end = (exchangeId: number): readonly Effect[] => {
    this.#memory.end(exchangeId);
    return this.#resumeWaiting();
  };

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.AnswerTaken:
        this.#memory.remove(event.exchangeId);
        return this.#resumeWaiting();
      case EventKind.TimerFired:
        return event.timer === TimerKind.StalledCallers ? this.#onCheck() : [];
      default:
        return [];
    }
  }

  #onCheck(): readonly Effect[] {
    this.#isChecking = false;
    return this.#memory.hasWaiting
      ? [
          { kind: EffectKind.DropStalledAnswers, minStallMs: MAX_STALL_MS },
          ...this.#scheduleCheck(),
        ]
      : [];
  }

  #scheduleCheck(): readonly Effect[] {
    if (this.#isChecking) {
      return [];
    }
    this.#isChecking = true;
    return [setTimer(TimerKind.StalledCallers, TIMER_KEY, CHECK_INTERVAL_MS)];
  }

  #resumeWaiting(): readonly Effect[] {
    return this.#memory
      .reserveWaiting()
      .map((callId) => ({ kind: EffectKind.ResumeCall, callId }) as const);
  }
}

/**
 * Registers the service that bounds the memory of answers.
 *
 * @example
 * answerMemoryRegistration({ maxBytes: 29_000_000 });
 */
export const answerMemoryRegistration = (
  options: AnswerMemoryOptions,
): Registration<ServiceName.AnswerMemory> => ({
  name: ServiceName.AnswerMemory,
  requires: [],
  create: () => {
    const service = AnswerMemoryService.create(options);
    return createInstance(
      {
        begin: service.begin,
        addBlock: service.addBlock,
        markSent: service.markSent,
        end: service.end,
      },
      { handle: (event) => service.handle(event) },
    );
  },
});

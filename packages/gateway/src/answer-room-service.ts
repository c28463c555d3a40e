/** @module Lets large answers be read from targets no faster than callers take them. */
import { createInstance } from '@ebonysill/kernel';
import AnswerRoom, { RoomVerdict } from './AnswerRoom.js';
import { setTimer } from './build-effects.js';
import { ServiceName, type Registration } from './directory.js';
import { EffectKind, type Effect } from './effect.js';
import { EventKind, type Event } from './event.js';
import TimerKind from './TimerKind.js';

/** Interval at which stalled callers are looked for, while answers wait for room. */
const CHECK_INTERVAL_MS = 250;

/**
 * Time without a byte taken after which a caller loses its answer to those that wait. The system takes
 * bytes again when a third of its buffer is free, which is seconds at a few Mbit/s.
 */
const MAX_STALL_MS = 3_000;

const TIMER_KEY = 0;

/** Outcome of a block. */
export interface RoomResult {
  readonly isTooLarge: boolean;
  /** Whether the rest has to wait for room; the effects pause the call. */
  readonly isWaiting: boolean;
  readonly effects: readonly Effect[];
}

/** Options of the service. */
export interface AnswerRoomOptions {
  /** Memory of all large answers together. */
  readonly maxBytes: number;
}

const ROOM: RoomResult = { isTooLarge: false, isWaiting: false, effects: [] };

class AnswerRoomService {
  readonly #room: AnswerRoom;

  #isChecking = false;

  private constructor({ maxBytes }: AnswerRoomOptions) {
    this.#room = AnswerRoom.create(maxBytes);
  }

  static create(options: AnswerRoomOptions): AnswerRoomService {
    return new AnswerRoomService(options);
  }

  readonly begin = (exchangeId: number, callId: number): readonly Effect[] => {
    this.#room.begin(exchangeId, callId);
    return this.#resumeWaiting();
  };

  readonly addBlock = (
    exchangeId: number,
    callId: number,
    blockBytes: number,
    announcedBytes?: number,
  ): RoomResult => {
    switch (this.#room.add(exchangeId, blockBytes, announcedBytes)) {
      case RoomVerdict.TooLarge:
        return { ...ROOM, isTooLarge: true };
      case RoomVerdict.Wait:
        return {
          ...ROOM,
          isWaiting: true,
          effects: [{ kind: EffectKind.PauseCall, callId }, ...this.#scheduleCheck()],
        };
      default:
        return ROOM;
    }
  };

  readonly markSent = (exchangeId: number): void => this.#room.markSent(exchangeId);

  readonly end = (exchangeId: number): readonly Effect[] => {
    this.#room.end(exchangeId);
    return this.#resumeWaiting();
  };

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.AnswerTaken:
        this.#room.remove(event.exchangeId);
        return this.#resumeWaiting();
      case EventKind.TimerFired:
        return event.timer === TimerKind.RoomCheck ? this.#onCheck() : [];
      default:
        return [];
    }
  }

  #onCheck(): readonly Effect[] {
    this.#isChecking = false;
    return this.#room.hasWaiting
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
    return [setTimer(TimerKind.RoomCheck, TIMER_KEY, CHECK_INTERVAL_MS)];
  }

  #resumeWaiting(): readonly Effect[] {
    return this.#room
      .reserveWaiting()
      .map((callId) => ({ kind: EffectKind.ResumeCall, callId }) as const);
  }
}

/**
 * Registers the service that bounds the memory of answers.
 *
 * @example
 * answerRoomRegistration({ maxBytes: 29_000_000 });
 */
export const answerRoomRegistration = (
  options: AnswerRoomOptions,
): Registration<ServiceName.AnswerRoom> => ({
  name: ServiceName.AnswerRoom,
  requires: [],
  create: () => {
    const service = AnswerRoomService.create(options);
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

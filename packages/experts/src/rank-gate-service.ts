/**
 * @module Gate that decides when a rank may begin its next step, and with which map.
 *
 * A rank asks its gate before it begins a step. A gate that has prepared a change holds the step of
 * the change until it knows the decision; since ranks run in lock-step, no rank gets past that step
 * until all gates know it. A gate that has just started holds every step until a driver, which has
 * the state of every gate of the group by then, sends it a decision.
 */
import {
  ChangeState,
  EffectKind,
  EventKind,
  MessageKind,
  ServiceName,
  type Effect,
  type Event,
  type ExpertMap,
  type MapChange,
  type MapDecideMessage,
  type MapPrepareMessage,
  type MapQueryMessage,
  type Message,
  type RankAskedEvent,
  type RankGateApi,
  type Registration,
  type ReplyToDriver,
} from '@ebonysill/core';
import { send } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';
import { addCounts, type ExpertCounts } from './map-load.js';

/** Whether a step must wait, given the state of the gate and its pending change. */
export type HoldRule = (state: ChangeState, change: MapChange | undefined, step: number) => boolean;

/** Holds the step of a change until its decision is known. */
export const holdUndecided: HoldRule = (state, change, step) =>
  state === ChangeState.Prepared && change !== undefined && step >= change.atStep;

/** Options of the gate. */
export interface RankGateOptions {
  readonly mustHold: HoldRule;
  /** Whether a started gate waits for a decision; false only in variants known to be unsafe. */
  readonly waitsAfterRestart: boolean;
}

interface Preparation {
  readonly fence: number;
  readonly change: MapChange;
  readonly reply: ReplyToDriver;
}

/** State of one gate. */
class RankGateService {
  #promisedFence = 0;

  #isRecovering: boolean;

  #state = ChangeState.None;

  #change: MapChange | undefined;

  #preparation: Preparation | undefined;

  #current: ExpertMap | undefined;

  #lastStep = -1;

  #waitingStep: number | undefined;

  #counts: ExpertCounts | undefined;

  private constructor(private readonly options: RankGateOptions) {
    this.#isRecovering = options.waitsAfterRestart;
  }

  static create(options: RankGateOptions): RankGateService {
    return new RankGateService(options);
  }

  readonly api: RankGateApi = {
    promisedFence: () => this.#promisedFence,
    isHeld: () => this.#isHeld(),
    receive: (message, reply) => this.#receive(message, reply),
    takeCounts: () => {
      const counts = this.#counts;
      this.#counts = undefined;
      return counts;
    },
    current: () => this.#current,
  };

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.RankAsked:
        return this.#onRankAsked(event);
      case EventKind.RankLoaded:
        return this.#onLoaded(event.mapId);
      case EventKind.LinkMessage:
        return this.#receive(event.message, (answer) => [send(event.linkId, answer)]);
      default:
        return [];
    }
  }

  #onRankAsked({ step, isWaiting, current, counts }: RankAskedEvent): readonly Effect[] {
    this.#current = current;
    this.#counts = addCounts(this.#counts, counts);
    this.#lastStep = isWaiting ? step - 1 : step;
    this.#waitingStep = isWaiting ? step : undefined;
    return this.#beginWaitingStep();
  }

  #isHeld(): boolean {
    return (
      this.#waitingStep !== undefined &&
      (this.#isRecovering || this.options.mustHold(this.#state, this.#change, this.#waitingStep))
    );
  }

  #beginWaitingStep(): readonly Effect[] {
    const step = this.#waitingStep;
    if (step === undefined || this.#current === undefined || this.#isHeld()) {
      return [];
    }
    const change = this.#state === ChangeState.Committed ? this.#change : undefined;
    const map = change !== undefined && step >= change.atStep ? change.map : this.#current;
    if (map !== this.#current) {
      this.#clearChange();
    }
    this.#current = map;
    this.#lastStep = step;
    this.#waitingStep = undefined;
    return [{ kind: EffectKind.AnswerRank, step, map }];
  }

  #receive(message: Message, reply: ReplyToDriver): readonly Effect[] {
    switch (message.kind) {
      case MessageKind.MapQuery:
        return this.#onQuery(message, reply);
      case MessageKind.MapPrepare:
        return this.#onPrepare(message, reply);
      case MessageKind.MapDecide:
        return this.#onDecide(message, reply);
      default:
        return [];
    }
  }

  /** Promises to refuse lower fencing numbers, and answers with the current state. */
  #onQuery({ fence }: MapQueryMessage, reply: ReplyToDriver): readonly Effect[] {
    if (fence <= this.#promisedFence) {
      return this.#refuse(fence, reply);
    }
    if (this.#current === undefined) {
      return [];
    }
    this.#promisedFence = fence;
    this.#preparation = undefined;
    const gate = {
      state: this.#state,
      change: this.#change,
      current: this.#current,
      lastStep: this.#lastStep,
    };
    return reply({ kind: MessageKind.MapState, fence, gate });
  }

  #onPrepare({ fence, change }: MapPrepareMessage, reply: ReplyToDriver): readonly Effect[] {
    if (fence !== this.#promisedFence || this.#lastStep >= change.atStep) {
      return this.#refuse(fence, reply);
    }
    this.#preparation = { fence, change, reply };
    return [{ kind: EffectKind.LoadMap, map: change.map }];
  }

  #onLoaded(mapId: number): readonly Effect[] {
    const preparation = this.#preparation;
    if (preparation?.change.map.mapId !== mapId) {
      return [];
    }
    const { fence, change, reply } = preparation;
    this.#preparation = undefined;
    if (fence !== this.#promisedFence || this.#lastStep >= change.atStep) {
      return this.#refuse(fence, reply);
    }
    this.#state = ChangeState.Prepared;
    this.#change = change;
    return reply({ kind: MessageKind.MapPrepared, fence });
  }

  #onDecide({ fence, change }: MapDecideMessage, reply: ReplyToDriver): readonly Effect[] {
    if (fence !== this.#promisedFence) {
      return this.#refuse(fence, reply);
    }
    this.#isRecovering = false;
    this.#clearChange();
    if (change !== undefined && this.#lastStep < change.atStep) {
      this.#state = ChangeState.Committed;
      this.#change = change;
    }
    return [...reply({ kind: MessageKind.MapDecided, fence }), ...this.#beginWaitingStep()];
  }

  #clearChange(): void {
    this.#state = ChangeState.None;
    this.#change = undefined;
    this.#preparation = undefined;
  }

  #refuse(fence: number, reply: ReplyToDriver): readonly Effect[] {
    return reply({ kind: MessageKind.MapRefused, fence, promisedFence: this.#promisedFence });
  }
}

/**
 * Registers the gate of a rank.
 *
 * @example
 * rankGateRegistration({ mustHold: holdUndecided, waitsAfterRestart: true });
 */
export const rankGateRegistration = (
  options: RankGateOptions,
): Registration<ServiceName.RankGate> => ({
  name: ServiceName.RankGate,
  requires: [],
  create: () => {
    const service = RankGateService.create(options);
    return createInstance(service.api, { handle: (event) => service.handle(event) });
  },
});

/** @module The services of one gateway on virtual time, with ports to the models around it. */
import type { ScheduledAction, VirtualTime } from '@ebonysill/emulator';
import {
  CallStage,
  EffectKind,
  EventKind,
  NO_NOTICE,
  PeerRole,
  StoreFailure,
  StoreReadKind,
  TargetReachability,
  createGatewayServices,
  type Directory,
  type Effect,
  type Event,
  type GatewayOptions,
  type ReadStoreEffect,
  type SendToPeerEffect,
  type SetTimerEffect,
  type StartCallEffect,
  type StoreItem,
  type TargetHead,
} from '@ebonysill/gateway';
import { Kernel } from '@ebonysill/kernel';
import { zoneOf } from './deployment.js';
import { Submission, type EngineGroup, type Job } from './EngineGroup.js';

/** Delay between a gateway and a caller, a target or the store. */
export const HOP_MS = 0.5;

/** A watch of the store is answered after this time, so that it reports changes soon. */
const WATCH_MS = 250;

/** One rank of a group. */
export interface RankAddress {
  readonly group: EngineGroup;
  readonly index: number;
}

/** The world around a gateway. */
export interface GatewayWorld {
  readonly time: VirtualTime;
  readonly random: () => number;
  readonly rankAt: (address: string) => RankAddress | undefined;
  readonly storeRevision: () => number;
  /** Items of the store that changed after a revision; undefined when it can't be reached. */
  readonly itemsAfter: (revision: number) => readonly StoreItem[] | undefined;
  readonly sendToPeer: (effect: SendToPeerEffect) => void;
  /** Performs what a gateway does for its callers. */
  readonly answerCaller: (effect: Effect) => void;
  /** A target begins to run the request with this body. */
  readonly onRun: (body: Uint8Array) => void;
}

/** Number, peers and decisions of a gateway. */
export interface SimulatedGatewayOptions {
  readonly index: number;
  readonly addresses: readonly string[];
  readonly decisions: Partial<GatewayOptions>;
  readonly world: GatewayWorld;
}

const headOf = (changes: Partial<TargetHead>): TargetHead => ({
  ...{ status: 200, isNotRun: false, isSigned: true, isEventStream: false },
  ...{ endsWithConnection: false, notice: NO_NOTICE, headers: [] },
  ...changes,
});

/** Performs the effects of the services; can be stopped and started again without its state. */
export default class SimulatedGateway {
  #kernel: Kernel<Directory, Event, Effect> | undefined;

  readonly #timers = new Map<string, ScheduledAction>();

  /** Functions that cancel the calls in progress, by the identifier of the call. */
  readonly #cancellations = new Map<number, () => void>();

  private constructor(private readonly options: SimulatedGatewayOptions) {}

  /**
   * Creates a gateway and starts it.
   *
   * @example
   * SimulatedGateway.create({ index: 0, addresses: ['gateway-0'], decisions: {}, world }).isUp;
   */
  static create(options: SimulatedGatewayOptions): SimulatedGateway {
    const gateway = new SimulatedGateway(options);
    gateway.start();
    return gateway;
  }

  get isUp(): boolean {
    return this.#kernel !== undefined;
  }

  /** Handles an event, unless the process is down. */
  post(event: Event): void {
    this.#kernel?.post(event);
  }

  /** Starts the process with empty state. */
  start(): void {
    const { index, addresses, decisions, world } = this.options;
    const nowMs = (): number => world.time.nowMs;
    const address = addresses[index] ?? '';
    const kernel = Kernel.create<Directory, Event, Effect>({
      services: createGatewayServices({
        runtime: { nowMs, suspendAwareMs: nowMs, random: world.random },
        self: {
          ...{ name: address, role: PeerRole.Gateway, address },
          availabilityZone: zoneOf(index),
        },
        seeds: addresses.filter((other) => other !== address).slice(0, 3),
        retryBudget: { ratio: 0.2, windowMs: 10_000, extraCount: 120 },
        graceMs: 8_000,
        drainTimeoutMs: 2_000,
        heartbeatIntervalMs: 1_200,
        answerMemoryBytes: 29_000_000,
        ...decisions,
      }),
      nowMs,
      perform: (effect) => this.#perform(effect),
      onDrained: () => undefined,
      onFatalError: (error) => {
        throw error;
      },
    });
    this.#kernel = kernel;
    kernel.start();
  }

  /** Ends the process at once; its calls end too. */
  stop(): void {
    this.#kernel = undefined;
    this.#timers.clear();
    [...this.#cancellations.keys()].forEach((callId) => this.#cancel(callId));
  }

  /** Handles an event after a delay, unless the process has ended by then. */
  #later(delayMs: number, eventOf: () => Event): void {
    const kernel = this.#kernel;
    this.options.world.time.schedule(delayMs, () => {
      if (kernel === this.#kernel) {
        kernel?.post(eventOf());
      }
    });
  }

  #perform(effect: Effect): void {
    const { world } = this.options;
    switch (effect.kind) {
      case EffectKind.SetTimer:
        this.#setTimer(effect);
        break;
      case EffectKind.ClearTimer:
        this.#timers.delete(`${effect.timer}/${effect.key}`);
        break;
      case EffectKind.StartCall:
        world.time.schedule(HOP_MS, () => this.#submit(effect));
        break;
      case EffectKind.CancelCall:
        world.time.schedule(HOP_MS, () => this.#cancel(effect.callId));
        break;
      case EffectKind.CheckTarget:
        this.#later(HOP_MS, () => ({
          ...{ kind: EventKind.TargetChecked, instanceId: effect.instanceId },
          reachability: TargetReachability.Listening,
        }));
        break;
      case EffectKind.ReadStore:
        this.#readStore(effect);
        break;
      case EffectKind.SendToPeer:
        world.sendToPeer(effect);
        break;
      default:
        world.answerCaller(effect);
    }
  }

  /** Fires the timer unless it is set again or cleared before. */
  #setTimer({ timer, key, delayMs }: SetTimerEffect): void {
    const name = `${timer}/${key}`;
    const scheduled = this.options.world.time.schedule(delayMs, () => {
      if (this.#timers.get(name) === scheduled) {
        this.post({ kind: EventKind.TimerFired, timer, key });
      }
    });
    this.#timers.set(name, scheduled);
  }

  #readStore({ read, afterRevision }: ReadStoreEffect): void {
    const { itemsAfter, storeRevision } = this.options.world;
    this.#later(read === StoreReadKind.Page ? HOP_MS : WATCH_MS, () => {
      const items = itemsAfter(afterRevision);
      return items === undefined
        ? { kind: EventKind.StoreFailed, read, failure: StoreFailure.Unreachable, detail: 'down' }
        : { kind: EventKind.StoreRead, read, items, revision: storeRevision() };
    });
  }

  #submit({ callId, call }: StartCallEffect): void {
    const { rankAt, onRun } = this.options.world;
    const rank = rankAt(call.address);
    if (!this.isUp || rank === undefined) {
      const failure = { callId, stage: CallStage.NotSent, detail: 'down' };
      this.#later(HOP_MS, () => ({ kind: EventKind.TargetCallFailed, ...failure }));
      return;
    }
    const { promptTokens, eventCount } = JSON.parse(Buffer.from(call.body).toString()) as Job;
    const isEventStream = promptTokens > 0;
    const load = (): TargetHead['load'] & object => rank.group.loadOf(rank.index);
    const job: Job = {
      ...{ promptTokens, eventCount, priority: call.priority ?? 5 },
      onStart: () => onRun(call.body),
      onEvent: (event) => {
        if (event === (isEventStream ? 1 : eventCount)) {
          const head = headOf({ isEventStream, load: load() });
          this.#later(HOP_MS, () => ({ kind: EventKind.TargetHeadReceived, callId, head }));
        }
        if (isEventStream || event === eventCount) {
          const data = Buffer.from(`id: ${event}\ndata: x\n\n`);
          this.#later(HOP_MS, () => ({ kind: EventKind.TargetDataReceived, callId, data }));
        }
      },
      onEnd: () => {
        this.#cancellations.delete(callId);
        this.#later(HOP_MS, () => ({ kind: EventKind.TargetAnswerEnded, callId }));
      },
    };
    this.#cancellations.set(callId, () => rank.group.cancel(rank.index, job));
    if (rank.group.submit(rank.index, job) === Submission.Rejected) {
      this.#cancellations.delete(callId);
      const head = headOf({ status: 503, isNotRun: true, load: load() });
      this.#later(HOP_MS, () => ({ kind: EventKind.TargetHeadReceived, callId, head }));
      this.#later(HOP_MS, () => ({ kind: EventKind.TargetAnswerEnded, callId }));
    }
  }

  #cancel(callId: number): void {
    this.#cancellations.get(callId)?.();
    this.#cancellations.delete(callId);
  }
}

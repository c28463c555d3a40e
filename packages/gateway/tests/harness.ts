/** @module One gateway on virtual time that records its effects. */
import { Kernel } from '@ebonysill/kernel';
import {
  CallKind,
  EffectKind,
  EventKind,
  ItemKind,
  ItemScope,
  NO_NOTICE,
  PeerMessageKind,
  PeerRole,
  ServiceName,
  StoreReadKind,
  TargetPhase,
  createGatewayServices,
  type CallerRequest,
  type Directory,
  type Effect,
  type Event,
  type GatewayOptions,
  type PublishedConfiguration,
  type PublishedTarget,
  type Route,
  type SetTimerEffect,
  type StartStateMessage,
  type StoreItem,
  type TargetHead,
} from '../src/index.js';

/** Builds a route; `changes` replace the defaults. */
export const routeOf = (changes: Partial<Route> = {}): Route => ({
  name: 'r-1',
  host: 'app.example',
  pathPrefix: '/a/',
  kind: CallKind.Idempotent,
  services: [{ service: 'plain', weight: 1 }],
  timeoutMs: 2_000,
  objectiveMs: 300,
  maxPauseMs: 0,
  maxAttempts: 2,
  priority: 1,
  isPublic: false,
  isResumable: false,
  ...changes,
});

/** Builds a configuration with one service and one organisation. */
export const configurationOf = (
  version: number,
  routes: readonly Route[],
  credentials: readonly string[] = ['key-1'],
): PublishedConfiguration => ({
  version,
  routes,
  services: [{ name: 'plain', healthPath: '/health', coldPerSecond: 0 }],
  needsCredentials: true,
  organisations: [{ name: 'org-1', credentials }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
});

/** Builds a target; `changes` replace the defaults. */
export const targetOf = (
  instanceId: string,
  changes: Partial<PublishedTarget> = {},
): PublishedTarget => ({
  instanceId,
  service: 'plain',
  address: '10.0.0.1:80',
  availabilityZone: 'zone-a',
  slots: 100,
  phase: TargetPhase.Available,
  coldRemainingMs: 0,
  ...changes,
});

/** Builds a request; `changes` replace the defaults. */
export const requestOf = (changes: Partial<CallerRequest> = {}): CallerRequest => ({
  attemptId: 'attempt-1',
  host: 'app.example',
  method: 'GET',
  path: '/a/x',
  credential: 'key-1',
  remainingMs: 3_000,
  promptTokens: 0,
  promptSegments: [],
  headers: [],
  body: Buffer.alloc(0),
  ...changes,
});

/** Builds the head of an answer; `changes` replace the defaults. */
export const headOf = (changes: Partial<TargetHead> = {}): TargetHead => ({
  status: 200,
  isNotRun: false,
  isSigned: true,
  isEventStream: false,
  endsWithConnection: false,
  notice: NO_NOTICE,
  headers: [],
  ...changes,
});

/** Builds the store item that publishes a target. */
export const targetItem = (target: PublishedTarget): StoreItem => ({
  kind: ItemKind.Target,
  scope: ItemScope.Target,
  target,
});

/** Builds the store item that publishes a configuration. */
export const configurationItem = (configuration: PublishedConfiguration): StoreItem => ({
  kind: ItemKind.Configuration,
  scope: ItemScope.Configuration,
  configuration,
});

interface PendingTimer {
  readonly effect: SetTimerEffect;
  readonly dueAtMs: number;
}

/** Something that happens at a time. */
interface DueStep {
  readonly dueAtMs: number;
  readonly run: () => void;
}

/** Runs one gateway; tests post its events and advance its clock. */
export class Harness {
  nowMs: number;

  /** Lead of the clock that counts suspended time over `nowMs`. */
  suspendedMs = 0;

  readonly effects: Effect[] = [];

  readonly #timers = new Map<string, PendingTimer>();

  /** When the store answers the watch in progress without changes; undefined without a watch. */
  #watchDueAtMs: number | undefined;

  readonly kernel: Kernel<Directory, Event, Effect>;

  #revision = 1;

  #exchangeId = 0;

  private constructor(options: Partial<GatewayOptions>, nowMs: number) {
    this.nowMs = nowMs;
    this.kernel = Kernel.create<Directory, Event, Effect>({
      services: createGatewayServices({
        runtime: {
          nowMs: () => this.nowMs,
          suspendAwareMs: () => this.nowMs + this.suspendedMs,
          random: () => 0.5,
        },
        self: {
          name: 'gateway-1',
          role: PeerRole.Gateway,
          address: '10.0.0.9:7000',
          availabilityZone: 'zone-a',
        },
        seeds: [],
        retryBudget: { ratio: 0.2, windowMs: 10_000, extraCount: 120 },
        graceMs: 8_000,
        drainTimeoutMs: 2_000,
        heartbeatIntervalMs: 1_200,
        answerMemoryBytes: 29_000_000,
        ...options,
      }),
      nowMs: () => this.nowMs,
      perform: (effect) => this.#perform(effect),
      onDrained: () => undefined,
      onFatalError: (error) => {
        throw error;
      },
    });
    this.kernel.start();
  }

  /**
   * Starts a gateway that has received nothing yet; `options` replace the defaults.
   *
   * @example
   * const harness = Harness.start({ seeds: ['10.0.0.2:7000'] });
   */
  static start(options: Partial<GatewayOptions> = {}, nowMs = 0): Harness {
    return new Harness(options, nowMs);
  }

  /**
   * Creates a gateway that a peer has answered and whose store held these items; `options` replace
   * the defaults.
   *
   * @example
   * const harness = Harness.create([targetItem(targetOf('t-1'))]);
   */
  static create(items: readonly StoreItem[], options: Partial<GatewayOptions> = {}): Harness {
    const harness = Harness.start(options);
    harness.answerStart();
    harness.read(StoreReadKind.Page, items);
    return harness;
  }

  /** Posts the answer of a peer to the question of a gateway that starts. */
  answerStart(changes: Partial<StartStateMessage> = {}, address = '10.0.0.7:7000'): void {
    this.kernel.post({
      kind: EventKind.PeerMessageReceived,
      address,
      message: {
        kind: PeerMessageKind.StartState,
        isStarting: false,
        version: 0,
        spentRetries: [],
        coldStarts: [],
        ...changes,
      },
    });
  }

  /** Posts an answer of the store with the next revision. */
  read(read: StoreReadKind, items: readonly StoreItem[]): void {
    this.#revision += 1;
    this.#watchDueAtMs = undefined;
    this.kernel.post({ kind: EventKind.StoreRead, read, items, revision: this.#revision });
  }

  /** Receives a request; returns the resulting effects. */
  request(changes: Partial<CallerRequest> = {}): readonly Effect[] {
    this.#exchangeId += 1;
    return this.post({
      kind: EventKind.RequestReceived,
      exchangeId: this.#exchangeId,
      request: requestOf(changes),
    });
  }

  /** Disconnects all callers. */
  disconnectCallers(): void {
    for (let exchangeId = 1; exchangeId <= this.#exchangeId; exchangeId += 1) {
      this.kernel.post({ kind: EventKind.CallerDisconnected, exchangeId });
    }
  }

  /** Performs effects that a service returned to its caller. */
  perform(effects: readonly Effect[]): void {
    effects.forEach((effect) => this.#perform(effect));
  }

  /** Posts an event; returns the resulting effects. */
  post(event: Event): readonly Effect[] {
    const before = this.effects.length;
    this.kernel.post(event);
    return this.effects.slice(before);
  }

  /**
   * Advances the clock; due timers fire in order, and a store that is up answers watches when they
   * are due and once more at the end.
   */
  advance(spanMs: number, isStoreUp = true): readonly Effect[] {
    const before = this.effects.length;
    const endMs = this.nowMs + spanMs;
    let next = this.#nextDue(endMs, isStoreUp);
    while (next !== undefined) {
      this.nowMs = Math.max(this.nowMs, next.dueAtMs);
      next.run();
      next = this.#nextDue(endMs, isStoreUp);
    }
    this.nowMs = endMs;
    if (isStoreUp) {
      this.read(StoreReadKind.Watch, []);
    }
    return this.effects.slice(before);
  }

  /** Identifiers of the targets called so far, in order. */
  calledIds(): readonly string[] {
    return this.effects.flatMap((effect) =>
      effect.kind === EffectKind.StartCall ? [effect.call.instanceId] : [],
    );
  }

  /** Number of the last call. */
  lastCallId(): number {
    const ids = this.effects.flatMap((effect) =>
      effect.kind === EffectKind.StartCall ? [effect.callId] : [],
    );
    return ids.at(-1) ?? 0;
  }

  /** Statuses of the complete answers so far, in order. */
  statuses(): readonly number[] {
    return this.effects.flatMap((effect) =>
      effect.kind === EffectKind.SendAnswer ? [effect.status] : [],
    );
  }

  /** Whether the process is ready for new connections. */
  isReady(): boolean {
    return this.kernel.find(ServiceName.Lifecycle).isReady();
  }

  #nextDue(endMs: number, isStoreUp: boolean): DueStep | undefined {
    const timers = [...this.#timers.values()].map(({ effect, dueAtMs }) => ({
      dueAtMs,
      run: () => this.#fire(effect),
    }));
    const watches =
      isStoreUp && this.#watchDueAtMs !== undefined
        ? [{ dueAtMs: this.#watchDueAtMs, run: () => this.read(StoreReadKind.Watch, []) }]
        : [];
    return [...timers, ...watches]
      .filter(({ dueAtMs }) => dueAtMs <= endMs)
      .sort((left, right) => left.dueAtMs - right.dueAtMs)[0];
  }

  #fire({ timer, key }: SetTimerEffect): void {
    this.#timers.delete(`${timer}/${key}`);
    this.kernel.post({ kind: EventKind.TimerFired, timer, key });
  }

  #perform(effect: Effect): void {
    this.effects.push(effect);
    if (effect.kind === EffectKind.SetTimer) {
      const dueAtMs = this.nowMs + effect.delayMs;
      this.#timers.set(`${effect.timer}/${effect.key}`, { effect, dueAtMs });
    }
    if (effect.kind === EffectKind.ReadStore) {
      this.#watchDueAtMs =
        effect.read === StoreReadKind.Watch ? this.nowMs + effect.waitMs : undefined;
    }
    if (effect.kind === EffectKind.ClearTimer) {
      this.#timers.delete(`${effect.timer}/${effect.key}`);
    }
  }
}

/** @module A fake target that runs calls on virtual time and reports each run. */
import { EventKind, TargetErrorStage, type CallTargetEffect, type Event } from '@ebonysill/core';
import { chunkOf } from './expected-answer.js';
import type { VirtualTime } from './virtual-time.js';

/** How a fake target behaves. */
export interface FakeTargetOptions {
  readonly targetId: string;
  readonly time: VirtualTime;
  /** Time between the arrival of a call and its run. */
  readonly holdMs: number;
  readonly chunkCount: number;
  readonly chunkIntervalMs: number;
  /**
   * Idempotency keys already run, shared by the targets of a service; undefined disables the check.
   */
  readonly executedKeys: Set<string> | undefined;
  /** Time after a start during which the target is cold; a crash caused by a call lasts as long. */
  readonly coldMs: number;
  /** Calls that may be in progress while the target is cold; one more crashes it. */
  readonly coldConcurrency: number;
  /** Delay until health reports show the end of a cold phase; its start shows at once. */
  readonly healthLagMs: number;
  /** Called when a call runs; not for a repeated idempotency key. */
  readonly onRan: (target: FakeTarget, body: string) => void;
}

/** A request body with this prefix crashes the target that runs it. */
export const POISON_PREFIX = 'poison';

/** Time until a target notices that a call was cancelled. */
const ABORT_DELAY_MS = 50;

/** One-way latency between the sidecar and the target. */
const SIDECAR_LATENCY_MS = 0.1;

const STATUS_OK = 200;

interface FakeCall {
  readonly effect: CallTargetEffect;
  readonly post: (event: Event) => void;
  /** Crash count of the target when the call arrived; a call of an earlier epoch does not run. */
  readonly epoch: number;
}

/** Runs the calls that its sidecar sends. */
export class FakeTarget {
  readonly targetId: string;

  readonly #calls = new Map<string, FakeCall>();

  readonly #pausedStreams = new Map<string, () => void>();

  readonly #pausedCallIds = new Set<string>();

  #isUp = true;

  #epoch = 0;

  #coldUntilMs: number;

  crashCount = 0;

  /** Highest number of calls in progress while the target was cold. */
  maxColdCount = 0;

  private constructor(private readonly options: FakeTargetOptions) {
    this.targetId = options.targetId;
    this.#coldUntilMs = options.time.nowMs + options.coldMs;
  }

  /**
   * Creates a target that is up.
   *
   * @example
   * const target = FakeTarget.create(options);
   */
  static create(options: FakeTargetOptions): FakeTarget {
    return new FakeTarget(options);
  }

  /** Calls in progress. */
  get callCount(): number {
    return this.#calls.size;
  }

  /** Starts a call from the sidecar; the answer is posted as events. */
  call(effect: CallTargetEffect, post: (event: Event) => void): void {
    this.options.time.schedule(SIDECAR_LATENCY_MS, () => this.#receive(effect, post));
  }

  /** Stops the answer of a call; a call that has not run yet still runs. */
  abort(callId: string): void {
    this.options.time.schedule(ABORT_DELAY_MS, () => this.#calls.delete(callId));
  }

  /** Pauses the answer of a call before its next chunk. */
  pause(callId: string): void {
    this.#pausedCallIds.add(callId);
  }

  /** Continues a paused answer. */
  resume(callId: string): void {
    this.#pausedCallIds.delete(callId);
    const next = this.#pausedStreams.get(callId);
    this.#pausedStreams.delete(callId);
    next?.();
  }

  /** Posts a health report; only the end of a cold phase is delayed by `healthLagMs`. */
  readHealth(post: (event: Event) => void): void {
    const isUp = this.#isUp;
    const isCold = this.#isCold(this.options.healthLagMs);
    this.options.time.schedule(2 * SIDECAR_LATENCY_MS, () =>
      post({ kind: EventKind.TargetHealth, isUp, isCold }),
    );
  }

  /** Takes the target down; calls in progress fail. */
  crash(): void {
    this.crashCount += 1;
    this.#isUp = false;
    this.#epoch += 1;
    const calls = [...this.#calls.values()];
    this.#calls.clear();
    calls.forEach(({ effect, post }) =>
      this.#fail(effect.callId, TargetErrorStage.AfterWrite, post),
    );
  }

  /** Starts the target again, cold. */
  restart(): void {
    this.#isUp = true;
    this.#coldUntilMs = this.options.time.nowMs + this.options.coldMs;
  }

  /** Makes the target cold without a crash; nothing but its health report shows it. */
  turnCold(): void {
    this.#coldUntilMs = this.options.time.nowMs + this.options.coldMs;
  }

  #isCold(lagMs: number): boolean {
    return this.options.time.nowMs - lagMs < this.#coldUntilMs;
  }

  #receive(effect: CallTargetEffect, post: (event: Event) => void): void {
    if (!this.#isUp) {
      this.#fail(effect.callId, TargetErrorStage.BeforeWrite, post);
      return;
    }
    const call = { effect, post, epoch: this.#epoch };
    this.#calls.set(effect.callId, call);
    this.#checkColdLimit();
    this.options.time.schedule(this.options.holdMs, () => this.#run(call));
  }

  #checkColdLimit(): void {
    if (!this.#isCold(0)) {
      return;
    }
    this.maxColdCount = Math.max(this.maxColdCount, this.#calls.size);
    if (this.#calls.size > this.options.coldConcurrency) {
      this.crash();
      this.options.time.schedule(this.options.coldMs, () => this.restart());
    }
  }

  #run(call: FakeCall): void {
    const { request, idempotencyKey, deliveredCount } = call.effect;
    if (call.epoch !== this.#epoch) {
      return;
    }
    if (!this.#isDuplicate(idempotencyKey)) {
      this.options.onRan(this, request.body);
    }
    if (request.body.startsWith(POISON_PREFIX)) {
      this.crash();
      this.options.time.schedule(this.options.coldMs, () => this.restart());
      return;
    }
    const { callId } = call.effect;
    this.#post(call, { kind: EventKind.TargetHead, callId, status: STATUS_OK, contentType: '' });
    this.#stream(call, deliveredCount);
  }

  /** Whether a call with this key ran before; otherwise records the key. */
  #isDuplicate(key: string | undefined): boolean {
    const { executedKeys } = this.options;
    if (executedKeys === undefined || key === undefined) {
      return false;
    }
    if (executedKeys.has(key)) {
      return true;
    }
    executedKeys.add(key);
    return false;
  }

  #stream(call: FakeCall, sequence: number): void {
    const { callId, request } = call.effect;
    if (this.#calls.get(callId) !== call) {
      return;
    }
    if (this.#pausedCallIds.has(callId)) {
      this.#pausedStreams.set(callId, () => this.#stream(call, sequence));
      return;
    }
    if (sequence >= this.options.chunkCount) {
      this.#calls.delete(callId);
      this.#post(call, { kind: EventKind.TargetEnd, callId });
      return;
    }
    const data = chunkOf(request.body, sequence);
    this.#post(call, { kind: EventKind.TargetChunk, callId, data });
    const { time, chunkIntervalMs } = this.options;
    time.schedule(chunkIntervalMs, () => this.#stream(call, sequence + 1));
  }

  #post({ post }: FakeCall, event: Event): void {
    this.options.time.schedule(SIDECAR_LATENCY_MS, () => post(event));
  }

  #fail(callId: string, stage: TargetErrorStage, post: (event: Event) => void): void {
    this.options.time.schedule(SIDECAR_LATENCY_MS, () =>
      post({ kind: EventKind.TargetError, callId, stage, detail: 'connection reset' }),
    );
  }
}

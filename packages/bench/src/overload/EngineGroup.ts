/**
 * @module A small model of a group of engine ranks, which execute each forward pass together.
 *
 * Memory is not modelled: at the published sizes no request is preempted.
 */
import type { VirtualTime } from '@ebonysill/emulator';
import type { TargetLoad } from '@ebonysill/gateway';

/** Prompt tokens that a rank reads in one step at most. */
const CHUNK_TOKENS = 512;

/** Speeds and sizes of a group. */
export interface GroupProfile {
  readonly rankCount: number;
  /** Requests that a rank runs at once. */
  readonly slots: number;
  /** Requests that wait at a rank for a slot; more are rejected. */
  readonly queueSlots: number;
  readonly stepsPerPass: number;
  readonly stepMs: number;
  readonly perSequenceMs: number;
  readonly readTokensPerMs: number;
}

/** Whether a rank takes a request. */
export enum Submission {
  Accepted = 'accepted',
  /** The rank is full; the request has not run and never will. */
  Rejected = 'rejected',
}

/** A request at a rank. */
export interface Job {
  readonly promptTokens: number;
  readonly eventCount: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Called when the request leaves the queue of the rank and runs. */
  readonly onStart: () => void;
  /** Called at the end of each pass with an event of the request; the first has the number 1. */
  readonly onEvent: (index: number) => void;
  readonly onEnd: () => void;
}

interface RunningJob {
  readonly job: Job;
  unreadTokens: number;
  sentCount: number;
}

interface Rank {
  running: RunningJob[];
  queued: Job[];
}

/** Ranks that wait for the slowest of them in each step. */
export class EngineGroup {
  readonly #ranks: readonly Rank[];

  #isStepping = false;

  #stepCount = 0;

  private constructor(
    private readonly time: VirtualTime,
    private readonly profile: GroupProfile,
  ) {
    this.#ranks = Array.from({ length: profile.rankCount }, () => ({ running: [], queued: [] }));
  }

  /**
   * Creates a group without requests.
   *
   * @example
   * EngineGroup.create(time, profile).submit(0, job);
   */
  static create(time: VirtualTime, profile: GroupProfile): EngineGroup {
    return new EngineGroup(time, profile);
  }

  /** Load of a rank, as it reports it in its answers. */
  loadOf(index: number): TargetLoad {
    const { running, queued } = this.#rankOf(index);
    const { slots } = this.profile;
    return { runningCount: running.length, waitingCount: queued.length, slots };
  }

  /** Queues a request at a rank by its priority; the newest is rejected when the rank is full. */
  submit(index: number, job: Job): Submission {
    const { running, queued } = this.#rankOf(index);
    const { slots, queueSlots } = this.profile;
    if (running.length + queued.length >= slots + queueSlots) {
      return Submission.Rejected;
    }
    const position = queued.findIndex(({ priority }) => priority > job.priority);
    queued.splice(position < 0 ? queued.length : position, 0, job);
    if (!this.#isStepping) {
      this.#step();
    }
    return Submission.Accepted;
  }

  /** Removes a request whose connection was closed. */
  cancel(index: number, job: Job): void {
    const rank = this.#rankOf(index);
    rank.queued = rank.queued.filter((queued) => queued !== job);
    rank.running = rank.running.filter((running) => running.job !== job);
  }

  #rankOf(index: number): Rank {
    return this.#ranks[index] ?? { running: [], queued: [] };
  }

  /** Begins a step; a group without requests makes none. */
  #step(): void {
    this.#ranks.forEach((rank) => this.#fillSlots(rank));
    this.#isStepping = this.#ranks.some(({ running }) => running.length > 0);
    if (!this.#isStepping) {
      return;
    }
    const stepMs = Math.max(...this.#ranks.map(({ running }) => this.#read(running)));
    this.time.schedule(stepMs, () => {
      this.#stepCount += 1;
      if (this.#stepCount % this.profile.stepsPerPass === 0) {
        this.#ranks.forEach((rank) => EngineGroup.#emit(rank));
      }
      this.#step();
    });
  }

  #fillSlots({ running, queued }: Rank): void {
    queued.splice(0, this.profile.slots - running.length).forEach((job) => {
      running.push({ job, unreadTokens: job.promptTokens, sentCount: 0 });
      job.onStart();
    });
  }

  /** Reads the next piece of a rank's prompts; returns the duration of the rank's step. */
  #read(running: readonly RunningJob[]): number {
    const { stepMs, perSequenceMs, readTokensPerMs } = this.profile;
    let leftTokens = CHUNK_TOKENS;
    running.forEach((current) => {
      const readTokens = Math.min(leftTokens, current.unreadTokens);
      Object.assign(current, { unreadTokens: current.unreadTokens - readTokens });
      leftTokens -= readTokens;
    });
    return stepMs + perSequenceMs * running.length + (CHUNK_TOKENS - leftTokens) / readTokensPerMs;
  }

  /** Ends a pass: each request whose prompt was read has an event. */
  static #emit(rank: Rank): void {
    const emitting = rank.running.filter(({ unreadTokens }) => unreadTokens === 0);
    emitting.forEach((current) => {
      Object.assign(current, { sentCount: current.sentCount + 1 });
      current.job.onEvent(current.sentCount);
    });
    const ended = emitting.filter(({ job, sentCount }) => sentCount >= job.eventCount);
    Object.assign(rank, { running: rank.running.filter((current) => !ended.includes(current)) });
    ended.forEach(({ job }) => job.onEnd());
  }
}

/** @module Fake ranks that run steps in lockstep; each asks the process beside it before a step. */
import { EffectKind, EventKind, type ExpertMap } from '@ebonysill/core';
import type { EmulatedProcess } from './emulated-process.js';
import type { RankEffect } from './emulation.js';
import type { VirtualTime } from './virtual-time.js';

/** How the fake ranks behave. */
export interface FakeRankGroupOptions {
  readonly time: VirtualTime;
  /** The process beside each rank, in the order of the ranks. */
  readonly processes: readonly EmulatedProcess[];
  readonly initialMap: ExpertMap;
  /** Time that a rank needs to load the weights of a map. */
  readonly loadMs: number;
  /** Tokens routed to each expert in a step, by layer. */
  readonly countsAt: (step: number) => readonly (readonly number[])[];
  /** Duration of a step on a rank that uses this map. */
  readonly stepMs: (rank: number, map: ExpertMap, step: number) => number;
}

interface FakeRank {
  step: number;
  /** Whether the rank waits for an answer before it begins `step`. */
  isWaiting: boolean;
  map: ExpertMap;
  /** Incarnation of the process that received the rank's last state report. */
  reportedStartCount: number;
}

/** Interval at which ranks check whether their process was restarted. */
const RECONNECT_INTERVAL_MS = 50;

/** Runs the ranks of one group. */
export class FakeRankGroup {
  readonly #ranks: readonly FakeRank[];

  #step = 0;

  #mixedStepCount = 0;

  readonly #stepDurationsMs: number[] = [];

  private constructor(private readonly options: FakeRankGroupOptions) {
    this.#ranks = options.processes.map(() => ({
      step: 0,
      isWaiting: true,
      map: options.initialMap,
      reportedStartCount: 0,
    }));
  }

  /**
   * Creates the ranks without starting them.
   *
   * @example
   * const group = FakeRankGroup.create(options);
   * group.start();
   */
  static create(options: FakeRankGroupOptions): FakeRankGroup {
    return new FakeRankGroup(options);
  }

  /** Number of steps that all ranks have begun. */
  get stepCount(): number {
    return this.#step;
  }

  /** Number of steps in which ranks used different maps. */
  get mixedStepCount(): number {
    return this.#mixedStepCount;
  }

  /** Duration of each step that has begun: that of its slowest rank. */
  get stepDurationsMs(): readonly number[] {
    return this.#stepDurationsMs;
  }

  /** Map that the first rank used last; the initial map before the first step. */
  get map(): ExpertMap {
    return this.#ranks[0]?.map ?? this.options.initialMap;
  }

  /**
   * Starts the ranks: they report their state now, and again whenever their process was restarted.
   */
  start(): void {
    this.#ranks.forEach((_, rank) => this.#reportState(rank));
    this.options.time.schedule(RECONNECT_INTERVAL_MS, () => this.#reconnect());
  }

  /** Performs an effect of the process beside a rank. */
  readonly onEffect = (process: EmulatedProcess, effect: RankEffect): void => {
    const rank = this.options.processes.indexOf(process);
    const { startCount } = process;
    if (effect.kind === EffectKind.AnswerRank) {
      this.#onAnswer(rank, startCount, effect.step, effect.map);
      return;
    }
    const { mapId } = effect.map;
    this.options.time.schedule(this.options.loadMs, () => {
      if (process.startCount === startCount) {
        process.post({ kind: EventKind.RankLoaded, mapId });
      }
    });
  };

  /**
   * Accepts an answer only for the awaited step, and only from the incarnation that got the last
   * report.
   */
  #onAnswer(rank: number, startCount: number, step: number, map: ExpertMap): void {
    const state = this.#ranks[rank];
    const isExpected =
      state !== undefined &&
      state.isWaiting &&
      state.step === step &&
      state.reportedStartCount === startCount;
    if (!isExpected) {
      return;
    }
    state.isWaiting = false;
    state.map = map;
    if (this.#ranks.every((other) => !other.isWaiting && other.step === step)) {
      this.#runStep(step);
    }
  }

  #runStep(step: number): void {
    this.#step = step + 1;
    const mapIds = new Set(this.#ranks.map(({ map }) => map.mapId));
    this.#mixedStepCount += mapIds.size > 1 ? 1 : 0;
    const { time, stepMs } = this.options;
    const durationMs = Math.max(...this.#ranks.map(({ map }, rank) => stepMs(rank, map, step)));
    this.#stepDurationsMs.push(durationMs);
    time.schedule(durationMs, () => {
      this.#ranks.forEach((rank, index) => {
        const state = rank;
        state.step = step + 1;
        state.isWaiting = true;
        this.#reportState(index);
      });
    });
  }

  #reportState(rank: number): void {
    const state = this.#ranks[rank];
    const process = this.options.processes[rank];
    if (state === undefined || process === undefined || !process.isAlive) {
      return;
    }
    state.reportedStartCount = process.startCount;
    const { step, isWaiting, map } = state;
    process.post({
      kind: EventKind.RankAsked,
      step,
      isWaiting,
      current: map,
      counts: isWaiting ? this.options.countsAt(step) : [],
    });
  }

  #reconnect(): void {
    this.#ranks.forEach(({ reportedStartCount }, rank) => {
      if (this.options.processes[rank]?.startCount !== reportedStartCount) {
        this.#reportState(rank);
      }
    });
    this.options.time.schedule(RECONNECT_INTERVAL_MS, () => this.#reconnect());
  }
}

/**
 * @module Balances the load of ranks in one layer set.
 *
 * Greedy local search: each step moves an expert of the most loaded rank to another rank, or
 * replicates it there, as long as that lowers the cost. The cost of a candidate step is computed
 * from the loads that it changes.
 */

/** Limits of the placement of a layer set. */
export interface SetBounds {
  readonly placesPerRank: number;
  /** By rank: maximum number of experts that are new to it. */
  readonly maxNewByRank: readonly number[];
}

/** One search step: moves or replicates an expert of the most loaded rank. */
interface Step {
  readonly expert: number;
  readonly to: number;
  /** Whether the most loaded rank keeps its copy. */
  readonly isReplicated: boolean;
  /** Expert that the receiving rank drops to make room. */
  readonly dropped: number | undefined;
  readonly cost: number;
}

/** The best step so far. */
interface BestStep {
  step: Step | undefined;
  cost: number;
}

/** Values of `Step.isReplicated`. */
const REPLICATE_OR_MOVE: readonly boolean[] = [true, false];

/** Limit of search steps; each takes well below a millisecond. */
const MAX_STEPS = 64;

/** Minimum share by which a step must lower the cost; less is not worth copying weights. */
const MIN_STEP_GAIN = 0.004;

/** Eighth power: the highest loads dominate the cost, yet lowering the next ones still pays off. */
const powerOf = (load: number): number => {
  const square = load * load;
  const fourth = square * square;
  return fourth * fourth;
};

/** Undoes the eighth power, so that `MIN_STEP_GAIN` is a share of a load. */
const COST_EXPONENT = 1 / 8;

const costOf = (powerSum: number): number => Math.max(0, powerSum) ** COST_EXPONENT;

/** Searches for a balanced placement of one layer set. */
export default class SetPlanner {
  readonly #ranks: Set<number>[];

  readonly #original: readonly ReadonlySet<number>[];

  /** By expert: the ranks that hold it. */
  readonly #holders: Set<number>[];

  readonly #loads: number[];

  #powerSum = 0;

  /** By rank: number of experts that are new to it. */
  #newCounts: readonly number[] = [];

  /** By rank: its experts that another rank holds too. */
  #replicated: readonly (readonly number[])[] = [];

  private constructor(
    placement: readonly (readonly number[])[],
    private readonly popularity: readonly number[],
    private readonly bounds: SetBounds,
  ) {
    this.#ranks = placement.map((experts) => new Set(experts));
    this.#original = placement.map((experts) => new Set(experts));
    this.#holders = popularity.map(() => new Set<number>());
    this.#ranks.forEach((experts, rank) =>
      experts.forEach((expert) => this.#holders[expert]?.add(rank)),
    );
    this.#loads = this.#ranks.map((experts) =>
      [...experts].reduce((sum, expert) => sum + this.#loadShareOf(expert), 0),
    );
    this.#updateDerivedState();
  }

  /**
   * Creates a planner for a layer set.
   *
   * @example
   * SetPlanner.create(ranks, popularity, { placesPerRank: 11, maxNewByRank: [1, 0] }).plan();
   */
  static create(
    placement: readonly (readonly number[])[],
    popularity: readonly number[],
    bounds: SetBounds,
  ): SetPlanner {
    return new SetPlanner(placement, popularity, bounds);
  }

  /** Runs the search and returns the experts of each rank. */
  plan(): readonly (readonly number[])[] {
    for (let step = 0; step < MAX_STEPS; step += 1) {
      const best = this.#bestStep();
      if (best === undefined || best.cost > costOf(this.#powerSum) * (1 - MIN_STEP_GAIN)) {
        break;
      }
      this.#apply(best);
    }
    return this.#ranks.map((experts) => [...experts].sort((left, right) => left - right));
  }

  #loadShareOf(expert: number): number {
    const holders = this.#holders[expert]?.size ?? 0;
    return (this.popularity[expert] ?? 0) / Math.max(1, holders);
  }

  #mostLoadedRank(): number {
    return this.#loads.indexOf(Math.max(...this.#loads));
  }

  /** Evaluates every step that takes load from the most loaded rank, and returns the cheapest. */
  #bestStep(): Step | undefined {
    const from = this.#mostLoadedRank();
    const found: BestStep = { step: undefined, cost: Number.POSITIVE_INFINITY };
    this.#ranks[from]?.forEach((expert) =>
      this.#ranks.forEach((experts, to) => {
        if (to !== from && !experts.has(expert)) {
          this.#evaluateSteps(found, expert, from, to);
        }
      }),
    );
    return found.step;
  }

  /** Updates `found` if moving or replicating the expert to rank `to` is cheaper. */
  #evaluateSteps(found: BestStep, expert: number, from: number, to: number): void {
    const best = found;
    this.#droppable(expert, to).forEach((dropped) =>
      REPLICATE_OR_MOVE.forEach((isReplicated) => {
        const cost = this.#costAfter(expert, from, to, isReplicated, dropped);
        if (cost < best.cost) {
          best.cost = cost;
          best.step = { expert, to, isReplicated, dropped, cost };
        }
      }),
    );
  }

  /** Experts that the receiving rank may drop; `[undefined]` if it need not drop any. */
  #droppable(expert: number, to: number): readonly (number | undefined)[] {
    const experts = this.#ranks[to] ?? new Set<number>();
    const original = this.#original[to] ?? new Set<number>();
    const isNew = !original.has(expert);
    const hasFreePlace = experts.size < this.bounds.placesPerRank;
    const mayAdd = !isNew || (this.#newCounts[to] ?? 0) < (this.bounds.maxNewByRank[to] ?? 0);
    if (hasFreePlace && mayAdd) {
      return [undefined];
    }
    const replicated = this.#replicated[to] ?? [];
    return mayAdd ? replicated : replicated.filter((candidate) => !original.has(candidate));
  }

  /** Cost of the placement after a step, computed from the loads that the step changes. */
  #costAfter(
    expert: number,
    from: number,
    to: number,
    isReplicated: boolean,
    dropped: number | undefined,
  ): number {
    const changes = new Map<number, number>();
    const add = (rank: number, load: number): void => {
      changes.set(rank, (changes.get(rank) ?? 0) + load);
    };
    this.#addTransferredLoad(add, expert, from, to, isReplicated);
    if (dropped !== undefined) {
      this.#addDroppedLoad(add, dropped, to);
    }
    let powerSum = this.#powerSum;
    changes.forEach((change, rank) => {
      const load = this.#loads[rank] ?? 0;
      powerSum += powerOf(Math.max(0, load + change)) - powerOf(load);
    });
    return costOf(powerSum);
  }

  #addTransferredLoad(
    add: (rank: number, load: number) => void,
    expert: number,
    from: number,
    to: number,
    isReplicated: boolean,
  ): void {
    const share = this.#loadShareOf(expert);
    if (!isReplicated) {
      add(from, -share);
      add(to, share);
      return;
    }
    const holders = this.#holders[expert] ?? new Set<number>();
    const shareAfter = (this.popularity[expert] ?? 0) / (holders.size + 1);
    holders.forEach((rank) => add(rank, shareAfter - share));
    add(to, shareAfter);
  }

  /** A dropped expert's load moves to its other holders. */
  #addDroppedLoad(add: (rank: number, load: number) => void, dropped: number, to: number): void {
    const share = this.#loadShareOf(dropped);
    const holders = this.#holders[dropped] ?? new Set<number>();
    const shareAfter = (this.popularity[dropped] ?? 0) / (holders.size - 1);
    holders.forEach((rank) => add(rank, rank === to ? -share : shareAfter - share));
  }

  #apply({ expert, to, isReplicated, dropped }: Step): void {
    const from = this.#mostLoadedRank();
    if (!isReplicated) {
      this.#remove(expert, from);
    }
    if (dropped !== undefined) {
      this.#remove(dropped, to);
    }
    this.#ranks[to]?.add(expert);
    this.#holders[expert]?.add(to);
    this.#ranks.forEach((experts, rank) => {
      this.#loads[rank] = [...experts].reduce((sum, held) => sum + this.#loadShareOf(held), 0);
    });
    this.#updateDerivedState();
  }

  /** Recomputes the values shared by the evaluations of all candidate steps. */
  #updateDerivedState(): void {
    this.#powerSum = this.#loads.reduce((sum, load) => sum + powerOf(load), 0);
    this.#newCounts = this.#ranks.map(
      (experts, rank) => [...experts].filter((expert) => !this.#original[rank]?.has(expert)).length,
    );
    this.#replicated = this.#ranks.map((experts) =>
      [...experts].filter((expert) => (this.#holders[expert]?.size ?? 0) > 1),
    );
  }

  #remove(expert: number, rank: number): void {
    this.#ranks[rank]?.delete(expert);
    this.#holders[expert]?.delete(rank);
  }
}

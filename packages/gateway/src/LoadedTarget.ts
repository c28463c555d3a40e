/** @module A target with its load, as decisions on placement see it. */
import type { TargetCandidate } from './choose-target.js';
import type { LoadsApi, ResultsApi } from './directory.js';
import type { PublishedTarget } from './published.js';

/** Where the load and the results of a target are read. */
export interface LoadedTargetOptions {
  readonly target: PublishedTarget;
  /** Work of a request whose work is not known. */
  readonly usualTokens: number;
  readonly loads: LoadsApi;
  readonly results: ResultsApi;
  readonly availabilityZone: string;
}

/** Reads a load only when a decision asks for it: most decisions compare few of the targets. */
export default class LoadedTarget implements TargetCandidate {
  private constructor(private readonly options: LoadedTargetOptions) {}

  /**
   * Creates a candidate that is valid until the next event.
   *
   * @example
   * LoadedTarget.create({ target, usualTokens, loads, results, availabilityZone }).workTokens;
   */
  static create(options: LoadedTargetOptions): LoadedTarget {
    return new LoadedTarget(options);
  }

  get target(): PublishedTarget {
    return this.options.target;
  }

  get slots(): number {
    return this.options.target.slots;
  }

  get runningCount(): number {
    return this.options.loads.countAt(this.options.target.instanceId);
  }

  get workTokens(): number {
    const { loads, target, usualTokens } = this.options;
    return loads.workTokensAt(target.instanceId, usualTokens);
  }

  get longCount(): number {
    return this.options.loads.longCountAt(this.options.target.instanceId);
  }

  get weight(): number {
    return this.options.results.conditionOf(this.options.target).weight;
  }

  get isFull(): boolean {
    return this.options.results.conditionOf(this.options.target).isFull;
  }

  get isSameZone(): boolean {
    return this.options.target.availabilityZone === this.options.availabilityZone;
  }
}

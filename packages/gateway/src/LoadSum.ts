/** @module Sum of requests in progress and of their work. */
import type { RequestWork } from '@ebonysill/scheduling';
import type { TargetCount } from './peer-message.js';

/** Load of one gateway at one target, as it is reported. */
export type ReportedLoad = Omit<TargetCount, 'instanceId'>;

/** Adds and removes loads; the parts are whole numbers, so that what is removed leaves nothing. */
export default class LoadSum {
  #count = 0;

  #workTokens = 0;

  /** Requests whose work is not known. */
  #unsizedCount = 0;

  #longCount = 0;

  private constructor() {
    // Created by `create`.
  }

  /**
   * Creates a sum of nothing.
   *
   * @example
   * const load = LoadSum.create();
   */
  static create(): LoadSum {
    return new LoadSum();
  }

  get count(): number {
    return this.#count;
  }

  get longCount(): number {
    return this.#longCount;
  }

  get isEmpty(): boolean {
    return [this.#count, this.#workTokens, this.#unsizedCount, this.#longCount].every(
      (part) => part === 0,
    );
  }

  /** Outstanding work, with requests of unknown work counted as `usualTokens` each. */
  workTokens(usualTokens: number): number {
    return this.#workTokens + this.#unsizedCount * usualTokens;
  }

  /** Adds a request that starts. */
  addRequest(work: RequestWork | undefined): void {
    this.#count += 1;
    this.#addWork(work, 1);
  }

  /** Removes a request that ends, with the work that was outstanding then. */
  removeRequest(work: RequestWork | undefined): void {
    this.#count -= 1;
    this.#addWork(work, -1);
  }

  /** Removes the part of the work that is done when the prompt has been read. */
  removePrompt({ readTokens, isLong }: RequestWork): void {
    this.#workTokens -= readTokens;
    this.#longCount -= isLong ? 1 : 0;
  }

  /** Adds what a gateway reported, or with `sign` -1 removes it. */
  addReported({ count, workTokens, longCount = 0 }: ReportedLoad, sign: 1 | -1): void {
    this.#count += sign * count;
    this.#workTokens += sign * (workTokens ?? 0);
    this.#unsizedCount += workTokens === undefined ? sign * count : 0;
    this.#longCount += sign * longCount;
  }

  /** The load as it is reported: without work while that of some request is not known. */
  toReport(): ReportedLoad {
    return {
      count: this.#count,
      ...(this.#unsizedCount > 0 ? {} : { workTokens: this.#workTokens }),
      ...(this.#longCount > 0 ? { longCount: this.#longCount } : {}),
    };
  }

  #addWork(work: RequestWork | undefined, sign: 1 | -1): void {
    if (work === undefined) {
      this.#unsizedCount += sign;
      return;
    }
    this.#workTokens += sign * (work.readTokens + work.writeTokens);
    this.#longCount += work.isLong ? sign : 0;
  }
}

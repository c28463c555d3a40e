/** @module Simplified models of designs that run a keyed call at most once, for comparison. */
import type { Random } from '@ebonysill/emulator';

/** A design that runs a keyed call at most once. */
export enum KeyDesign {
  /** The caller first asks for a key, which names one incarnation of one process. */
  MintedKey = 'minted key',
  /** A hash of the caller's key selects the process; after a restart it refuses unknown keys. */
  OwnerByHash = 'owner by hash',
  /**
   * Each send asks every process for a record of the key before a process runs the call; without
   * a record, it is refused if a process is unreachable or lost its records in a restart.
   */
  AskEveryone = 'ask everyone',
  /** The first send runs on any process; repeated sends work as with `AskEveryone`. */
  FirstSendAnywhere = 'first send anywhere',
}

/** Result of one send. */
export enum SendResult {
  Served = 'served',
  Refused = 'refused',
  Unknown = 'unknown',
}

/** Failures and fleet size under which a design is simulated. */
export interface Conditions {
  readonly processCount: number;
  readonly zoneCount: number;
  /** Number of zones that cannot be reached. */
  readonly zonesDown: number;
  /** Probability that a process restarts between two sends and loses its records. */
  readonly restartChance: number;
  /** Probability that an intermediary between the caller and the system sends a request twice. */
  readonly resendChance: number;
  /** Probability that the answer to a send is lost, so that the caller sends again. */
  readonly lossChance: number;
}

/** Results of a design over all simulated calls. */
export interface DesignCounts {
  readonly callCount: number;
  readonly servedCount: number;
  /** Calls that ran more than once. */
  readonly duplicatedCallCount: number;
  readonly unknownCount: number;
  /** Messages between processes, in both directions. */
  readonly messageCount: number;
}

interface Process {
  readonly zone: number;
  incarnation: number;
  readonly executedKeys: Set<string>;
  readonly voidedKeys: Set<string>;
}

interface CallState {
  readonly key: string;
  runCount: number;
  /** Process and incarnation that the minted key names; undefined before a key is minted. */
  keyOwner: { readonly index: number; readonly incarnation: number } | undefined;
}

/** Processes of one service, which keep their records in memory only. */
export class DesignModel {
  readonly #processes: readonly Process[];

  #messageCount = 0;

  private constructor(
    private readonly design: KeyDesign,
    private readonly conditions: Conditions,
    private readonly random: Random,
  ) {
    this.#processes = Array.from({ length: conditions.processCount }, (_, index) => ({
      zone: index % conditions.zoneCount,
      incarnation: 1,
      executedKeys: new Set<string>(),
      voidedKeys: new Set<string>(),
    }));
  }

  /**
   * Creates a model with empty records.
   *
   * @example
   * DesignModel.create(KeyDesign.MintedKey, conditions, random).runCalls(1_000);
   */
  static create(design: KeyDesign, conditions: Conditions, random: Random): DesignModel {
    return new DesignModel(design, conditions, random);
  }

  /** Simulates calls; a caller sends again after a lost answer, up to three sends in all. */
  runCalls(callCount: number): DesignCounts {
    let servedCount = 0;
    let duplicatedCallCount = 0;
    let unknownCount = 0;
    Array.from({ length: callCount }, (_, index) => {
      const call: CallState = { key: `key-${index}`, runCount: 0, keyOwner: undefined };
      const result = this.#sendUntilAnswered(call, 0);
      servedCount += result === SendResult.Served ? 1 : 0;
      unknownCount += result === SendResult.Unknown ? 1 : 0;
      duplicatedCallCount += call.runCount > 1 ? 1 : 0;
      return result;
    });
    return {
      callCount,
      servedCount,
      duplicatedCallCount,
      unknownCount,
      messageCount: this.#messageCount,
    };
  }

  #sendUntilAnswered(call: CallState, sendIndex: number): SendResult {
    const isFirst = sendIndex === 0;
    const result = this.#send(call, isFirst);
    if (this.random() < this.conditions.resendChance) {
      this.#send(call, isFirst);
    }
    const isLost = result === SendResult.Served && this.random() < this.conditions.lossChance;
    if (!isLost || sendIndex >= 2) {
      return isLost ? SendResult.Unknown : result;
    }
    this.#processes.forEach((process) => this.#restartAtRandom(process));
    return this.#sendUntilAnswered(call, sendIndex + 1);
  }

  #restartAtRandom(process: Process): void {
    const restarted = process;
    if (this.random() < this.conditions.restartChance) {
      restarted.incarnation += 1;
      restarted.executedKeys.clear();
      restarted.voidedKeys.clear();
    }
  }

  #send(call: CallState, isFirst: boolean): SendResult {
    switch (this.design) {
      case KeyDesign.MintedKey:
        return this.#sendMinted(call);
      case KeyDesign.OwnerByHash:
        return this.#sendToOwner(call);
      case KeyDesign.AskEveryone:
        return this.#askEveryone(call);
      case KeyDesign.FirstSendAnywhere:
        return isFirst ? this.#runOnce(this.#pickReachable(), call) : this.#askEveryone(call);
      default:
        return this.design satisfies never;
    }
  }

  #sendMinted(call: CallState): SendResult {
    const named = call;
    if (named.keyOwner === undefined) {
      const process = this.#pickReachable();
      this.#messageCount += 2;
      const index = this.#processes.indexOf(process);
      named.keyOwner = { index, incarnation: process.incarnation };
    }
    const process = this.#processes[named.keyOwner.index] as Process;
    const isSame = process.incarnation === named.keyOwner.incarnation;
    return isSame && this.#isReachable(process) ? this.#runOnce(process, call) : SendResult.Unknown;
  }

  /** A restarted owner cannot distinguish a new key from one that it lost, and refuses both. */
  #sendToOwner(call: CallState): SendResult {
    const hash = [...call.key].reduce((sum, char) => sum * 31 + char.charCodeAt(0), 7);
    const owner = this.#processes[hash % this.#processes.length] as Process;
    if (!this.#isReachable(owner)) {
      return SendResult.Unknown;
    }
    return owner.incarnation > 1 && !owner.executedKeys.has(call.key)
      ? SendResult.Refused
      : this.#runOnce(owner, call);
  }

  #askEveryone(call: CallState): SendResult {
    this.#messageCount += 2 * this.#processes.length;
    const holder = this.#processes.find(({ executedKeys }) => executedKeys.has(call.key));
    if (holder !== undefined && this.#isReachable(holder)) {
      return SendResult.Served;
    }
    const canAskAll = this.#processes.every(
      (process) => this.#isReachable(process) && process.incarnation === 1,
    );
    return canAskAll ? this.#runOnce(this.#pickReachable(), call) : SendResult.Refused;
  }

  #runOnce(process: Process, call: CallState): SendResult {
    const run = call;
    this.#messageCount += 2;
    if (!process.executedKeys.has(run.key)) {
      process.executedKeys.add(run.key);
      run.runCount += 1;
    }
    return SendResult.Served;
  }

  #pickReachable(): Process {
    const reachable = this.#processes.filter((process) => this.#isReachable(process));
    return reachable[Math.floor(this.random() * reachable.length)] as Process;
  }

  #isReachable({ zone }: Process): boolean {
    return zone >= this.conditions.zonesDown;
  }
}

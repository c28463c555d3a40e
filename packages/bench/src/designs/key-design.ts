/** @module Naive models of the ways to run a keyed call at most once, to weigh them. */
import type { Random } from '@ebonysill/emulator';

/** A way to run a keyed call at most once. */
export enum KeyDesign {
  /** A key is minted first and names one incarnation of one process. */
  MintedKey = 'minted key',
  /** A hash of the caller's key names the slot; a changed or restarted slot waits. */
  OwnerByHash = 'owner by hash',
  /** Every process of the service is asked, and leaves a tombstone. */
  AskEveryone = 'ask everyone',
  /** A first send runs anywhere; a repeated one asks everyone. */
  FirstSendAnywhere = 'first send anywhere',
}

/** What became of one send. */
export enum SendResult {
  Served = 'served',
  Refused = 'refused',
  Unknown = 'unknown',
}

/** Conditions under which a design is tried. */
export interface Conditions {
  readonly processCount: number;
  readonly zoneCount: number;
  /** Zones that cannot be reached. */
  readonly zonesDown: number;
  /** Chance that a process restarts between two sends, and loses its records. */
  readonly restartChance: number;
  /** Chance that something between caller and system sends a request twice. */
  readonly resendChance: number;
  /** Chance that the answer to a send is lost, so that the caller sends again. */
  readonly lossChance: number;
}

/** What a design made of many calls. */
export interface DesignTally {
  readonly callCount: number;
  readonly servedCount: number;
  readonly doubledCount: number;
  readonly unknownCount: number;
  /** Messages between processes. */
  readonly messageCount: number;
}

interface Process {
  readonly zone: number;
  incarnation: number;
  readonly ran: Set<string>;
  readonly voided: Set<string>;
}

interface CallState {
  readonly key: string;
  runCount: number;
  /** Process and incarnation that a minted key names. */
  minted: { readonly index: number; readonly incarnation: number } | undefined;
}

/** Processes of one service, with records in memory only. */
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
      ran: new Set<string>(),
      voided: new Set<string>(),
    }));
  }

  /**
   * Creates a model with empty records.
   *
   * @example
   * DesignModel.create(KeyDesign.MintedKey, conditions, random).tally(1_000);
   */
  static create(design: KeyDesign, conditions: Conditions, random: Random): DesignModel {
    return new DesignModel(design, conditions, random);
  }

  /** Runs calls; each caller sends again after a lost answer, three times at most. */
  tally(callCount: number): DesignTally {
    let servedCount = 0;
    let doubledCount = 0;
    let unknownCount = 0;
    Array.from({ length: callCount }, (_, index) => {
      const call: CallState = { key: `key-${index}`, runCount: 0, minted: undefined };
      const result = this.#serve(call, 0);
      servedCount += result === SendResult.Served ? 1 : 0;
      unknownCount += result === SendResult.Unknown ? 1 : 0;
      doubledCount += call.runCount > 1 ? 1 : 0;
      return result;
    });
    return { callCount, servedCount, doubledCount, unknownCount, messageCount: this.#messageCount };
  }

  #serve(call: CallState, sendIndex: number): SendResult {
    const isFirst = sendIndex === 0;
    const result = this.#send(call, isFirst);
    if (this.random() < this.conditions.resendChance) {
      this.#send(call, isFirst);
    }
    const isLost = result === SendResult.Served && this.random() < this.conditions.lossChance;
    if (!isLost || sendIndex >= 2) {
      return isLost ? SendResult.Unknown : result;
    }
    this.#processes.forEach((process) => this.#mayRestart(process));
    return this.#serve(call, sendIndex + 1);
  }

  #mayRestart(process: Process): void {
    const restarted = process;
    if (this.random() < this.conditions.restartChance) {
      restarted.incarnation += 1;
      restarted.ran.clear();
      restarted.voided.clear();
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
        return isFirst ? this.#runOn(this.#pick(), call) : this.#askEveryone(call);
      default:
        return this.design satisfies never;
    }
  }

  #sendMinted(call: CallState): SendResult {
    const named = call;
    if (named.minted === undefined) {
      const process = this.#pick();
      this.#messageCount += 2;
      const index = this.#processes.indexOf(process);
      named.minted = { index, incarnation: process.incarnation };
    }
    const process = this.#processes[named.minted.index] as Process;
    const isSame = process.incarnation === named.minted.incarnation;
    return isSame && this.#isUp(process) ? this.#runOn(process, call) : SendResult.Unknown;
  }

  /** A restarted owner cannot tell a new key from one that it forgot, so it waits and refuses. */
  #sendToOwner(call: CallState): SendResult {
    const hash = [...call.key].reduce((sum, char) => sum * 31 + char.charCodeAt(0), 7);
    const owner = this.#processes[hash % this.#processes.length] as Process;
    if (!this.#isUp(owner)) {
      return SendResult.Unknown;
    }
    return owner.incarnation > 1 && !owner.ran.has(call.key)
      ? SendResult.Refused
      : this.#runOn(owner, call);
  }

  #askEveryone(call: CallState): SendResult {
    this.#messageCount += 2 * this.#processes.length;
    const holder = this.#processes.find(({ ran }) => ran.has(call.key));
    if (holder !== undefined && this.#isUp(holder)) {
      return SendResult.Served;
    }
    const canAskAll = this.#processes.every(
      (process) => this.#isUp(process) && process.incarnation === 1,
    );
    return canAskAll ? this.#runOn(this.#pick(), call) : SendResult.Refused;
  }

  #runOn(process: Process, call: CallState): SendResult {
    const run = call;
    this.#messageCount += 2;
    if (!process.ran.has(run.key)) {
      process.ran.add(run.key);
      run.runCount += 1;
    }
    return SendResult.Served;
  }

  #pick(): Process {
    const up = this.#processes.filter((process) => this.#isUp(process));
    return up[Math.floor(this.random() * up.length)] as Process;
  }

  #isUp({ zone }: Process): boolean {
    return zone >= this.conditions.zonesDown;
  }
}

/** @module Sums of the counts that other gateways report, by target. */
import LoadSum, { type ReportedLoad } from './LoadSum.js';
import type { TargetCount } from './peer-message.js';

interface PeerCounts {
  /** By instance identifier. */
  readonly loads: Map<string, ReportedLoad>;
  lastReceivedAtMs: number;
}

/**
 * Keeps the sums up to date with each message: requests read them for every target, far more often
 * than messages change them.
 */
export default class PeerTotals {
  readonly #peers = new Map<string, PeerCounts>();

  /** By instance identifier. */
  readonly #totals = new Map<string, LoadSum>();

  /** When the first of the peers expires that are counted. */
  #nextExpiryMs = Infinity;

  private constructor(
    private readonly nowMs: () => number,
    private readonly expiryMs: number,
  ) {}

  /**
   * Creates sums without peers; a peer that reports nothing for `expiryMs` is no longer counted.
   *
   * @example
   * const totals = PeerTotals.create(runtime.nowMs, 1_500);
   */
  static create(nowMs: () => number, expiryMs: number): PeerTotals {
    return new PeerTotals(nowMs, expiryMs);
  }

  /** Requests of all peers at a target. */
  countAt(instanceId: string): number {
    return this.#totalAt(instanceId)?.count ?? 0;
  }

  /** Outstanding work of all peers at a target; requests of unknown work count `usualTokens`. */
  workTokensAt(instanceId: string, usualTokens: number): number {
    return this.#totalAt(instanceId)?.workTokens(usualTokens) ?? 0;
  }

  /** Requests of all peers at a target whose long prompts have not been read. */
  longCountAt(instanceId: string): number {
    return this.#totalAt(instanceId)?.longCount ?? 0;
  }

  #totalAt(instanceId: string): LoadSum | undefined {
    if (this.nowMs() >= this.#nextExpiryMs) {
      this.#expire();
    }
    return this.#totals.get(instanceId);
  }

  /** Replaces all counts of a peer. */
  replace(address: string, counts: readonly TargetCount[]): void {
    const peer = this.#touch(address);
    this.#remove(peer);
    peer.loads.clear();
    counts.forEach((count) => this.#set(peer, count));
  }

  /** Changes one count of a peer. */
  change(address: string, count: TargetCount): void {
    this.#set(this.#touch(address), count);
  }

  #touch(address: string): PeerCounts {
    const peer = this.#peers.get(address) ?? { loads: new Map(), lastReceivedAtMs: 0 };
    peer.lastReceivedAtMs = this.nowMs();
    this.#peers.set(address, peer);
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, peer.lastReceivedAtMs + this.expiryMs);
    return peer;
  }

  #set({ loads }: PeerCounts, load: TargetCount): void {
    const { instanceId } = load;
    const known = loads.get(instanceId);
    if (known !== undefined) {
      this.#add(instanceId, known, -1);
    }
    this.#add(instanceId, load, 1);
    loads.set(instanceId, load);
  }

  #remove({ loads }: PeerCounts): void {
    loads.forEach((load, instanceId) => this.#add(instanceId, load, -1));
  }

  #add(instanceId: string, load: ReportedLoad, sign: 1 | -1): void {
    const total = this.#totals.get(instanceId) ?? LoadSum.create();
    total.addReported(load, sign);
    if (total.isEmpty) {
      this.#totals.delete(instanceId);
    } else {
      this.#totals.set(instanceId, total);
    }
  }

  #expire(): void {
    const sinceMs = this.nowMs() - this.expiryMs;
    this.#nextExpiryMs = Infinity;
    this.#peers.forEach((peer, address) => {
      if (peer.lastReceivedAtMs <= sinceMs) {
        this.#remove(peer);
        this.#peers.delete(address);
      } else {
        this.#nextExpiryMs = Math.min(this.#nextExpiryMs, peer.lastReceivedAtMs + this.expiryMs);
      }
    });
  }
}

/** @module Sums of the counts that other gateways report, by target. */
import type { TargetCount } from './peer-message.js';

interface PeerCounts {
  /** By instance identifier. */
  readonly counts: Map<string, number>;
  lastReceivedAtMs: number;
}

/**
 * Keeps the sums up to date with each message: requests read them for every target, far more often
 * than messages change them.
 */
export default class PeerTotals {
  readonly #peers = new Map<string, PeerCounts>();

  /** By instance identifier. */
  readonly #totals = new Map<string, number>();

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
    if (this.nowMs() >= this.#nextExpiryMs) {
      this.#expire();
    }
    return this.#totals.get(instanceId) ?? 0;
  }

  /** Replaces all counts of a peer. */
  replace(address: string, counts: readonly TargetCount[]): void {
    const peer = this.#touch(address);
    this.#remove(peer);
    peer.counts.clear();
    counts.forEach((count) => this.#set(peer, count));
  }

  /** Changes one count of a peer. */
  change(address: string, count: TargetCount): void {
    this.#set(this.#touch(address), count);
  }

  #touch(address: string): PeerCounts {
    const peer = this.#peers.get(address) ?? { counts: new Map(), lastReceivedAtMs: 0 };
    peer.lastReceivedAtMs = this.nowMs();
    this.#peers.set(address, peer);
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, peer.lastReceivedAtMs + this.expiryMs);
    return peer;
  }

  #set({ counts }: PeerCounts, { instanceId, count }: TargetCount): void {
    this.#add(instanceId, count - (counts.get(instanceId) ?? 0));
    counts.set(instanceId, count);
  }

  #remove({ counts }: PeerCounts): void {
    counts.forEach((count, instanceId) => this.#add(instanceId, -count));
  }

  #add(instanceId: string, difference: number): void {
    const total = (this.#totals.get(instanceId) ?? 0) + difference;
    if (total === 0) {
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

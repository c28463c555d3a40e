/** @module Ordered links between emulated processes, with latency and injected faults. */
import { EventKind, type Message, type OpenLinkEffect } from '@ebonysill/core';
import type { EmulatedProcess } from './emulated-process.js';
import type { Random } from './create-random.js';
import type { VirtualTime } from './virtual-time.js';

/** What the network does with one message. */
export enum DeliveryOutcome {
  Delivered = 'delivered',
  /** Dropped; the link stays open. */
  Lost = 'lost',
  /** Delivered in order after `delayMs`, and once more a further `delayMs` later. */
  Duplicated = 'doubled',
  /** Delayed by `delayMs`; later messages may overtake it. */
  Reordered = 'reordered',
  /** Delayed by `delayMs`; later messages on the link wait for it. */
  Late = 'late',
}

/** How one message is delivered; `delayMs` is added to the latency. */
export interface Delivery {
  readonly kind: DeliveryOutcome;
  readonly delayMs: number;
}

/** Latency and faults of the network; evaluated for each message, opening and close. */
export interface NetworkRules {
  /** How a message from one process to another is delivered. */
  readonly deliveryOf: (from: EmulatedProcess, to: EmulatedProcess, message: Message) => Delivery;
  /** Whether bytes from one process reach another. */
  readonly isConnected: (from: EmulatedProcess, to: EmulatedProcess) => boolean;
  /** One-way delay between two processes. */
  readonly latencyMs: (from: EmulatedProcess, to: EmulatedProcess) => number;
}

/** Latency is drawn between the base value and this share above it. */
const LATENCY_JITTER = 0.3;

const DELIVERED: Delivery = { kind: DeliveryOutcome.Delivered, delayMs: 0 };

/** Delivers every message in order, without extra delay. */
export const deliverNormally = (): Delivery => DELIVERED;

interface LinkEnd {
  readonly process: EmulatedProcess;
  /** Empty at a listener that was never reached. */
  readonly linkId: string;
  /** When the last message sent in order arrives at this end. */
  lastArrivalAtMs: number;
  /** Set once bytes were lost on the way to this end: nothing more arrives, not even a close. */
  isSilent: boolean;
}

interface EmulatedLink {
  readonly dialler: LinkEnd;
  readonly listener: LinkEnd;
}

const createEnd = (process: EmulatedProcess, linkId: string): LinkEnd => ({
  process,
  linkId,
  lastArrivalAtMs: 0,
  isSilent: false,
});

/** Opens and closes links, and delivers messages on them. */
export class EmulatedNetwork {
  readonly #listeners = new Map<string, EmulatedProcess>();

  readonly #links = new Map<string, EmulatedLink>();

  #inboundCount = 0;

  private constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly rules: NetworkRules,
  ) {}

  /**
   * Creates a network without links.
   *
   * @example
   * const network = EmulatedNetwork.create(time, random, rules);
   */
  static create(time: VirtualTime, random: Random, rules: NetworkRules): EmulatedNetwork {
    return new EmulatedNetwork(time, random, rules);
  }

  /** Registers a process that accepts links at an address. */
  listen(host: string, port: number, process: EmulatedProcess): void {
    this.#listeners.set(`${host}:${port}`, process);
  }

  /**
   * Opens a link. If no process runs at the address, the dialler gets a closed event; if it is
   * unreachable, the dialler gets no event.
   */
  open(dialler: EmulatedProcess, { linkId, host, port }: OpenLinkEffect): void {
    const listener = this.#listeners.get(`${host}:${port}`);
    if (listener === undefined) {
      this.time.schedule(1, () => dialler.post({ kind: EventKind.LinkClosed, linkId }));
      return;
    }
    const roundTripMs = this.#delayMs(dialler, listener) + this.#delayMs(listener, dialler);
    const isReachable =
      this.rules.isConnected(dialler, listener) && this.rules.isConnected(listener, dialler);
    if (!isReachable) {
      this.#links.set(linkId, {
        dialler: createEnd(dialler, linkId),
        listener: createEnd(listener, ''),
      });
      return;
    }
    this.time.schedule(roundTripMs, () => this.#connect(dialler, listener, linkId));
  }

  /** Sends a message on a link; if that direction is cut, the link never delivers in it again. */
  send(from: EmulatedProcess, linkId: string, message: Message): void {
    const to = this.#otherEnd(from, linkId);
    if (to === undefined) {
      return;
    }
    if (!this.rules.isConnected(from, to.process)) {
      to.isSilent = true;
    }
    if (to.isSilent) {
      return;
    }
    const delivery = this.rules.deliveryOf(from, to.process, message);
    this.#deliver(from, to, message, delivery);
  }

  /** Closes a link; the other end gets a closed event if it is reachable. */
  close(from: EmulatedProcess, linkId: string): void {
    const to = this.#otherEnd(from, linkId);
    this.time.schedule(0, () => from.post({ kind: EventKind.LinkClosed, linkId }));
    if (to !== undefined) {
      this.#links.delete(linkId);
      this.#links.delete(to.linkId);
      this.#closeEnd(from, to);
    }
  }

  /**
   * Closes every link of a killed process; the other ends get a closed event if they are reachable.
   */
  closeLinksOf(process: EmulatedProcess): void {
    this.#endsOf(process).forEach(({ linkId }) => {
      const to = this.#otherEnd(process, linkId);
      this.#links.delete(linkId);
      if (to !== undefined) {
        this.#links.delete(to.linkId);
        this.#closeEnd(process, to);
      }
    });
  }

  /** Id of the process at the other end of a link; undefined unless the link is open. */
  peerOf(process: EmulatedProcess, linkId: string): string | undefined {
    return this.#otherEnd(process, linkId)?.process.processId;
  }

  /**
   * Ends delivery in one direction on the present links between two processes; they stay open.
   */
  silence(from: EmulatedProcess, to: EmulatedProcess): void {
    this.#endsOf(to)
      .filter(({ linkId }) => this.#otherEnd(to, linkId)?.process === from)
      .forEach(({ linkId }) => this.#silenceEnd(linkId, to));
  }

  #silenceEnd(linkId: string, process: EmulatedProcess): void {
    const link = this.#links.get(linkId);
    const end = link?.dialler.process === process ? link.dialler : link?.listener;
    if (end !== undefined) {
      end.isSilent = true;
    }
  }

  #closeEnd(from: EmulatedProcess, to: LinkEnd): void {
    if (to.isSilent || !this.rules.isConnected(from, to.process)) {
      return;
    }
    const arrivalAtMs = Math.max(
      to.lastArrivalAtMs,
      this.time.nowMs + this.#delayMs(from, to.process),
    );
    const { linkId } = to;
    this.time.schedule(arrivalAtMs - this.time.nowMs, () =>
      to.process.post({ kind: EventKind.LinkClosed, linkId }),
    );
  }

  #connect(dialler: EmulatedProcess, listener: EmulatedProcess, linkId: string): void {
    if (!listener.isAlive) {
      dialler.post({ kind: EventKind.LinkClosed, linkId });
      return;
    }
    this.#inboundCount += 1;
    const inboundId = `inbound#${this.#inboundCount}`;
    const link = {
      dialler: createEnd(dialler, linkId),
      listener: createEnd(listener, inboundId),
    };
    this.#links.set(linkId, link);
    this.#links.set(inboundId, link);
    listener.post({ kind: EventKind.LinkOpened, linkId: inboundId, isInbound: true });
    dialler.post({ kind: EventKind.LinkOpened, linkId, isInbound: false });
  }

  #deliver(from: EmulatedProcess, to: LinkEnd, message: Message, delivery: Delivery): void {
    const arrivalAtMs = this.time.nowMs + this.#delayMs(from, to.process) + delivery.delayMs;
    switch (delivery.kind) {
      case DeliveryOutcome.Lost:
        return;
      case DeliveryOutcome.Reordered:
        this.#arriveAt(arrivalAtMs, to, message);
        return;
      case DeliveryOutcome.Duplicated:
        this.#arriveInOrder(arrivalAtMs, to, message);
        this.#arriveAt(arrivalAtMs + delivery.delayMs, to, message);
        return;
      case DeliveryOutcome.Delivered:
      case DeliveryOutcome.Late:
        this.#arriveInOrder(arrivalAtMs, to, message);
        return;
      default:
        delivery.kind satisfies never;
    }
  }

  #arriveInOrder(arrivalAtMs: number, to: LinkEnd, message: Message): void {
    const end = to;
    end.lastArrivalAtMs = Math.max(end.lastArrivalAtMs, arrivalAtMs);
    this.#arriveAt(end.lastArrivalAtMs, end, message);
  }

  #arriveAt(arrivalAtMs: number, { process, linkId }: LinkEnd, message: Message): void {
    this.time.schedule(arrivalAtMs - this.time.nowMs, () => {
      if (this.#links.has(linkId)) {
        process.post({ kind: EventKind.LinkMessage, linkId, message });
      }
    });
  }

  #otherEnd(process: EmulatedProcess, linkId: string): LinkEnd | undefined {
    const link = this.#links.get(linkId);
    if (link === undefined || link.listener.linkId === '') {
      return undefined;
    }
    return link.dialler.process === process ? link.listener : link.dialler;
  }

  #endsOf(process: EmulatedProcess): readonly LinkEnd[] {
    return [...this.#links].flatMap(([linkId, { dialler, listener }]) =>
      [dialler, listener].filter((end) => end.process === process && end.linkId === linkId),
    );
  }

  #delayMs(from: EmulatedProcess, to: EmulatedProcess): number {
    return this.rules.latencyMs(from, to) * (1 + this.random() * LATENCY_JITTER);
  }
}

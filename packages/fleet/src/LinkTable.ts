/** @module Index of the links of one process. */
import type { HelloMessage, Peer } from '@ebonysill/core';
import { Link } from './link.js';

/** Links of one process in any state, found by link id or by peer. */
export default class LinkTable {
  readonly #links = new Map<string, Link>();

  readonly #linkIdByPeer = new Map<string, string>();

  readonly #dialledIds = new Set<string>();

  private constructor() {}

  /**
   * Creates an empty table.
   *
   * @example
   * const table = LinkTable.create();
   */
  static create(): LinkTable {
    return new LinkTable();
  }

  /** Adds a link that is being opened. */
  add(linkId: string, dialledId: string | undefined, nowMs: number): Link {
    const link = Link.create(linkId, dialledId, nowMs);
    this.#links.set(linkId, link);
    if (dialledId !== undefined) {
      this.#dialledIds.add(dialledId);
    }
    return link;
  }

  /** Number of links in any state. */
  get size(): number {
    return this.#links.size;
  }

  /** Links to identified peers that are not known to hold `revision` or a higher one. */
  linksBelow(revision: number): readonly Link[] {
    return [...this.#links.values()].filter(
      (link) => link.processId !== undefined && link.revision < revision,
    );
  }

  /** The link with this id. */
  get(linkId: string): Link | undefined {
    return this.#links.get(linkId);
  }

  /** Marks a link as up; for lookups by peer, the newest link to a process replaces older ones. */
  markUp(link: Link, hello: HelloMessage): void {
    link.acceptHello(hello);
    this.#linkIdByPeer.set(hello.processId, link.linkId);
  }

  /** Removes a link. */
  remove({ linkId, processId, dialledId }: Link): void {
    this.#links.delete(linkId);
    if (dialledId !== undefined) {
      this.#dialledIds.delete(dialledId);
    }
    if (processId !== undefined && this.#linkIdByPeer.get(processId) === linkId) {
      this.#linkIdByPeer.delete(processId);
    }
  }

  /** Whether this process has dialled a link to `processId` that still exists, in any state. */
  isDialled(processId: string): boolean {
    return this.#dialledIds.has(processId);
  }

  /** The peer with this process id, if a link to it is up. */
  peer(processId: string): Peer | undefined {
    return this.peerOfLink(this.#linkIdByPeer.get(processId) ?? '');
  }

  /** The peer at the other end of a link that is up. */
  peerOfLink(linkId: string): Peer | undefined {
    return this.#links.get(linkId)?.peer;
  }

  /** Peers of all links that are up. */
  peers(): readonly Peer[] {
    return [...this.#linkIdByPeer.values()].flatMap((linkId) => this.peerOfLink(linkId) ?? []);
  }
}

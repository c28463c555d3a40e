/** @module State of the links of one process. */
import type { HelloMessage, LoadReport, Peer } from '@ebonysill/core';

/** How far a link has come. */
export enum LinkState {
  Opening = 'opening',
  Greeting = 'greeting',
  Up = 'up',
}

/** One link. */
export interface Link {
  readonly linkId: string;
  /** The sidecar that this process dialled; absent on inbound links. */
  readonly dialledId: string | undefined;
  state: LinkState;
  hello: HelloMessage | undefined;
  load: LoadReport | undefined;
  loadHeardMs: number;
  lastHeardMs: number;
  checkDueMs: number;
  /** Pieces of work in progress on the link. */
  retainCount: number;
}

/** Links by id and by peer. */
export class LinkTable {
  readonly #links = new Map<string, Link>();

  readonly #linkIdByPeer = new Map<string, string>();

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

  /** Adds a link that was opened or accepted at `nowMs`. */
  add(linkId: string, dialledId: string | undefined, state: LinkState, nowMs: number): Link {
    const link: Link = {
      linkId,
      dialledId,
      state,
      hello: undefined,
      load: undefined,
      loadHeardMs: nowMs,
      lastHeardMs: nowMs,
      checkDueMs: nowMs,
      retainCount: 0,
    };
    this.#links.set(linkId, link);
    return link;
  }

  /** The link with this id. */
  get(linkId: string): Link | undefined {
    return this.#links.get(linkId);
  }

  /** Marks a link as up; a newer link to the same process takes the place of an older one. */
  greet(link: Link, hello: HelloMessage): void {
    link.state = LinkState.Up;
    link.hello = hello;
    this.#linkIdByPeer.set(hello.processId, link.linkId);
  }

  /** Forgets a link. */
  remove(link: Link): void {
    this.#links.delete(link.linkId);
    const processId = link.hello?.processId;
    if (processId !== undefined && this.#linkIdByPeer.get(processId) === link.linkId) {
      this.#linkIdByPeer.delete(processId);
    }
  }

  /** Whether a link that this process dialled to `targetId` exists in any state. */
  isDialled(targetId: string): boolean {
    return [...this.#links.values()].some((link) => link.dialledId === targetId);
  }

  /** The peer with this process id, if a link to it is up. */
  peer(processId: string): Peer | undefined {
    const linkId = this.#linkIdByPeer.get(processId);
    return linkId === undefined ? undefined : this.peerOfLink(linkId);
  }

  /** The peer at the other end of a link that is up. */
  peerOfLink(linkId: string): Peer | undefined {
    const link = this.#links.get(linkId);
    if (link?.hello === undefined) {
      return undefined;
    }
    return {
      linkId,
      processId: link.hello.processId,
      incarnation: link.hello.incarnation,
      availabilityZone: link.hello.availabilityZone,
      load: link.load,
      loadHeardMs: link.loadHeardMs,
    };
  }

  /** Peers of all links that are up. */
  peers(): readonly Peer[] {
    return [...this.#linkIdByPeer.values()].flatMap((linkId) => this.peerOfLink(linkId) ?? []);
  }
}

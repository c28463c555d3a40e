/** @module Links between processes over TCP. */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { EventKind, type Event, type Message, type OpenLinkEffect } from '@ebonysill/core';
import { FrameReader, frame } from './frame-reader.js';
import { HandshakeStep, LinkEnd, LinkHandshake } from './link-handshake.js';
import { decodeMessage, encodeMessage } from './message-codec.js';

/** Limit on open inbound links of one process. */
const MAX_INBOUND_LINKS = 2_048;

/** Time without traffic, while the handshake is unfinished, after which a link is closed. */
const HANDSHAKE_TIMEOUT_MS = 2_000;

/** TCP links to other processes, which carry messages as length-prefixed frames. */
export default class LinkPort {
  readonly #sockets = new Map<string, Socket>();

  #server: Server | undefined;

  #inboundCount = 0;

  private constructor(
    private readonly secret: string,
    private readonly post: (event: Event) => void,
  ) {}

  /**
   * Creates a port that posts link events.
   *
   * @example
   * const links = LinkPort.create(secret, (event) => kernel.post(event));
   */
  static create(secret: string, post: (event: Event) => void): LinkPort {
    return new LinkPort(secret, post);
  }

  /** Starts listening; resolves with the port in use, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<number> {
    const server = createServer((socket) => this.#accept(socket));
    server.maxConnections = MAX_INBOUND_LINKS;
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        server.off('error', reject);
        resolve((server.address() as AddressInfo).port);
      });
    });
  }

  /** Opens a link. Posts `LinkOpened` after the handshake, or `LinkClosed` if that fails. */
  open({ linkId, host, port }: OpenLinkEffect): void {
    this.#attach(linkId, connect({ host, port }), LinkEnd.Dialler);
  }

  /** Sends a message. It is dropped if the link is closed, which `LinkClosed` reports. */
  send(linkId: string, message: Message): void {
    this.#sockets.get(linkId)?.write(frame(encodeMessage(message)));
  }

  /** Closes a link at once; messages that are not yet written are dropped. */
  close(linkId: string): void {
    this.#sockets.get(linkId)?.destroy();
  }

  /** Stops accepting links, and closes each link after its pending messages are written. */
  shutdown(): void {
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.destroySoon());
  }

  #accept(socket: Socket): void {
    this.#inboundCount += 1;
    this.#attach(`inbound#${this.#inboundCount}`, socket, LinkEnd.Listener);
  }

  /**
   * Runs the handshake, then reads messages. `LinkOpened` and messages are posted only after the other
   * end has proved that it knows the secret; `LinkClosed` is posted in any case.
   */
  #attach(linkId: string, socket: Socket, end: LinkEnd): void {
    const reader = FrameReader.create();
    const handshake = LinkHandshake.create(this.secret, end);
    let receive = (payload: Buffer): void => {
      if (this.#advanceHandshake(linkId, socket, handshake, end, payload)) {
        receive = (message) => this.#receiveMessage(linkId, socket, message);
      }
    };
    this.#sockets.set(linkId, socket);
    socket.setNoDelay(true);
    socket.setTimeout(HANDSHAKE_TIMEOUT_MS, () => socket.destroy());
    socket.write(frame(handshake.nonce));
    socket.on('data', (bytes) => {
      const frames = reader.push(bytes);
      if (frames === undefined) {
        socket.destroy();
      } else {
        frames.forEach((payload) => receive(payload));
      }
    });
    socket.on('error', () => socket.destroy());
    socket.once('close', () => {
      this.#sockets.delete(linkId);
      this.post({ kind: EventKind.LinkClosed, linkId });
    });
  }

  /** Processes one frame of the handshake; returns true once the link is open. */
  #advanceHandshake(
    linkId: string,
    socket: Socket,
    handshake: LinkHandshake,
    end: LinkEnd,
    payload: Buffer,
  ): boolean {
    const step = handshake.receive(payload);
    switch (step) {
      case HandshakeStep.SendProof:
        socket.write(frame(handshake.createProof()));
        return false;
      case HandshakeStep.Done:
        socket.setTimeout(0);
        this.post({ kind: EventKind.LinkOpened, linkId, isInbound: end === LinkEnd.Listener });
        return true;
      case HandshakeStep.Reject:
        socket.destroy();
        return false;
      default:
        return step satisfies never;
    }
  }

  #receiveMessage(linkId: string, socket: Socket, payload: Buffer): void {
    const message = decodeMessage(payload);
    if (message === undefined) {
      socket.destroy();
    } else if (!socket.destroyed) {
      this.post({ kind: EventKind.LinkMessage, linkId, message });
    }
  }
}

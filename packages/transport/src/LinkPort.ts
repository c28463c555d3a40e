/** @module Links between processes over TCP. */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { EventKind, type Event, type Message, type OpenLinkEffect } from '@ebonysill/core';
import { FrameReader, frame } from './frame-reader.js';
import { decodeMessage, encodeMessage } from './message-codec.js';

/** Inbound links of one process. */
const MAX_INBOUND_LINKS = 2_048;

/** Opens, accepts, reads and writes links. */
export default class LinkPort {
  readonly #sockets = new Map<string, Socket>();

  #server: Server | undefined;

  #inboundCount = 0;

  private constructor(private readonly post: (event: Event) => void) {}

  /**
   * Creates a port that posts link events.
   *
   * @example
   * const links = LinkPort.create((event) => kernel.post(event));
   */
  static create(post: (event: Event) => void): LinkPort {
    return new LinkPort(post);
  }

  /** Accepts links; resolves with the port number in use. */
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

  /** Opens a link; the outcome is posted as an event. */
  open({ linkId, host, port }: OpenLinkEffect): void {
    const socket = connect({ host, port });
    socket.once('connect', () => {
      this.post({ kind: EventKind.LinkOpened, linkId, isInbound: false });
    });
    this.#attach(linkId, socket);
  }

  /** Sends a message; lost silently if the link is closed, which is posted as an event. */
  send(linkId: string, message: Message): void {
    this.#sockets.get(linkId)?.write(frame(encodeMessage(message)));
  }

  /** Closes a link. */
  close(linkId: string): void {
    this.#sockets.get(linkId)?.destroy();
  }

  /** Stops accepting, and closes every link after what was sent on it. */
  shutdown(): void {
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.destroySoon());
  }

  #accept(socket: Socket): void {
    this.#inboundCount += 1;
    const linkId = `inbound#${this.#inboundCount}`;
    this.#attach(linkId, socket);
    this.post({ kind: EventKind.LinkOpened, linkId, isInbound: true });
  }

  #attach(linkId: string, socket: Socket): void {
    const reader = FrameReader.create();
    this.#sockets.set(linkId, socket);
    socket.setNoDelay(true);
    socket.on('data', (bytes) => {
      const frames = reader.push(bytes);
      if (frames === undefined) {
        socket.destroy();
      } else {
        frames.forEach((payload) => this.#receive(linkId, socket, payload));
      }
    });
    socket.on('error', () => socket.destroy());
    socket.once('close', () => {
      this.#sockets.delete(linkId);
      this.post({ kind: EventKind.LinkClosed, linkId });
    });
  }

  #receive(linkId: string, socket: Socket, payload: Buffer): void {
    const message = decodeMessage(payload);
    if (message === undefined) {
      socket.destroy();
    } else if (!socket.destroyed) {
      this.post({ kind: EventKind.LinkMessage, linkId, message });
    }
  }
}

/** @module Links between processes over TCP. */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { ByteBudget, CHECK_INTERVAL_MS, DropCause, ReadTurns } from '@ebonysill/http';
import { EventKind, type Event, type Message, type OpenLinkEffect } from '@ebonysill/core';
import type { RecordDrop } from './DropCounters.js';
import { FrameReader, MAX_FRAME_BYTES, frame } from './frame-reader.js';
import { HandshakeStep, LinkEnd, LinkHandshake } from './link-handshake.js';
import { decodeMessage, encodeMessage } from './message-codec.js';

/** Limit on open inbound links of one process. */
const MAX_INBOUND_LINKS = 2_048;

/** Time within which a handshake has to be finished. */
const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Longest frame of a handshake: anybody can send it. */
const MAX_HANDSHAKE_FRAME_BYTES = 64;

/** Each end sends a nonce and a proof before its first message. */
const HANDSHAKE_FRAME_COUNT = 2;

const maxBytesOf = (frameIndex: number): number =>
  frameIndex < HANDSHAKE_FRAME_COUNT ? MAX_HANDSHAKE_FRAME_BYTES : MAX_FRAME_BYTES;

/** Time in which an unfinished frame must make progress. */
const FRAME_TIMEOUT_MS = 10_000;

/** Memory of a frame that counts as its progress; a byte now and then does not. */
const MIN_PROGRESS_BYTES = 512;

/** Unfinished frames of all links together. */
const MAX_PENDING_BYTES = 33_554_432;

/** A peer that does not read is disconnected when more bytes wait for it on its link. */
const MAX_UNSENT_BYTES = 16_777_216;

/** Bounds that a test may lower. */
export interface LinkBounds {
  readonly maxInboundCount?: number;
  readonly maxPendingBytes?: number;
  readonly frameTimeoutMs?: number;
  readonly handshakeTimeoutMs?: number;
}

/** TCP links to other processes, which carry messages as length-prefixed frames. */
export default class LinkPort {
  readonly #sockets = new Map<string, Socket>();

  #server: Server | undefined;

  #inboundCount = 0;

  readonly #budget: ByteBudget;

  readonly #turns = ReadTurns.create();

  private constructor(
    private readonly secret: string,
    private readonly post: (event: Event) => void,
    private readonly bounds: LinkBounds,
    private readonly onDropped: RecordDrop,
  ) {
    this.#budget = ByteBudget.create({
      maxBytes: bounds.maxPendingBytes ?? MAX_PENDING_BYTES,
      onDropped,
    });
    setInterval(() => this.#budget.check(), CHECK_INTERVAL_MS).unref();
  }

  /**
   * Creates a port that posts link events.
   *
   * @example
   * const links = LinkPort.create(secret, (event) => kernel.post(event));
   */
  static create(
    secret: string,
    post: (event: Event) => void,
    bounds: LinkBounds = {},
    onDropped: RecordDrop = () => undefined,
  ): LinkPort {
    return new LinkPort(secret, post, bounds, onDropped);
  }

  /** Starts listening; resolves with the port in use, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<number> {
    const server = createServer((socket) => this.#accept(socket));
    server.maxConnections = this.bounds.maxInboundCount ?? MAX_INBOUND_LINKS;
    server.on('drop', () => this.onDropped(DropCause.TooManyConnections));
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
    const socket = this.#sockets.get(linkId);
    if (socket === undefined) {
      return;
    }
    socket.write(frame(encodeMessage(message)));
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      this.#drop(socket, DropCause.NotRead);
    }
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

  #drop(socket: Socket, cause: DropCause): void {
    if (!socket.destroyed) {
      socket.destroy();
      this.onDropped(cause);
    }
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
    const reader = FrameReader.create(maxBytesOf);
    const handshake = LinkHandshake.create(this.secret, end);
    const { frameTimeoutMs, handshakeTimeoutMs } = this.bounds;
    const pending = this.#budget.open({
      stallTimeoutMs: frameTimeoutMs ?? FRAME_TIMEOUT_MS,
      stallCause: DropCause.BodyStalled,
      drop: () => socket.destroy(),
    });
    const handshakeTimer = setTimeout(
      () => this.#drop(socket, DropCause.HandshakeStalled),
      handshakeTimeoutMs ?? HANDSHAKE_TIMEOUT_MS,
    );
    let progressBytes = 0;
    let receive = (payload: Buffer): void => {
      if (this.#advanceHandshake(linkId, socket, handshake, end, payload)) {
        clearTimeout(handshakeTimer);
        receive = (message) => this.#receiveMessage(linkId, socket, message);
      }
    };
    this.#sockets.set(linkId, socket);
    this.#turns.watchSocket(socket);
    socket.setNoDelay(true);
    socket.write(frame(handshake.nonce));
    socket.on('data', (bytes) => {
      const frames = reader.push(bytes);
      if (frames === undefined) {
        this.#drop(socket, DropCause.TooLarge);
        return;
      }
      if (frames.length > 0 || reader.pendingBytes >= progressBytes) {
        progressBytes = reader.pendingBytes + MIN_PROGRESS_BYTES;
        pending.recordProgress();
      }
      pending.setSize(reader.pendingBytes);
      this.#turns.recordRead(socket, 1 + frames.length);
      frames.forEach((payload) => receive(payload));
    });
    socket.on('error', () => socket.destroy());
    socket.once('close', () => {
      clearTimeout(handshakeTimer);
      pending.release();
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

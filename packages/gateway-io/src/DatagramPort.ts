/** @module Messages between processes, encoded with MessagePack and sent in UDP datagrams. */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { EventKind, type Event, type SendToPeerEffect } from '@ebonysill/gateway';
import { pack, unpack } from 'msgpackr';
import type { ListenAddress } from './CallerServer.js';
import encodePeerMessage from './encodePeerMessage.js';
import parsePeerMessage from './parsePeerMessage.js';

/** Options of a datagram port. */
export interface DatagramPortOptions {
  readonly listen: ListenAddress;
  readonly post: (event: Event) => void;
  readonly onError: (error: unknown) => void;
}

/** Sends and receives messages. Datagrams may be lost; a sender that needs a reply sends again. */
export default class DatagramPort {
  private constructor(
    private readonly socket: Socket,
    private readonly options: DatagramPortOptions,
  ) {}

  /**
   * Creates a port that is bound to its address; rejects when that is taken.
   *
   * @example
   * const datagrams = await DatagramPort.create({ listen, post, onError });
   */
  static async create(options: DatagramPortOptions): Promise<DatagramPort> {
    const socket = createSocket('udp4');
    const port = new DatagramPort(socket, options);
    socket.on('message', (data, remote) => port.#receive(data, remote));
    socket.bind(options.listen.port, options.listen.host);
    await once(socket, 'listening');
    socket.on('error', options.onError);
    return port;
  }

  send({ address, message }: SendToPeerEffect): void {
    const [host = '', port = ''] = address.split(':');
    this.socket.send(pack(encodePeerMessage(message)), Number(port), host, (error) => {
      if (error !== null) {
        this.options.onError(error);
      }
    });
  }

  /** Closes the socket; messages can be neither sent nor received afterwards. */
  close(): void {
    this.socket.close();
  }

  #receive(data: Uint8Array, { address, port }: RemoteInfo): void {
    const message = DatagramPort.#decode(data);
    if (message !== undefined) {
      const senderAddress = `${address}:${port}`;
      this.options.post({ kind: EventKind.PeerMessageReceived, address: senderAddress, message });
    }
  }

  /** Returns undefined for bytes that are not a valid message: any host can send datagrams here. */
  static #decode(data: Uint8Array): ReturnType<typeof parsePeerMessage> {
    try {
      return parsePeerMessage(unpack(data));
    } catch {
      return undefined;
    }
  }
}

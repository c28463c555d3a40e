/** @module A TCP proxy on loopback that injects link faults. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import LinkFault from './LinkFault.js';
import resetConnection from './resetConnection.js';

const HOST = '127.0.0.1';

/** Delay that `LinkFault.Delayed` adds in each direction. */
const DELAY_MS = 150;

interface Connection {
  readonly client: Socket;
  readonly upstream: Socket;
}

/** Forwards connections to one port on loopback. */
export default class LoopbackProxy {
  #fault = LinkFault.None;

  readonly #connections = new Set<Connection>();

  /** Connections that forward no more bytes, also after the fault has ended. */
  readonly #silenced = new WeakSet<Connection>();

  private constructor(
    private readonly server: Server,
    private readonly targetPort: number,
  ) {}

  /**
   * Starts a proxy without a fault.
   *
   * @example
   * const proxy = await LoopbackProxy.create(runner.port);
   */
  static async create(targetPort: number): Promise<LoopbackProxy> {
    const server = createServer();
    const proxy = new LoopbackProxy(server, targetPort);
    server.on('connection', (client) => proxy.#accept(client));
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
    return proxy;
  }

  /** IP address and port. */
  get address(): string {
    return `${HOST}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Sets the fault for open and new connections; `LinkFault.None` clears it. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault === LinkFault.Reset) {
      this.#connections.forEach(({ client, upstream }) => {
        resetConnection(client);
        upstream.destroy();
      });
    }
    if (fault === LinkFault.Silenced) {
      this.#connections.forEach((connection) => this.#silenced.add(connection));
    }
  }

  close(): void {
    this.server.close();
    this.#connections.forEach(({ client, upstream }) => {
      client.destroy();
      upstream.destroy();
    });
  }

  #accept(client: Socket): void {
    if (this.#fault === LinkFault.Reset) {
      resetConnection(client);
      return;
    }
    const upstream = connect(this.targetPort, HOST);
    const connection = { client, upstream };
    this.#connections.add(connection);
    this.#pipe(connection, client, upstream, false);
    this.#pipe(connection, upstream, client, true);
  }

  #pipe(connection: Connection, from: Socket, to: Socket, isAnswer: boolean): void {
    // Bytes received after a delay fault has ended must not overtake delayed bytes.
    let nextForwardAtMs = 0;
    const queued: (() => void)[] = [];
    const forward = (action: () => void): void => {
      if (this.#isBlocked(connection, isAnswer)) {
        this.#silenced.add(connection);
        return;
      }
      const nowMs = performance.now();
      const delayMs = this.#fault === LinkFault.Delayed ? DELAY_MS : 0;
      nextForwardAtMs = Math.max(nextForwardAtMs, nowMs + delayMs);
      if (nextForwardAtMs > nowMs || queued.length > 0) {
        queued.push(action);
        setTimeout(() => queued.shift()?.(), nextForwardAtMs - nowMs);
      } else {
        action();
      }
    };
    from.on('data', (bytes) => forward(() => to.write(bytes)));
    from.on('end', () => forward(() => to.end()));
    // A reset is forwarded as a reset, so that the other side does not see an orderly end.
    from.on('error', () => forward(() => resetConnection(to)));
    from.on('close', () => {
      if (connection.client.destroyed && connection.upstream.destroyed) {
        this.#connections.delete(connection);
      }
    });
  }

  #isBlocked(connection: Connection, isAnswer: boolean): boolean {
    return (
      this.#silenced.has(connection) ||
      this.#fault === LinkFault.Dark ||
      (isAnswer && this.#fault === LinkFault.OneWay)
    );
  }
}

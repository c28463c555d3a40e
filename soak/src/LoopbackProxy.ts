/** @module A proxy on loopback that harms the connections that pass through it. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import LinkFault from './LinkFault.js';

const HOST = '127.0.0.1';

/** Delay of bytes on a delayed link, in each direction. */
const DELAY_MS = 150;

interface Connection {
  readonly near: Socket;
  readonly far: Socket;
}

/** Forwards connections to one port. */
export default class LoopbackProxy {
  #fault = LinkFault.None;

  readonly #connections = new Set<Connection>();

  /** Connections that pass nothing for good. */
  readonly #silent = new WeakSet<Connection>();

  private constructor(
    private readonly server: Server,
    private readonly targetPort: number,
  ) {}

  /**
   * Starts a proxy that does no harm.
   *
   * @example
   * const proxy = await LoopbackProxy.create(runner.port);
   */
  static async create(targetPort: number): Promise<LoopbackProxy> {
    const server = createServer();
    const proxy = new LoopbackProxy(server, targetPort);
    server.on('connection', (near) => proxy.#open(near));
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
    return proxy;
  }

  /** IP address and port. */
  get address(): string {
    return `${HOST}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Begins a fault, or ends it with `LinkFault.None`. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault === LinkFault.Reset) {
      this.#connections.forEach(({ near, far }) => {
        near.resetAndDestroy();
        far.destroy();
      });
    }
    if (fault === LinkFault.Silenced) {
      this.#connections.forEach((connection) => this.#silent.add(connection));
    }
  }

  /** Ends the proxy. */
  close(): void {
    this.server.close();
    this.#connections.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  #open(near: Socket): void {
    if (this.#fault === LinkFault.Reset) {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.targetPort, HOST);
    const connection = { near, far };
    this.#connections.add(connection);
    this.#pipe(connection, near, far, false);
    this.#pipe(connection, far, near, true);
  }

  #pipe(connection: Connection, from: Socket, to: Socket, isAnswer: boolean): void {
    // Bytes that were delayed are not overtaken by those that come after the fault.
    let freeAtMs = 0;
    const waiting: (() => void)[] = [];
    const pass = (act: () => void): void => {
      if (this.#isStopped(connection, isAnswer)) {
        this.#silent.add(connection);
        return;
      }
      const nowMs = performance.now();
      const delayMs = this.#fault === LinkFault.Delayed ? DELAY_MS : 0;
      freeAtMs = Math.max(freeAtMs, nowMs + delayMs);
      if (freeAtMs > nowMs || waiting.length > 0) {
        waiting.push(act);
        setTimeout(() => waiting.shift()?.(), freeAtMs - nowMs);
      } else {
        act();
      }
    };
    from.on('data', (bytes) => pass(() => to.write(bytes)));
    from.on('end', () => pass(() => to.end()));
    // A reset is passed on as one: the other side must not take it for an orderly end.
    from.on('error', () => pass(() => to.resetAndDestroy()));
    from.on('close', () => {
      if (connection.near.destroyed && connection.far.destroyed) {
        this.#connections.delete(connection);
      }
    });
  }

  #isStopped(connection: Connection, isAnswer: boolean): boolean {
    return (
      this.#silent.has(connection) ||
      this.#fault === LinkFault.Dark ||
      (isAnswer && this.#fault === LinkFault.OneWay)
    );
  }
}

/** @module Serves the control calls over HTTP. */
import type { AddressInfo } from 'node:net';
import type { Server } from 'node:http';
import { createHTTPServer } from '@trpc/server/adapters/standalone';
import { adminRouter, type AdminFunctions } from './admin-router.js';

/** Serves operators. */
export default class AdminServer {
  private constructor(private readonly server: Server) {}

  /**
   * Creates the server, not yet listening.
   *
   * @example
   * const admin = AdminServer.create({ readStatus, explain });
   */
  static create(functions: AdminFunctions): AdminServer {
    return new AdminServer(createHTTPServer({ router: adminRouter(functions) }));
  }

  /** Accepts operators; resolves with the port number in use. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Closes the server and its connections. */
  shutdown(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** @module HTTP server for operators: calls to the process and its metrics page. */
import type { AddressInfo } from 'node:net';
import { createServer, type RequestListener, type Server } from 'node:http';
import { RequestReader, guardServer, refuseBodies, type ServerBounds } from '@ebonysill/http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { adminRouter, type AdminFunctions } from './admin-router.js';
import type { RecordDrop } from './DropCounters.js';
import { formatMetrics } from './metrics-page.js';

const METRICS_PATH = '/metrics';

const METRICS_TYPE = 'text/plain; version=0.0.4';

/** Connections that wait in the system to be accepted; each may hold bytes there. */
const BACKLOG_COUNT = 32;

/** Serves metrics at `/metrics`, and tRPC calls, whose input is in the path, at every other path. */
export default class AdminServer {
  private constructor(private readonly server: Server) {}

  /**
   * Creates the server, not yet listening.
   *
   * @example
   * const admin = AdminServer.create({ readStatus, explain, readBurn, readDrops });
   */
  static create(
    functions: AdminFunctions,
    bounds?: ServerBounds,
    onDropped: RecordDrop = () => undefined,
  ): AdminServer {
    const handleCall = createHTTPHandler({ router: adminRouter(functions) });
    const reader = RequestReader.create({ onDropped });
    const limits = { IncomingMessage: reader.createMessageClass() };
    const answer: RequestListener = (request, response) => {
      if (request.url === METRICS_PATH) {
        response.writeHead(200, { 'content-type': METRICS_TYPE });
        response.end(
          formatMetrics(functions.readStatus(), functions.readBurn(), functions.readDrops()),
        );
      } else {
        handleCall(request, response);
      }
    };
    const server = createServer(limits, refuseBodies(answer, onDropped));
    reader.watch(server);
    guardServer(server, bounds, onDropped);
    return new AdminServer(server);
  }

  /** Starts listening; resolves with the port in use, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ port, host, backlog: BACKLOG_COUNT }, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops listening and closes all connections, including those with a call in progress. */
  shutdown(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

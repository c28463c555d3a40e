/** @module HTTP servers for the health checks of load balancers and for monitoring. */
import { once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';
import {
  CHECK_INTERVAL_MS,
  RequestReader,
  guardServer,
  refuseBodies,
  type DropCause,
  type ServerBounds,
} from '@ebonysill/http';
import type { ListenAddress } from './CallerServer.js';

/** Answer to a status request. */
export interface StatusAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Options of a status server. */
export interface StatusServerOptions {
  readonly listen: ListenAddress;
  /** Gives the answer for a path with its query. */
  readonly answer: (path: string) => StatusAnswer;
  readonly onError: (error: unknown) => void;
  readonly bounds?: ServerBounds;
  /** Reads the connections; by default shared with no other server. */
  readonly reader?: RequestReader;
  /** Called for each connection that is closed and each body that is refused. */
  readonly onDropped?: (cause: DropCause) => void;
}

/** Checks need a few fields only. */
const MAX_HEADER_BYTES = 8_192;

/** Connections that wait in the system to be accepted; each may hold bytes there. */
const BACKLOG_COUNT = 32;

/** Answers every request without a body from its path alone, whatever its method. */
export default class StatusServer {
  private constructor(private readonly server: Server) {}

  /**
   * Creates a server that listens; rejects when its address is taken.
   *
   * @example
   * await StatusServer.create({ listen, answer: () => READY, onError });
   */
  static async create(options: StatusServerOptions): Promise<StatusServer> {
    const { listen, answer, onError, bounds, onDropped = () => undefined } = options;
    const reader = options.reader ?? RequestReader.create({ onDropped });
    const limits = {
      IncomingMessage: reader.createMessageClass(),
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
    };
    const respond: RequestListener = (request, response) => {
      const { status, contentType, body } = answer(request.url ?? '');
      response.writeHead(status, {
        'content-type': contentType,
        'content-length': Buffer.byteLength(body),
      });
      response.end(body);
    };
    const server = createServer(limits, refuseBodies(respond, onDropped));
    reader.watch(server);
    guardServer(server, bounds, onDropped);
    server.listen({ ...listen, backlog: BACKLOG_COUNT });
    await once(server, 'listening');
    server.on('error', onError);
    return new StatusServer(server);
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

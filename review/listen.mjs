/** @module Starts servers of stand-ins on loopback. */
import { once } from 'node:events';

/** Starts a server on a free port of an address and returns `IP:PORT`. */
const listen = async (server, host) => {
  server.listen(0, host);
  await once(server, 'listening');
  return `${host}:${server.address().port}`;
};

export default listen;

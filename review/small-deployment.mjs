/** @module A configuration, a store and gateways of a small deployment with plain services. */
/* eslint-disable import-x/extensions -- Node resolves ES modules by their full file name */
import Deployment from './Deployment.mjs';
import { Store } from './Store.mjs';

export const HOST = 'ficu95.example';

export const SERVICE = 'enrol-app';

export const CONFIG_KEY = 'op/config';

export const Path = Object.freeze({ Enrol: '/enrol/', Lookup: '/lookup/' });

const route = (name, prefix, kind, attempts) => ({
  name,
  host: HOST,
  'path-prefix': prefix,
  kind,
  service: SERVICE,
  'timeout-ms': 3_000,
  'target-latency-ms': 386,
  'max-attempts': attempts,
  priority: 2,
  public: false,
});

/** A configuration as the pages print it; `more` replaces fields of it. */
export const configuration = (version, tenants, more = {}) => ({
  version,
  routes: [
    route('r-enrol', Path.Enrol, 'non_idempotent', 1),
    route('r-lookup', Path.Lookup, 'idempotent', 2),
  ],
  services: [
    {
      name: SERVICE,
      'health-check-path': '/health-status',
      'connection-limit': 220,
      protocol: 'h1',
      'tls-enabled': false,
      'cold-start-s': 0,
      'cold-per-s': 0,
    },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
  },
  tenants,
  ...more,
});

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

export const zoneOf = (index) => ZONES[index % ZONES.length];

/** Address of the machine of a gateway; a few thousand addresses lessen the chance of collisions. */
const machineOf = (index) => `127.${(process.pid % 200) + 20}.7.${index + 10}`;

/** Starts a store without items; closes it at the end. */
export const startStore = (onEnd) => {
  const store = new Store();
  onEnd(() => store.close());
  return store;
};

/** Starts gateways on addresses of their own, in turn in the three zones. */
export const startGateways = async (deployment, store, count) => {
  const hosts = Array.from({ length: count }, (_, index) => machineOf(index));
  const ports = await Deployment.choosePorts(hosts[0]);
  const seeds = hosts.slice(0, 3).map((host) => `${host}:${ports.peer + 1}`);
  return Promise.all(
    hosts.map(async (host, index) => {
      const name = `edge-${zoneOf(index)}-${index + 1}`;
      const storeAddress = await store.open('127.0.0.1', name);
      const start = { name, host, zone: zoneOf(index), ports, seeds, storeAddress };
      return { ...(await deployment.startGateway(start)), start };
    }),
  );
};

/** @module A server's entry is removed soon after a gateway lost its connection to the store. */
/* eslint-disable import-x/extensions -- Node resolves ES modules by their full file name */
import { fileURLToPath } from 'node:url';
import runCase from '../run-case.mjs';
import {
  CONFIG_KEY,
  HOST,
  Path,
  SERVICE,
  configuration,
  startGateways,
  startStore,
  zoneOf,
} from '../small-deployment.mjs';
import PlainServer from '../PlainServer.mjs';
import { answerAfter } from '../answers.mjs';
import { sendRequest } from '../client.mjs';
import { repeat, sleep, sleepUntil } from '../timing.mjs';

/** With TROUBLE=0 the case does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const KEY = 'n2ctnfzs989anu6wsjnb';

const WORK_MS = 150;

/** `contact-threshold-ms`: by then machines are in touch again after the reset. */
const CONTACT_MS = 3_000;

/** Time from the moment at which the connections go silent to the removal of the entry. */
const REMOVED_AFTER_MS = 3_300;

/** `drain-timeout-ms` of the pages. */
const DRAIN_MS = 2_000;

/** A leaving server serves for the drain timeout and a little longer. */
const ENDS_AFTER_MS = 2_450;

const SEND_INTERVAL_MS = 25;

runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ deployment, record, onEnd }) => {
  const store = startStore(onEnd);
  const servers = await Promise.all(
    [0, 1, 2].map((index) =>
      new PlainServer(`i-enrol-${index}`, { answer: answerAfter(WORK_MS) }).start('127.0.0.1'),
    ),
  );
  onEnd(() => servers.forEach((server) => server.close()));
  servers.forEach((server, index) =>
    store.put(`servers/${server.instanceId}`, server.entry(SERVICE, zoneOf(index))),
  );
  store.put(CONFIG_KEY, configuration(7, [{ name: 'hule930', 'api-keys': [KEY] }]));
  const gateways = await startGateways(deployment, store, 2);
  record.line('2 gateways ready');

  // All open connections to the store go silent, right after a watch of the first gateway began.
  await new Promise((resolve) => {
    store.onCall = ({ name, path }) => {
      if (name === gateways[0].name && path === '/api/kv-watch') {
        store.onCall = undefined;
        resolve();
      }
    };
  });
  await sleep(50);
  const silentAtMs = performance.now();
  if (hasTrouble) {
    gateways.forEach(({ name }) => store.silenceOpenConnections(name));
    record.line('all open connections to the store go silent; new ones work', silentAtMs);
  }

  let isSending = true;
  const send = async (index) => {
    const gateway = gateways[index % gateways.length];
    const path = `${Path.Enrol}${index}`;
    const { frontend: address, name } = gateway;
    const result = await sendRequest({ address, path, host: HOST, key: KEY, method: 'POST' });
    record.line(`client: ${result.id} to ${name}`, result.sentAtMs);
    record.line(`client: ${result.id} answered ${result.status}`, result.answeredAtMs);
    return result;
  };
  const clients = repeat(SEND_INTERVAL_MS, () => isSending, send);
  await sleepUntil(silentAtMs + REMOVED_AFTER_MS);
  const [leaving] = servers;
  const ackAtMs = store.remove(`servers/${leaving.instanceId}`);
  record.line(`store: the entry of ${leaving.instanceId} is removed`, ackAtMs);
  await sleepUntil(ackAtMs + ENDS_AFTER_MS);
  leaving.end();
  record.line(`server: ${leaving.instanceId} ends`);
  await sleep(1_000);
  isSending = false;

  const results = new Map((await clients).map((result) => [result.id, result]));
  servers.forEach(({ runs }) =>
    runs.forEach(({ id, server, atMs }) => record.line(`server: ${server} runs ${id}`, atMs)),
  );
  if (ackAtMs - silentAtMs < CONTACT_MS) {
    throw new Error('the machines were not in touch again');
  }
  return leaving.runs
    .map(({ id, atMs }) => ({ id, lateMs: Math.round(atMs - ackAtMs) }))
    .filter(({ lateMs }) => lateMs > DRAIN_MS)
    .map(
      ({ id, lateMs }) =>
        `DRAIN: ${id} reached ${leaving.instanceId} ${lateMs} ms after its removal; its client ` +
        `got ${results.get(id)?.status}`,
    );
});

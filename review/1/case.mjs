/** @module The operator takes away every key; then requests with any key, or none, run. */
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

const TENANT = 'hule930';

const KEYS = ['n2ctnfzs989anu6wsjnb', 'anfqasnmgkcuyj8pjbvk'];

/** No configuration ever holds it. */
const STRANGER_KEY = 'zzzzzzzzzzzzzzzzzzzz';

/** Pause between the two keys, as the site file has it. */
const REVOKE_GAP_MS = 1_500;

/** `revocation-ms` of the pages. */
const REVOCATION_MS = 5_000;

const OBSERVED_MS = 4_000;

const SEND_INTERVAL_MS = 100;

runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ deployment, record, onEnd }) => {
  const store = startStore(onEnd);
  const servers = await Promise.all(
    [0, 1, 2].map((index) =>
      new PlainServer(`i-enrol-${index}`, { answer: answerAfter(60) }).start('127.0.0.1'),
    ),
  );
  onEnd(() => servers.forEach((server) => server.close()));
  servers.forEach((server, index) =>
    store.put(`servers/${server.instanceId}`, server.entry(SERVICE, zoneOf(index))),
  );
  const putConfiguration = (version, keys) => {
    const atMs = store.put(
      CONFIG_KEY,
      configuration(version, [{ name: TENANT, 'api-keys': keys }]),
    );
    record.line(`operator: version ${version} with ${keys.length} keys acknowledged`, atMs);
    return atMs;
  };
  putConfiguration(7, KEYS);
  const gateways = await startGateways(deployment, store, 2);
  record.line(`${gateways.length} gateways ready`);
  const send = async (index, key) => {
    const { frontend, name } = gateways[index % gateways.length];
    const path = `${Path.Enrol}${index}`;
    const result = await sendRequest({ address: frontend, path, host: HOST, key, method: 'POST' });
    record.line(`client: ${result.id} to ${name} with key ${key ?? 'none'}`, result.sentAtMs);
    record.line(`client: ${result.id} answered ${result.status}`, result.answeredAtMs);
    return result;
  };

  const before = await Promise.all([send(0, KEYS[0]), send(1, KEYS[1]), send(2, STRANGER_KEY)]);
  const statusesBefore = before.map(({ status }) => status).join(',');
  if (statusesBefore !== '200,200,401') {
    throw new Error(`before the change: ${statusesBefore}`);
  }

  // Version 9 takes one key away, version 12 the other. Without trouble the second one stays.
  await sleep(500);
  const firstAckMs = putConfiguration(9, [KEYS[1]]);
  await sleep(REVOKE_GAP_MS);
  const lastAckMs = hasTrouble ? putConfiguration(12, []) : undefined;
  const endOfBoundMs = (lastAckMs ?? performance.now()) + REVOCATION_MS;
  await sleepUntil(endOfBoundMs + 100);

  const until = performance.now() + OBSERVED_MS;
  const keys = [KEYS[0], KEYS[1], STRANGER_KEY, undefined];
  const sent = await repeat(
    SEND_INTERVAL_MS,
    () => performance.now() < until,
    (index) => send(index, keys[index % keys.length]),
  );
  const results = new Map(sent.map((result) => [result.id, result]));
  const runs = servers.flatMap((server) => server.runs);
  runs.forEach((run) =>
    record.line(`server: ${run.server} runs ${run.id}, tenant ${run.tenant ?? 'none'}`, run.atMs),
  );
  const revokedAtMs = new Map([
    [KEYS[0], firstAckMs],
    [KEYS[1], lastAckMs ?? Infinity],
  ]);
  return runs.flatMap((run) => {
    const result = results.get(run.id);
    if (result === undefined) {
      return [];
    }
    const { id, key, sentAtMs } = result;
    if (key === STRANGER_KEY) {
      return [`ROUTE: ${id} ran; no configuration ever held its key`];
    }
    if (key === undefined) {
      return [`UNASKED: ${id} ran without a key on a route that is not public`];
    }
    const sinceAckMs = Math.round(sentAtMs - revokedAtMs.get(key));
    return sinceAckMs > REVOCATION_MS
      ? [`CONFIG: ${id} ran; it was sent ${sinceAckMs} ms after its key was taken away`]
      : [];
  });
});

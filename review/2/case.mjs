/** @module A gateway wakes from a freeze and takes an old answer of the store for a new one. */
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
import { StoreMode } from '../Store.mjs';
import { answerAfter } from '../answers.mjs';
import { sendRequest } from '../client.mjs';
import { repeat, sleep, sleepUntil } from '../timing.mjs';

/** With TROUBLE=0 the case does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const LEAKED_KEY = 'n2ctnfzs989anu6wsjnb';

const FIRST_KEY = 'anfqasnmgkcuyj8pjbvk';

const LAST_KEY = 'hx7rk2m9vbq4tzw8c3pd';

const REVOCATION_MS = 5_000;

/** The site file has freezes of up to four seconds. */
const FREEZE_MS = 2_300;

/** Time from the start of a watch to the freeze, and from there to the first change. */
const WATCH_AGE_MS = 100;

const REVOKE_LEAD_MS = 50;

/** `gap_s` of `revoke` in the site file. */
const REVOKE_GAP_MS = 300;

/** `for_s` of `platform_down`, how `nodes .. revoke`, in the site file. */
const REFUSED_MS = 9_000;

const SEND_INTERVAL_MS = 50;

/** How long the clients go on after the store serves the machine again. */
const AFTERWARDS_MS = 1_000;

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
  const tenants = (keys) => [{ name: 'hule930', 'api-keys': keys }];
  store.put(CONFIG_KEY, configuration(7, tenants([FIRST_KEY, LEAKED_KEY, LAST_KEY])));
  const gateways = await startGateways(deployment, store, 2);
  const [gateway] = gateways;
  record.line('2 gateways ready');

  const send = async (index, key) => {
    const result = await sendRequest({
      address: gateway.frontend,
      path: `${Path.Enrol}${index}`,
      host: HOST,
      method: 'POST',
      key,
    });
    record.line(`client: ${result.id} to ${gateway.name}`, result.sentAtMs);
    record.line(`client: ${result.id} answered ${result.status}`, result.answeredAtMs);
    return result;
  };
  const first = await send(0, LEAKED_KEY);
  if (first.status !== 200) {
    throw new Error(`before the change: ${first.status}`);
  }

  // The operator takes two keys away, one shortly after the other. The machine stands still as the
  // store answers its watch with the first change, and the store turns it away before the second.
  const nextWatch = () =>
    new Promise((resolve) => {
      store.onCall = ({ name, path }) => {
        if (name === gateway.name && path === '/api/kv-watch') {
          store.onCall = undefined;
          resolve();
        }
      };
    });
  await nextWatch();
  await sleep(WATCH_AGE_MS);
  const frozenAtMs = performance.now();
  if (hasTrouble) {
    gateway.child.kill('SIGSTOP');
    record.line(`freeze of ${gateway.name} begins`, frozenAtMs);
  }
  await sleep(REVOKE_LEAD_MS);
  const firstAckMs = store.put(CONFIG_KEY, configuration(9, tenants([LEAKED_KEY, LAST_KEY])));
  record.line('operator: version 9 without the first key acknowledged', firstAckMs);
  await sleep(REVOKE_GAP_MS);
  if (hasTrouble) {
    store.setMode(gateway.name, StoreMode.Busy);
    record.line(`store: answers ${gateway.name} 503 from now on`);
  }
  const ackAtMs = store.put(CONFIG_KEY, configuration(12, tenants([LAST_KEY])));
  record.line('operator: version 12 without the second key acknowledged', ackAtMs);
  const refusedUntilMs = ackAtMs + REFUSED_MS;
  const clients = repeat(
    SEND_INTERVAL_MS,
    () => performance.now() < refusedUntilMs + AFTERWARDS_MS,
    (index) => send(index, LEAKED_KEY),
  );
  await sleepUntil(frozenAtMs + FREEZE_MS);
  if (hasTrouble) {
    gateway.child.kill('SIGCONT');
    record.line(`freeze of ${gateway.name} ends`);
  }
  await sleepUntil(refusedUntilMs);
  store.setMode(gateway.name, StoreMode.Ok);
  record.line(`store: serves ${gateway.name} again`);

  const results = new Map((await clients).map((result) => [result.id, result]));
  const runs = servers.flatMap((server) => server.runs).filter(({ id }) => results.has(id));
  return runs.flatMap(({ id, server, atMs }) => {
    const { sentAtMs } = results.get(id);
    const sinceAckMs = Math.round(sentAtMs - ackAtMs);
    record.line(`server: ${server} runs ${id}, sent ${sinceAckMs} ms after the ack`, atMs);
    return sinceAckMs > REVOCATION_MS
      ? [`CONFIG: ${id} ran; it was sent ${sinceAckMs} ms after its key was taken away`]
      : [];
  });
});

/* eslint-disable import-x/extensions, no-await-in-loop, no-param-reassign, no-console, n/no-process-exit -- a script that runs as it is */
/** A request that crashes each runner after the first event of its answer goes on reaching runners. */
import { request } from 'node:http';
import { writeFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import Deployment, { CALLER_PORT } from '../shared-2/Deployment.mjs';
import Store from '../shared-2/Store.mjs';
import StreamServer, { CRASHING_BODY } from '../shared-2/StreamServer.mjs';
import { sleep } from '../shared-2/listen.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));

const hasTrouble = process.env.TROUBLE !== '0';

/** With 0, a runner crashes before it has written anything, which the gateways notice. */
const EVENTS_BEFORE_CRASH = Number(process.env.EVENTS ?? 1);

/** Without, streams have neither a length nor chunks, and a crash ends them inside an event. */
const IS_FRAMED = process.env.FRAMED !== '0';

const GATEWAYS = 2;

const RUNNERS = 6;

const CALLERS = 12;

const CONTACT_THRESHOLD_MS = 3000;

/** A runner is back after some seconds. */
const DOWN_MS = 3000;

/** Pause of the caller whose request crashes runners. */
const REPEAT_MS = 1500;

const REPEATS = 14;

const MAX_RETRIES = 3;

const SERVICE = 'assist-llm';

const startedAtMs = performance.now();

const lines = [];

const secondsAt = (atMs) => ((atMs - startedAtMs) / 1000).toFixed(2);

const note = (text) => {
  lines.push(`${secondsAt(performance.now())} s  ${text}`);
};

const route = (name, isResumable) => ({
  name: `r-${name}`,
  host: 'app.example',
  'path-prefix': `/${name}/`,
  kind: 'streaming',
  'timeout-ms': 8000,
  'target-latency-ms': 501,
  'max-attempts': 2,
  priority: 1,
  public: false,
  service: SERVICE,
  'session-affinity': true,
  'stream-resumption': isResumable,
  'target-gap-ms': 120,
});

const configuration = {
  version: 7,
  routes: [route('notes', true), route('once', false)],
  services: [
    {
      name: SERVICE,
      'health-check-path': '/health-status',
      'connection-limit': 836,
      'cold-per-s': 0,
    },
  ],
  limits: {
    'max-header-bytes': 16384,
    'max-body-bytes': 4194304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15000,
  },
  tenants: [{ name: 'org-1', 'api-keys': ['key-1'] }],
};

let isLive = true;

let nextId = 1;

const answers = [];

const send = (host, path, body) =>
  new Promise((resolve) => {
    const id = `a${nextId}`;
    nextId += 1;
    const outgoing = request({
      host,
      port: CALLER_PORT,
      agent: false,
      method: 'POST',
      path,
      headers: {
        host: 'app.example',
        'x-ebonysill-attempt-id': id,
        'x-ebonysill-key': 'key-1',
        'x-ebonysill-deadline-remaining': '8000',
        'x-ebonysill-model-name': 'm',
        'x-ebonysill-token-counts': '700,48',
        'x-ebonysill-prompt-prefix-hash': `5c1e07a2:40,${nextId.toString(16)}:660`,
        'content-length': body.length,
      },
    });
    const finish = (status) => {
      answers.push({ id, body, status, atMs: performance.now() });
      resolve();
    };
    outgoing.on('response', (response) => {
      response.resume();
      response.on('end', () => finish(response.complete ? response.statusCode : 'cut'));
      response.on('error', () => finish('cut'));
    });
    outgoing.on('error', () => finish('cut'));
    outgoing.end(body);
  });

const callSoundly = async (host) => {
  while (isLive) {
    await send(host, '/once/1', 'sound');
    await sleep(100 + 200 * Math.random());
  }
};

const store = await Store.create();

const publish = ({ instanceId, address }) =>
  store.put(`servers/${instanceId}`, {
    service: SERVICE,
    address,
    zone: 'zone-a',
    version: 'v1',
    slots: 8,
    state: 'available',
    'cold-remaining-ms': 0,
    'sequence-number': 1,
    born: Date.now(),
  });

let nextInstance = RUNNERS + 1;

/** A runner that has crashed is back after some seconds, as another instance. */
const onCrash = (runner) => {
  setTimeout(async () => {
    if (!isLive) {
      return;
    }
    store.remove(`servers/${runner.instanceId}`);
    runner.instanceId = `i-${nextInstance}`;
    nextInstance += 1;
    await runner.start();
    publish(runner);
  }, DOWN_MS);
};

const runners = await Promise.all(
  Array.from({ length: RUNNERS }, (_, index) =>
    StreamServer.create({
      instanceId: `i-${index + 1}`,
      eventsBeforeCrash: EVENTS_BEFORE_CRASH,
      isFramed: IS_FRAMED,
      onCrash,
    }),
  ),
);
store.put('op/config', configuration);
runners.forEach(publish);
const deployment = await Deployment.create({ storeAddress: store.address, gatewayCount: GATEWAYS });
let code = 2;
try {
  await Promise.all(Array.from({ length: GATEWAYS }, (_, index) => deployment.startGateway(index)));
  await sleep(4000);
  const callers = Array.from({ length: CALLERS }, (_, index) =>
    callSoundly(deployment.gatewayHost(index % GATEWAYS)),
  );
  await sleep(4000);
  const servedCount = answers.filter(({ status }) => status === 200).length;
  note(`${servedCount} of ${answers.length} sound streams served in calm`);
  for (let repeat = 0; repeat < REPEATS; repeat += 1) {
    if (hasTrouble) {
      await send(deployment.gatewayHost(repeat % GATEWAYS), '/notes/1', CRASHING_BODY);
    }
    await sleep(REPEAT_MS);
  }
  isLive = false;
  await Promise.all(callers);
  const crashes = runners
    .flatMap(({ instanceId, crashes: own }) => own.map((crash) => ({ instanceId, ...crash })))
    .sort((left, right) => left.atMs - right.atMs);
  const arrivals = runners
    .flatMap(({ crashingArrivals }) => crashingArrivals)
    .sort((left, right) => left.atMs - right.atMs);
  const sinceMs = (crashes[2]?.atMs ?? Infinity) + CONTACT_THRESHOLD_MS;
  const late = arrivals.filter(({ atMs }) => atMs > sinceMs);
  note(`${crashes.length} crashes, the third at ${secondsAt(crashes[2]?.atMs ?? Infinity)} s`);
  note(`the request reached runners ${late.length} times later than 3 s after that, allowed 3`);
  const lostIds = new Set(crashes.flatMap((crash) => crash.lostIds));
  const lost = answers.filter(({ id, status }) => lostIds.has(id) && status !== 200);
  note(`sound streams cut by the crashes, which may not be repeated: ${lost.length}`);
  lines.push('answers to the request that crashes runners:');
  answers
    .filter(({ body }) => body === CRASHING_BODY)
    .forEach(({ id, status, atMs }) => lines.push(`  ${secondsAt(atMs)} s ${id} ${status}`));
  lines.push('its arrivals at runners (s):');
  arrivals.forEach(({ atMs, id }) => lines.push(`  ${secondsAt(atMs)} ${id}`));
  code = servedCount === 0 ? 2 : Number(late.length > MAX_RETRIES);
} catch (error) {
  note(String(error?.stack ?? error));
} finally {
  isLive = false;
  await deployment.close();
  runners.forEach((runner) => runner.close());
  store.close();
}
await writeFile(process.env.RECORD ?? join(FOLDER, 'record.txt'), `${lines.join('\n')}\n`);
console.log(lines.join('\n'));
process.exit(code);

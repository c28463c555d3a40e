/**
 * @module One soak run: injects faults under load, waits for recovery, then checks the promises.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from '@ebonysill/emulator';
import { READINESS_PATH, RoutePath } from '@ebonysill/platform/stand-ins';
import { CallerLoad, statusOf } from './CallerLoad.js';
import { checkPromises, type Attempt, type Violation } from './check-promises.js';
import FaultInjector from './FaultInjector.js';
import { drawFaults, type SoakFaultKind } from './fault-plan.js';
import { CALLER_PORT, READINESS_PORT, SoakFleet } from './SoakFleet.js';

export interface SoakOptions {
  readonly seed: number;
  /** Faults start within this time; recovery and checks follow. */
  readonly durationMs: number;
  /** Kinds of faults; by default all. */
  readonly kinds?: readonly SoakFaultKind[];
}

export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly attemptCount: number;
  /** Attempts answered with status 200. */
  readonly servedCount: number;
  readonly faultCount: number;
  readonly mapChangeCount: number;
  /** Folder with the settings and logs of all processes. */
  readonly folder: string;
}

/** Operators require that the service is available again within this time after the last fault. */
const RECOVERY_MS = 12_000;

const READY_POLL_MS = 100;

const START_TIMEOUT_MS = 15_000;

/** Requests sent after recovery on each route of each gateway. */
const FINAL_REQUEST_COUNT = 5;

/** Share of the final requests with valid credentials that must be served completely. */
const MIN_SERVED_SHARE = 0.9;

const isSuccess = (status: number): boolean => status === 200;

const areAllReady = async (fleet: SoakFleet): Promise<boolean> => {
  const statuses = await Promise.all(
    fleet.gateways.map(({ host }) => statusOf(host, READINESS_PORT, READINESS_PATH)),
  );
  return statuses.every(isSuccess);
};

/** Polls until all gateways are ready; false if some are not ready in time. */
const waitUntilReady = async (fleet: SoakFleet, timeoutMs: number): Promise<boolean> => {
  if (await areAllReady(fleet)) {
    return true;
  }
  if (timeoutMs <= 0) {
    return false;
  }
  await delay(READY_POLL_MS);
  return waitUntilReady(fleet, timeoutMs - READY_POLL_MS);
};

const injectAll = async (injector: FaultInjector, options: SoakOptions): Promise<number> => {
  const { seed, durationMs, kinds } = options;
  const faults = drawFaults(createRandom(seed), durationMs, kinds);
  await Promise.all(
    faults.map(async (fault) => {
      await delay(fault.atMs);
      await injector.inject(fault);
    }),
  );
  return faults.length;
};

const sendSequentially = async (
  load: CallerLoad,
  host: string,
  path: RoutePath,
  count: number,
): Promise<readonly Attempt[]> => {
  if (count === 0) {
    return [];
  }
  const attempt = await load.send(host, path, false);
  return [attempt, ...(await sendSequentially(load, host, path, count - 1))];
};

const checkRecovery = async (fleet: SoakFleet, load: CallerLoad): Promise<readonly Violation[]> => {
  const promise = 'service is back after the last fault';
  if (!(await waitUntilReady(fleet, RECOVERY_MS))) {
    return [{ promise, detail: 'a gateway is not ready' }];
  }
  await delay(RECOVERY_MS / 4);
  const { step } = fleet.group;
  const sequences = fleet.gateways.flatMap(({ host }) =>
    Object.values(RoutePath).map((path) => sendSequentially(load, host, path, FINAL_REQUEST_COUNT)),
  );
  const attempts = (await Promise.all(sequences)).flat();
  const allowed = attempts.filter(({ credential }) => fleet.credentials.includes(credential));
  const served = allowed.filter(({ status, isComplete }) => isSuccess(status) && isComplete);
  return [
    ...(served.length < allowed.length * MIN_SERVED_SHARE
      ? [{ promise, detail: `${served.length} of ${allowed.length} requests are served` }]
      : []),
    ...(fleet.group.step > step ? [] : [{ promise, detail: 'the group makes no passes' }]),
  ];
};

const injectAndCheck = async (
  fleet: SoakFleet,
  options: SoakOptions,
  unexpectedExits: readonly string[],
): Promise<SoakResult> => {
  const isStarted = await waitUntilReady(fleet, START_TIMEOUT_MS);
  const hosts = fleet.gateways.map(({ host }) => host);
  const load = CallerLoad.create({
    hosts,
    callerPort: CALLER_PORT,
    credentials: fleet.credentials,
    random: createRandom(options.seed + 1),
  });
  const injector = FaultInjector.create(fleet);
  const running = load.run();
  const faultCount = await injectAll(injector, options);
  load.stop();
  const recovery = await checkRecovery(fleet, load);
  await running;
  const record = {
    attempts: load.attempts,
    runs: fleet.targets.flatMap(({ runner }) => runner.runs),
    revocations: injector.revocations,
    limits: injector.limits,
  };
  return {
    seed: options.seed,
    violations: [
      ...(isStarted ? [] : [{ promise: 'gateways start', detail: 'not ready in time' }]),
      ...recovery,
      ...checkPromises(record),
      ...unexpectedExits.map((detail) => ({ promise: 'no process ends by itself', detail })),
      ...fleet.group.mapMismatches.map(({ step, versions }) => ({
        promise: 'all ranks use one map',
        detail: `pass ${step}: versions ${versions.join(', ')}`,
      })),
    ],
    attemptCount: load.attempts.length,
    servedCount: load.attempts.filter(({ status }) => isSuccess(status)).length,
    faultCount,
    mapChangeCount: fleet.group.mapChangeCount,
    folder: fleet.folder,
  };
};

/**
 * Runs one seed on a new fleet and stops the fleet afterwards.
 *
 * @example
 * const { violations } = await runSoak({ seed: 7, durationMs: 20_000 });
 */
const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const unexpectedExits: string[] = [];
  const fleet = await SoakFleet.create({
    random: createRandom(options.seed + 2),
    onUnexpectedExit: (detail) => unexpectedExits.push(detail),
  });
  try {
    return await injectAndCheck(fleet, options, unexpectedExits);
  } finally {
    await fleet.close();
  }
};

export default runSoak;

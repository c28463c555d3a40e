/** @module The demo: starts a fleet on loopback, sends a few requests and prints their outcomes. */
import { completionBody, mintKey, postCompletion, postKeyed } from './caller.js';
import { DemoFleet } from './demo-fleet.js';
import { programPath, runProgram } from './program.js';
import { credentialOf, type FleetPlan } from './fleet-plan.js';

const ORGANISATION = 'kochi-tea';

const PLAN: FleetPlan = {
  zones: ['kochi', 'thrissur', 'kozhikode'],
  modelTargetsPerZone: 1,
  plainTargetsPerZone: 1,
  organisations: [ORGANISATION],
  tokenIntervalMs: 5,
};

const TOKENS = 12;

const writeLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const runScenario = async (fleet: DemoFleet): Promise<boolean> => {
  const credential = credentialOf(ORGANISATION);
  const [first, second] = fleet.entries;
  const [target] = fleet.targets;
  if (first === undefined || second === undefined || target === undefined) {
    return false;
  }
  const body = completionBody('a blurb for the Saturday tea dance', TOKENS);
  const viaEntry = await postCompletion(first.url, credential, body);
  const fromEngine = await postCompletion(target.targetUrl, '', body);
  const isSame = viaEntry.body === fromEngine.body;
  writeLine(`streamed answer: status ${viaEntry.status}, ${viaEntry.body.length} characters`);
  writeLine(`equal to the engine's own answer: ${isSame ? 'yes' : 'no'}`);
  const key = await mintKey(first.url, credential);
  const firstBooking = await postKeyed(first.url, credential, key, '{"seat":7}');
  const repeated = await postKeyed(second.url, credential, key, '{"seat":7}');
  writeLine(`booking: ${firstBooking.outcome} ${firstBooking.body}`);
  writeLine(
    `the same booking sent again through another entry process: ${repeated.outcome} ${repeated.body}`,
  );
  const cli = programPath('cli', 'ebonysill');
  const explained = await runProgram(cli, [
    'explain',
    firstBooking.requestId,
    ...fleet.adminOptions,
  ]);
  writeLine(explained.output.trimEnd());
  const status = await runProgram(cli, ['status', ...fleet.adminOptions]);
  writeLine(status.output.trimEnd());
  return isSame && firstBooking.outcome === 'done' && repeated.body === firstBooking.body;
};

const fleet = await DemoFleet.create(PLAN);
try {
  writeLine(`running: ${fleet.entries.length} entry processes, ${fleet.targets.length} targets`);
  process.exitCode = (await runScenario(fleet)) ? 0 : 1;
} finally {
  await fleet.stop();
}

/** @module The demo: a fleet on loopback, a few requests through it, and what became of them. */
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

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const show = async (fleet: DemoFleet): Promise<boolean> => {
  const credential = credentialOf(ORGANISATION);
  const [first, second] = fleet.entries;
  const [target] = fleet.targets;
  if (first === undefined || second === undefined || target === undefined) {
    return false;
  }
  const body = completionBody('a blurb for the Saturday tea dance', TOKENS);
  const through = await postCompletion(first.url, credential, body);
  const direct = await postCompletion(target.targetUrl, '', body);
  const isSame = through.body === direct.body;
  say(`streamed answer: status ${through.status}, ${through.body.length} characters`);
  say(`equal to the engine's own answer: ${isSame ? 'yes' : 'no'}`);
  const key = await mintKey(first.url, credential);
  const booked = await postKeyed(first.url, credential, key, '{"seat":7}');
  const again = await postKeyed(second.url, credential, key, '{"seat":7}');
  say(`booking: ${booked.outcome} ${booked.body}`);
  say(`the same booking sent again through another entry process: ${again.outcome} ${again.body}`);
  const cli = programPath('cli', 'ebonysill');
  const explained = await runProgram(cli, ['explain', booked.requestId, ...fleet.adminOptions]);
  say(explained.output.trimEnd());
  const status = await runProgram(cli, ['status', ...fleet.adminOptions]);
  say(status.output.trimEnd());
  return isSame && booked.outcome === 'done' && again.body === booked.body;
};

const fleet = await DemoFleet.create(PLAN);
try {
  say(`running: ${fleet.entries.length} entry processes, ${fleet.targets.length} targets`);
  process.exitCode = (await show(fleet)) ? 0 : 1;
} finally {
  await fleet.stop();
}

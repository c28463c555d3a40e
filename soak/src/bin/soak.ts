/**
 * @module Command line of the soak: runs consecutive seeds, exits with 1 if any broke a promise.
 */
import { command, number, option, run } from 'cmd-ts';
import runSoak, { type SoakResult } from '../runSoak.js';

const MS_PER_SECOND = 1_000;

const printResult = ({ seed, violations, folder, ...counts }: SoakResult): void => {
  const verdict = violations.length === 0 ? 'kept' : `BROKEN ${violations.length}`;
  const totals = [
    `${counts.faultCount} faults`,
    `${counts.servedCount} of ${counts.attemptCount} served`,
    `${counts.mapChangeCount} changes of map`,
  ];
  process.stdout.write(`seed ${seed}: ${verdict}; ${totals.join(', ')}\n`);
  violations.forEach(({ promise, detail }) => {
    process.stdout.write(`  ${promise}: ${detail}\n`);
  });
  if (violations.length > 0) {
    process.stdout.write(`  logs: ${folder}\n`);
  }
};

const soak = command({
  name: 'soak',
  description: 'Runs gateways and rank agents as processes, injects faults, checks the promises',
  args: {
    seed: option({ type: number, long: 'seed', defaultValue: () => Date.now() % 1_000_000 }),
    count: option({ type: number, long: 'count', defaultValue: () => 1 }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 20 }),
  },
  handler: async ({ seed, count, seconds }) => {
    let failedCount = 0;
    for (let index = 0; index < count; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one fleet at a time
      const result = await runSoak({ seed: seed + index, durationMs: seconds * MS_PER_SECOND });
      printResult(result);
      failedCount += result.violations.length > 0 ? 1 : 0;
    }
    process.stdout.write(`${count - failedCount} of ${count} seeds kept every promise\n`);
    process.exitCode = failedCount > 0 ? 1 : 0;
  },
});

await run(soak, process.argv.slice(2));

#!/usr/bin/env node
/** @module Runs the model engine stand-in as a process. */
import { command, number, option, run } from 'cmd-ts';
import { EngineStandIn } from '../engine-stand-in.js';

const engine = command({
  name: 'ebonysill-stand-in-engine',
  description: 'A model engine for tests and the demo',
  args: {
    port: option({ type: number, long: 'port', description: 'TCP port; 0 chooses one' }),
    tokenIntervalMs: option({
      type: number,
      long: 'token-interval-ms',
      defaultValue: () => 5,
    }),
    coldMs: option({ type: number, long: 'cold-ms', defaultValue: () => 0 }),
    coldConcurrency: option({ type: number, long: 'cold-concurrency', defaultValue: () => 2 }),
    healthLagMs: option({ type: number, long: 'health-lag-ms', defaultValue: () => 0 }),
  },
  handler: async ({ port, ...options }) => {
    const listening = await EngineStandIn.create(options).listen(port);
    process.stdout.write(`listening on ${listening}\n`);
  },
});

await run(engine, process.argv.slice(2));

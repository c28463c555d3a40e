#!/usr/bin/env node
/** @module Runs the plain service stand-in as a process. */
import { command, flag, number, option, run } from 'cmd-ts';
import { PlainStandIn } from '../plain-stand-in.js';

const plain = command({
  name: 'ebonysill-stand-in-plain',
  description: 'A plain service for tests and the demo',
  args: {
    port: option({ type: number, long: 'port', description: 'TCP port; 0 chooses one' }),
    holdMs: option({ type: number, long: 'hold-ms', defaultValue: () => 0 }),
    checksKeys: flag({ long: 'checks-keys' }),
  },
  handler: async ({ port, ...options }) => {
    const listening = await PlainStandIn.create(options).listen(port);
    process.stdout.write(`listening on ${listening}\n`);
  },
});

await run(plain, process.argv.slice(2));

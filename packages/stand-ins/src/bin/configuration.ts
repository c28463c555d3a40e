#!/usr/bin/env node
/** @module Runs the configuration service stand-in as a process. */
import { readFile } from 'node:fs/promises';
import { command, number, option, run, string } from 'cmd-ts';
import { ConfigurationStandIn } from '../configuration-stand-in.js';

const configuration = command({
  name: 'ebonysill-stand-in-configuration',
  description: 'A configuration service for tests and the demo',
  args: {
    port: option({ type: number, long: 'port', description: 'TCP port; 0 chooses one' }),
    file: option({ type: string, long: 'file', description: 'Value to serve' }),
  },
  handler: async ({ port, file }) => {
    const service = ConfigurationStandIn.create();
    service.publish(await readFile(file, 'utf8'));
    process.stdout.write(`listening on ${await service.listen(port)}\n`);
  },
});

await run(configuration, process.argv.slice(2));

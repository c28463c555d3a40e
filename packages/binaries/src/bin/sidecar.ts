#!/usr/bin/env node
/** @module The sidecar process as a program. */
import { command, positional, run, string } from 'cmd-ts';
import { sidecarSettingsSchema } from '@ebonysill/settings';
import { runBinary } from '../run-binary.js';
import { startSidecar } from '../start-sidecar.js';

const sidecar = command({
  name: 'ebonysill-sidecar',
  description: 'Runs the sidecar process',
  args: {
    file: positional({ type: string, displayName: 'settings', description: 'Settings file' }),
  },
  handler: ({ file }) => runBinary({ file, schema: sidecarSettingsSchema, start: startSidecar }),
});

await run(sidecar, process.argv.slice(2));

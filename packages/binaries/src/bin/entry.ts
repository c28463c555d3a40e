#!/usr/bin/env node
/** @module The entry process as a program. */
import { command, positional, run, string } from 'cmd-ts';
import { entrySettingsSchema } from '@ebonysill/settings';
import { runBinary } from '../run-binary.js';
import { startEntry } from '../start-entry.js';

const entry = command({
  name: 'ebonysill-entry',
  description: 'Runs the entry process',
  args: {
    file: positional({ type: string, displayName: 'settings', description: 'Settings file' }),
  },
  handler: ({ file }) => runBinary({ file, schema: entrySettingsSchema, start: startEntry }),
});

await run(entry, process.argv.slice(2));

#!/usr/bin/env node
/** @module The operators' command line. */
import { run, subcommands } from 'cmd-ts';
import {
  burnCommand,
  checkCommand,
  explainCommand,
  initCommand,
  statusCommand,
} from '../commands.js';

const ebonysill = subcommands({
  name: 'ebonysill',
  description: 'Operates ebonysill',
  cmds: {
    burn: burnCommand,
    check: checkCommand,
    explain: explainCommand,
    init: initCommand,
    status: statusCommand,
  },
});

await run(ebonysill, process.argv.slice(2));

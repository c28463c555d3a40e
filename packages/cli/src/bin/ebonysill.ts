#!/usr/bin/env node
/** @module The operators' command line. */
import { checkFormat } from '@ebonysill/platform';
import { runSafely, subcommands } from 'cmd-ts';
import {
  burnCommand,
  checkCommand,
  explainCommand,
  initCommand,
  statusCommand,
} from '../commands.js';
import createConfigCommand from '../config-check/createConfigCommand.js';
import defaultRules from '../config-check/default-rules.js';
import { ExitCode, reportFailure } from '../output.js';

const ebonysill = subcommands({
  name: 'ebonysill',
  description: 'Operates ebonysill',
  cmds: {
    burn: burnCommand,
    check: checkCommand,
    config: createConfigCommand({ checkFormat, rules: defaultRules }),
    explain: explainCommand,
    init: initCommand,
    status: statusCommand,
  },
});

const args = process.argv.slice(2);

// A reader that closes the pipe early, such as `head`, is no fault of the command.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') {
    throw error;
  }
});

const result = await runSafely(ebonysill, args);
if ('error' in result) {
  const { error } = result;
  // Linters exit with 2 if they were called wrongly, cmd-ts with 1.
  if (args[0] === 'config' && error.config.into === 'stderr') {
    reportFailure(ExitCode.NotChecked, [error.config.message]);
  } else {
    error.run();
  }
}

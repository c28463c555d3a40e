#!/usr/bin/env node
/** @module The operators' command line. */
import { runSafely, subcommands } from 'cmd-ts';
import {
  burnCommand,
  checkCommand,
  explainCommand,
  initCommand,
  statusCommand,
} from '../commands.js';
import { createConfigCommand, type LoadChecks } from '../config-check/create-config-command.js';
import { ExitCode, reportFailure } from '../output.js';

/** Loaded on demand, because it doubles the processor time of the other commands (0.35 to 0.73 s). */
const loadChecks: LoadChecks = async () => {
  const [{ checkFormat }, { default: rules }] = await Promise.all([
    import('@ebonysill/platform'),
    import('../config-check/default-rules.js'),
  ]);
  return { checkFormat, rules };
};

const ebonysill = subcommands({
  name: 'ebonysill',
  description: 'Operates ebonysill',
  cmds: {
    burn: burnCommand,
    check: checkCommand,
    config: createConfigCommand(loadChecks),
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

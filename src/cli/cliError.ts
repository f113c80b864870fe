/** An error that ends the command with a message and an exit code. */
import type { ExitCode } from './exitCodes.js';

export class CliError extends Error {
  readonly exitCode: ExitCode;
  /** The message, split into lines. */
  readonly lines: readonly string[];

  constructor(exitCode: ExitCode, lines: readonly string[]) {
    super(lines.join('\n'));
    this.exitCode = exitCode;
    this.lines = lines;
  }
}

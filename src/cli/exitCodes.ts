/** Exit codes of the command line, documented in docs/OPERATIONS.md. */
export const EXIT = {
  ok: 0,
  failed: 1,
  wrongInput: 2,
  conflict: 3,
  unavailable: 4,
  notComplete: 5,
} as const;

export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

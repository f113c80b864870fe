/**
 * The kinds of faults and planned operations that a soak draws from. What a seed draws depends on the order of its
 * kinds: add new kinds at the end, and leave them out where a test needs the sequence of before.
 */

/** Planned operations, which must not fail any request. */
export const PLANNED_KINDS = [
  'configure',
  'name-weights',
  'stop-entry',
  'stop-agent',
  'replace-server',
  'reload',
] as const;

export const FAULT_KINDS = [
  ...PLANNED_KINDS,
  'kill-entry',
  'kill-agent',
  'freeze-entry',
  'freeze-agent',
  'kill-many',
  'harm-store-link',
  'harm-server-link',
  'harm-store',
  'forget-history',
  'harm-origin',
  'sick-server',
  'crash-server',
  'rot-chunks',
  'restart-server',
  'foreign-records',
  'restart-amid-versions',
  'crashing-request',
  'lose-writes',
  'lose-power',
  'limit-server',
  'leave-by-answers',
  'reject-with-retry-after',
  'roll-back-store',
] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

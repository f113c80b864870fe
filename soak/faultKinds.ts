/**
 * The kinds of faults and planned operations from which a soak selects at random. The sequence that a seed selects
 * depends on the number and order of the kinds. So add a new kind at the end, and exclude it from tests that need the
 * sequence that their seed selected without it.
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
  'turn-cold',
  'evacuate',
  'harmful-part',
  'turn-part-harmful',
  'leave-amid-streams',
  'freeze-amid-load',
  'slow-amid-leaving',
  'odd-answer-ends',
  'reset-amid-streams',
  'client-crowd',
] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

/** Kinds that only make servers send signals in their answers or records. All promises must hold meanwhile. */
export const SIGNAL_KINDS: readonly FaultKind[] = [
  'limit-server',
  'leave-by-answers',
  'reject-with-retry-after',
  'turn-cold',
];
/** Kinds that stop entries beside streams of many lengths, whose servers may become slower. */
const LEAVING_KINDS: readonly FaultKind[] = ['leave-amid-streams', 'slow-amid-leaving'];

/** Kinds that send what unusual clients may send. */
const CLIENT_KINDS: readonly FaultKind[] = ['client-crowd'];

/** Kinds that kill and restart processes, but neither pause one nor delay requests in flight. */
const PROCESS_KILL_KINDS: readonly FaultKind[] = ['kill-entry', 'kill-agent', 'kill-many'];

/** Kinds that send requests which crash servers. */
const HARM_KINDS: readonly FaultKind[] = ['crashing-request', 'harmful-part', 'turn-part-harmful'];

/** Whether all promises must hold during a fault. */
export function keepsPromises(kind: FaultKind): boolean {
  const isPlanned = [...PLANNED_KINDS, ...LEAVING_KINDS, ...CLIENT_KINDS].includes(kind);
  return isPlanned || SIGNAL_KINDS.includes(kind) || kind === 'evacuate';
}

/**
 * What a fault affects, which decides the checks that are suspended during it. `servers`: requests crash backend
 * servers, while entries keep their connections to the store and to each other. `processes`: entries or agents
 * exit, which delays no request in flight. `rollback`: the store is rolled back to a snapshot that lacks the latest
 * writes. `all`: anything.
 */
export type FaultScope = 'all' | 'servers' | 'processes' | 'rollback';

/** What a fault affects. */
export function faultScope(kind: FaultKind): FaultScope {
  if (HARM_KINDS.includes(kind)) return 'servers';
  if (kind === 'roll-back-store') return 'rollback';
  return PROCESS_KILL_KINDS.includes(kind) ? 'processes' : 'all';
}

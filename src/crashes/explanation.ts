/**
 * Decides what a failed trial shows. Pure functions.
 *
 * A server that exits takes harmless requests with it, which their next run clears. The harmful identity alone is never
 * cleared. So a failed trial is evidence if nothing else that is suspected was on that server; in company it is weak
 * evidence, and counts only with others.
 */
import type { IdentityKind, RequestIdentity } from './requestIdentity.js';
import { kindOf } from './requestIdentity.js';
import type { ServerExit, Suspicion } from './suspicion.js';
import { failedTrials, isShutOut, trialRequest } from './suspicion.js';

/**
 * Several harmful identities may have their trials on the same server again and again. A harmless one seldom has so
 * many failed trials without a stronger suspect beside it: one under which more servers exited, or as many if it is a
 * request, which other requests can share all its servers with by chance.
 */
const MAX_SHARED_TRIALS = 2;

/** A bystander, too, may be on the first few servers that exit under a part. */
const MIN_EXITS_TO_COMPARE = 4;
/** One exit of a part may have another cause. */
const MAX_MISSING_EXITS = 1;

type NamedSuspicion = readonly [fingerprint: string, suspicion: Suspicion];

/**
 * Whether other suspects of `all`, which a request with the identities `own` does not have, may have caused the failed
 * trials of its identity.
 */
export function isExplainedByOthers(
  { kind }: RequestIdentity,
  suspicion: Suspicion,
  own: ReadonlySet<string>,
  all: Iterable<NamedSuspicion>,
): boolean {
  const others = [...all].filter(([fingerprint]) => !own.has(fingerprint));
  const failed = failedTrials(suspicion);
  const minExits = kind === 'request' ? suspicion.ends.length : suspicion.ends.length + 1;
  let isAlone = false;
  let weaklyShared = 0;
  for (const exit of failed) {
    const company = strongestBeside(exit, kind, others);
    isAlone ||= company === 0;
    if (company < minExits) weaklyShared++;
  }
  const isShared = !isAlone && weaklyShared <= MAX_SHARED_TRIALS;
  if (isShared || others.some((other) => isSameRequest(other, failed))) return true;
  return kind !== 'request' && others.some((other) => wasOnNearlyAll(other, suspicion));
}

/**
 * Number of exits of the strongest suspect that was on the server of a failed trial; 0 if there was none. Beside a part,
 * only other parts count: requests may all be its bystanders.
 */
function strongestBeside(exit: ServerExit, kind: IdentityKind, others: readonly NamedSuspicion[]): number {
  let strongest = 0;
  for (const [fingerprint, other] of others) {
    if (kind !== 'request' && kindOf(fingerprint) === 'request') continue;
    if (other.ends.length > strongest && hasExit(other, exit)) strongest = other.ends.length;
  }
  return strongest;
}

/** Whether one harmful request was on all servers that exited, or on all but one. */
function wasOnNearlyAll([fingerprint, request]: NamedSuspicion, { ends }: Suspicion): boolean {
  if (kindOf(fingerprint) !== 'request' || !isShutOut(request)) return false;
  const missing = ends.filter((exit) => !hasExit(request, exit)).length;
  return ends.length >= MIN_EXITS_TO_COMPARE && missing <= MAX_MISSING_EXITS;
}

function hasExit({ ends }: Suspicion, { server }: ServerExit): boolean {
  return ends.some((exit) => exit.server === server);
}

/**
 * Whether a request has, beside one of its identities, others that are suspected, so that its failed trial would not
 * show which of them is harmful. What is more general than the identity does not count.
 */
export function hasOtherSuspect(
  { kind, fingerprint }: RequestIdentity,
  own: Iterable<string>,
  isSuspected: (fingerprint: string) => boolean,
): boolean {
  if (kind === 'request') return false;
  for (const other of own) {
    const otherKind = kindOf(other);
    const matters = otherKind === 'request' || (otherKind === 'prompt-part' && kind === 'prompt-part');
    if (matters && other !== fingerprint && isSuspected(other)) return true;
  }
  return false;
}

/** Whether all these trials of a part failed with the same harmful request. */
function isSameRequest([fingerprint, suspicion]: NamedSuspicion, exits: readonly ServerExit[]): boolean {
  const isHarmfulRequest = kindOf(fingerprint) === 'request' && isShutOut(suspicion);
  return isHarmfulRequest && exits.every((exit) => suspicion.ends.some((own) => isSameRun(own, exit)));
}

function isSameRun(one: ServerExit, other: ServerExit): boolean {
  return one.server === other.server && trialRequest(one.trial) === trialRequest(other.trial);
}

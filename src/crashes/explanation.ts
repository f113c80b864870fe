/** Decides whether the server exits under one identity may have been caused by others. Pure functions. */
import type { RequestIdentity } from './requestIdentity.js';
import { isPromptFingerprint } from './requestIdentity.js';
import type { Suspicion } from './suspicion.js';
import { isShutOut } from './suspicion.js';

/** Server exits from which on a part of a prompt may explain those of others before it is shut out. */
const EXITS_TO_EXPLAIN = 2;
/** The exit that turned a part harmful may have been discarded by a success of before. */
const MAX_UNEXPLAINED = 1;
/** A trial of a harmless identity may have failed while the harmful one waited. */
const MAX_MORE_EXITS = 1;

/**
 * Whether identities of `all` that a request does not have, as `own`, may have caused the exits under its identity: what
 * is shut out, and parts of prompts under suspicion. What has far fewer exits is rather explained by this identity; a
 * single request, though, may be a bystander of several harmful parts in turn. For that reason many requests together
 * explain nothing of a part: they may all be its bystanders.
 */
export function isExplainedByOthers(
  { kind }: RequestIdentity,
  { ends }: Suspicion,
  own: ReadonlySet<string>,
  all: Iterable<readonly [string, Suspicion]>,
): boolean {
  const explained = new Set<string>();
  const requests: Suspicion[] = [];
  for (const [fingerprint, other] of all) {
    const isPrompt = isPromptFingerprint(fingerprint);
    const mayExplain = isShutOut(other) || (isPrompt && other.ends.length >= EXITS_TO_EXPLAIN);
    const hasEnough = other.ends.length + MAX_MORE_EXITS >= ends.length || (isPrompt && kind === 'request');
    if (own.has(fingerprint) || !mayExplain || !hasEnough) continue;
    if (isPrompt || kind === 'request') for (const { server } of other.ends) explained.add(server);
    else requests.push(other);
  }
  const unexplained = ends.filter(({ server }) => !explained.has(server)).map(({ server }) => server);
  return [{ ends: [] }, ...requests].some((request) => countWithout(unexplained, request) <= MAX_UNEXPLAINED);
}

/** Number of servers that did not exit under `suspicion`. */
function countWithout(servers: readonly string[], { ends }: Suspicion): number {
  return servers.filter((server) => !ends.some((exit) => exit.server === server)).length;
}

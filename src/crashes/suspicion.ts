/** What is known of an identity of requests under which servers exited, and what follows from that. Pure functions. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

/** The exit of a server's process while it had the request. */
export interface ServerExit {
  /** Id of the server, with the start time of its process if that is known. */
  server: string;
  /** Id of the trial that the server ran; '' if the request was sent before any exit was known. */
  trial: string;
}

/** The single run that a suspected request may have at a time. */
export interface Trial {
  /** Box of the entry that runs the trial. */
  box: string;
  /** Id of the trial. */
  request: string;
  /** Maximum duration. */
  milliseconds: number;
}

/** State of a suspected request, kept until it completes successfully at any entry or nobody repeats it any more. */
export interface Suspicion {
  ends: readonly ServerExit[];
  trial?: Trial | undefined;
}

/**
 * Number of server exits that shuts a request out; fewer may be chance. At least one of them has to happen during a
 * trial: several servers that exit at the same moment, as when a rack fails, are weak evidence against a request that
 * ran on all of them.
 */
const EXITS_TO_SHUT_OUT = 3;
/** Only the latest exits are kept: more would change no decision. */
const MAX_EXITS = 8;

export function isShutOut({ ends }: Suspicion): boolean {
  return ends.length >= EXITS_TO_SHUT_OUT && failedTrials({ ends }).length > 0;
}

/**
 * Adds a server exit. Each server counts once, however many entries report it and however many copies of the request
 * it ran. The report of a trial replaces one without a trial.
 */
export function withServerExit(suspicion: Suspicion | undefined, exit: ServerExit): Suspicion {
  const ends = suspicion?.ends ?? [];
  const known = ends.find(({ server }) => server === exit.server);
  if (known && (known.trial !== '' || exit.trial === '')) return { ...suspicion, ends };
  const others = ends.filter((other) => other !== known);
  return { ...suspicion, ends: [...others, exit].slice(-MAX_EXITS) };
}

/** Server that exited last. */
export function lastExitedServer(suspicion: Suspicion | undefined): string | undefined {
  return suspicion?.ends.at(-1)?.server;
}

/** Returns the id of a trial with the number of the trial for one identity. */
export function trialId(request: string, trial: number): string {
  return `${request}.${trial}`;
}

/** Returns which request made a trial, by the id of the trial. Its trials of all identities have the same one. */
export function trialRequest(trial: string): string {
  return trial.slice(0, Math.max(0, trial.lastIndexOf('.')));
}

/** Server exits during trials. */
export function failedTrials({ ends }: Suspicion): readonly ServerExit[] {
  return ends.filter(({ trial }) => trial !== '');
}

/** Whether a server exited during the trial `request`. */
export function hasFailedTrial({ ends }: Suspicion, request: string): boolean {
  return ends.some(({ trial }) => trial === request);
}

/** Starts a trial unless another one is running; the trial `expired` does not count as running. */
export function withTrial(suspicion: Suspicion, trial: Trial, expired?: string): Suspicion {
  const isRunning = suspicion.trial !== undefined && suspicion.trial.request !== expired;
  return isRunning ? suspicion : { ...suspicion, trial };
}

/** Ends the trial `request`; any other trial goes on. */
export function withoutTrial(suspicion: Suspicion, request: string): Suspicion {
  return suspicion.trial?.request === request ? { ends: suspicion.ends } : suspicion;
}

/** Merges the suspicion `known` before a rollback of the store into the one that the store has now. */
export function restoreKnown(stored: Suspicion | undefined, known: Suspicion): Suspicion {
  if (!stored || isPartOf(stored, known)) return known;
  return known.ends.reduce<Suspicion>(withServerExit, stored);
}

/** Removes a suspicion that was `cleared` before a rollback of the store, unless it has new server exits. */
export function removeCleared(stored: Suspicion | undefined, cleared: Suspicion): Suspicion | undefined {
  return stored && isPartOf(stored, cleared) ? undefined : stored;
}

/** Whether another suspicion contains all server exits of a suspicion. */
function isPartOf({ ends }: Suspicion, { ends: known }: Suspicion): boolean {
  const servers = new Set(known.map(({ server }) => server));
  return ends.every(({ server }) => servers.has(server));
}

const suspicionSchema = z.object({
  ends: z.array(z.object({ server: z.string(), trial: z.string() })).max(MAX_EXITS),
  trial: z
    .object({ box: z.string(), request: z.string(), milliseconds: z.number().nonnegative() })
    .optional(),
});

/** Validates a stored suspicion, because the store accepts anything from any client. */
export function readSuspicion(value: unknown): Result<Suspicion, string> {
  const parsed = suspicionSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  return err([...issue.path, issue.message].join(': '));
}

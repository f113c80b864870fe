/** Tells incarnations of a backend server apart: a restarted server may keep its id, but nothing else. */
import type { BackendServerRecord } from './backendServerRecord.js';

/** Where the start of a server was reported: its service discovery record, or the agent on its box. */
export type IncarnationSource = 'discovery' | 'agent';

/** Which incarnation a report is about; `former` is one that is known to have ended. */
export type IncarnationMatch = 'same' | 'another' | 'former';

/** Value of a start time that is not reported. */
export const UNKNOWN_START = 0;

/** A reported start and what was known before; all in Unix milliseconds by the server's clock, 0 when unknown. */
export interface StartReport {
  /** Start of the current incarnation. */
  current: number;
  /** The previous report of the same source. */
  previouslyReported: number;
  reported: number;
}

/**
 * Compares a reported start with the current incarnation. Each source reports in order, but one may lag seconds
 * behind the other. So a source that repeats its report after the other has reported a newer start is late, while a
 * source that had reported the current incarnation and now reports a different start is newer, even if the server's
 * clock was set back between the two starts.
 */
export function matchIncarnation({ current, previouslyReported, reported }: StartReport): IncarnationMatch {
  if (reported === UNKNOWN_START || current === UNKNOWN_START || reported === current) return 'same';
  if (previouslyReported === current) return 'another';
  return previouslyReported !== reported && reported > current ? 'another' : 'former';
}

/** A service discovery record and the store revision at which it last changed. */
export interface ListedServer {
  record: BackendServerRecord;
  revision: number;
}

/**
 * Returns the ids of servers whose address is now used by a later process, since only one process can listen at an
 * address. A server that lost power cannot withdraw its record, which stays for seconds beside that of its
 * successor, even if the successor has a different id. If the starts are unknown, the record that changed last is
 * the later one, because the record of an ended server no longer changes.
 */
export function supersededServers(listed: readonly ListedServer[]): string[] {
  const latest = new Map<string, ListedServer>();
  for (const server of listed) {
    const { address } = server.record;
    const other = latest.get(address);
    if (!other || isLater(server, other)) latest.set(address, server);
  }
  return listed
    .filter((server) => latest.get(server.record.address) !== server)
    .map(({ record }) => record.id);
}

function isLater(a: ListedServer, b: ListedServer): boolean {
  const areKnown = a.record.startedAt !== UNKNOWN_START && b.record.startedAt !== UNKNOWN_START;
  if (areKnown && a.record.startedAt !== b.record.startedAt) return a.record.startedAt > b.record.startedAt;
  return a.revision > b.revision;
}

/** Tracks the current incarnation of one server from the reports of both sources. */
export class ServerIncarnation {
  private readonly _reported = new Map<IncarnationSource, number>();
  private _startedAt = UNKNOWN_START;

  /** Start of the current incarnation, in Unix milliseconds by the server's clock; 0 while unknown. */
  get startedAt(): number {
    return this._startedAt;
  }

  /** Records the start reported by `source`; returns which incarnation the report is about. */
  noteStart(source: IncarnationSource, reported: number): IncarnationMatch {
    const previouslyReported = this._reported.get(source) ?? UNKNOWN_START;
    const match = matchIncarnation({
      current: this._startedAt,
      previouslyReported,
      reported,
    });
    if (reported === UNKNOWN_START) return match;
    this._reported.set(source, reported);
    if (match !== 'former') this._startedAt = reported;
    return match;
  }
}

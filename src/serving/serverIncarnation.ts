/** Which life of a backend server a word of somebody is about: one that starts again keeps its id, and nothing else. */
import type { BackendServerRecord } from './backendServerRecord.js';

/** Who tells when a server started: its entry in service discovery, or the agent beside it. */
export type IncarnationSource = 'discovery' | 'agent';

/** What a word is about; `former`: a life that is known to have ended. */
export type IncarnationMatch = 'same' | 'another' | 'former';

/** A start that is not told. */
export const UNKNOWN_START = 0;

/** What is known when a start is told; all in Unix milliseconds by the server's clock, 0 where there is none. */
export interface StartReport {
  /** The start of the life that is believed in. */
  current: number;
  /** What the same source told before. */
  previouslyReported: number;
  reported: number;
}

/**
 * Each source tells in order, but one may be seconds behind the other. So a source that repeats itself while the other has
 * told of something newer is late, and one that had told of the present life and tells of another knows better, also where the
 * server's clock was set back between the two starts.
 */
export function matchIncarnation({
  current,
  previouslyReported: toldBefore,
  reported: told,
}: StartReport): IncarnationMatch {
  if (told === UNKNOWN_START || current === UNKNOWN_START || told === current) return 'same';
  if (toldBefore === current) return 'another';
  return toldBefore !== told && told > current ? 'another' : 'former';
}

/** An entry of service discovery, and the revision of the store at which it last changed. */
export interface ListedServer {
  record: BackendServerRecord;
  revision: number;
}

/**
 * The servers at whose address a later life listens, by their ids: one process listens at an address. A server that lost its
 * power cannot say that it leaves, and its entry stays for seconds beside that of the life that has taken its place under
 * another id; where starts are not told, an entry changes no more once its server has ended.
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
  const areTold = a.record.startedAt !== UNKNOWN_START && b.record.startedAt !== UNKNOWN_START;
  if (areTold && a.record.startedAt !== b.record.startedAt) return a.record.startedAt > b.record.startedAt;
  return a.revision > b.revision;
}

/** What has been told of the lives of one server. */
export class ServerIncarnation {
  private readonly _told = new Map<IncarnationSource, number>();
  private _startedAt = UNKNOWN_START;

  /** Start of the present life, in Unix milliseconds by the server's clock; 0 while unknown. */
  get startedAt(): number {
    return this._startedAt;
  }

  /** Takes a word of `source`; returns what it is about. */
  noteStart(source: IncarnationSource, told: number): IncarnationMatch {
    const toldBefore = this._told.get(source) ?? UNKNOWN_START;
    const judgement = matchIncarnation({
      current: this._startedAt,
      previouslyReported: toldBefore,
      reported: told,
    });
    if (told === UNKNOWN_START) return judgement;
    this._told.set(source, told);
    if (judgement !== 'former') this._startedAt = told;
    return judgement;
  }
}

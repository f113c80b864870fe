/** Which life of a backend server a word of somebody is about: one that starts again keeps its id, and nothing else. */
import type { BackendServerRecord } from './backendServerRecord.js';

/** Who tells when a server started: its entry in service discovery, or the agent beside it. */
export type LifeSource = 'discovery' | 'agent';

/** What a word is about; `former`: a life that is known to have ended. */
export type LifeJudgement = 'same' | 'another' | 'former';

/** A start that is not told. */
export const UNKNOWN_START = 0;

/** What is known when a start is told; all in Unix milliseconds by the server's clock, 0 where there is none. */
export interface LifeEvidence {
  /** The start of the life that is believed in. */
  current: number;
  /** What the same source told before. */
  toldBefore: number;
  told: number;
}

/**
 * Each source tells in order, but one may be seconds behind the other. So a source that repeats itself while the other has
 * told of something newer is late, and one that had told of the present life and tells of another knows better, also where the
 * server's clock was set back between the two starts.
 */
export function judgeLife({ current, toldBefore, told }: LifeEvidence): LifeJudgement {
  if (told === UNKNOWN_START || current === UNKNOWN_START || told === current) return 'same';
  if (toldBefore === current) return 'another';
  return toldBefore !== told && told > current ? 'another' : 'former';
}

/** What of a record tells where a life is, and since when. */
type Placed = Pick<BackendServerRecord, 'address' | 'startedAt'>;

/**
 * The records at whose address no later life is known: one process listens at an address. A server that lost its power cannot
 * say that it leaves, and its entry stays for seconds beside that of the life that has taken its place under another id.
 */
export function withoutSuperseded<Record extends Placed>(records: readonly Record[]): Record[] {
  const latest = new Map<string, number>();
  for (const { address, startedAt } of records)
    latest.set(address, Math.max(startedAt, latest.get(address) ?? UNKNOWN_START));
  return records.filter(
    ({ address, startedAt }) => startedAt === UNKNOWN_START || startedAt === latest.get(address),
  );
}

/** What has been told of the lives of one server. */
export class ServerLife {
  private readonly _told = new Map<LifeSource, number>();
  private _startedAt = UNKNOWN_START;

  /** Start of the present life, in Unix milliseconds by the server's clock; 0 while unknown. */
  get startedAt(): number {
    return this._startedAt;
  }

  /** Takes a word of `source`; returns what it is about. */
  judge(source: LifeSource, told: number): LifeJudgement {
    const toldBefore = this._told.get(source) ?? UNKNOWN_START;
    const judgement = judgeLife({ current: this._startedAt, toldBefore, told });
    if (told === UNKNOWN_START) return judgement;
    this._told.set(source, told);
    if (judgement !== 'former') this._startedAt = told;
    return judgement;
  }
}

/** Decides which waiting upload begins next, and which gives way to a more urgent one. Pure functions. */

/** Who requests a chunk: a gateway of another data centre, a box that switches early, or any other box. */
export type UploadPriority = 'other-data-centre' | 'early' | 'usual';

/** The chunk that is requested, and how urgently. */
export interface UploadRequest {
  /** Identifies the chunk: the same in all requests for it. */
  chunk: string;
  priority: UploadPriority;
  /** Position of the requesting box in the order in which its data centre switches; lower ones go first. */
  rank?: number;
}

/** An upload that waits, and how often its chunk was sent already. */
export interface RankedUpload {
  request: UploadRequest;
  timesSent: number;
}

/** Most urgent first. */
const PRIORITIES: readonly UploadPriority[] = ['other-data-centre', 'early', 'usual'];
/** Requests that may wait for a slot. Few `usual` ones, since other boxes in the data centre hold those chunks too. */
const MAXIMUM_WAITING: Record<UploadPriority, number> = { 'other-data-centre': 6, early: 6, usual: 2 };

/**
 * Compares two uploads; negative if `a` goes first. Among equally urgent ones, the chunk that was sent least often goes
 * first, so that rare chunks spread faster.
 */
export function compareUploads(a: RankedUpload, b: RankedUpload): number {
  return (
    PRIORITIES.indexOf(a.request.priority) - PRIORITIES.indexOf(b.request.priority) ||
    (a.request.rank ?? 0) - (b.request.rank ?? 0) ||
    a.timesSent - b.timesSent
  );
}

/** Returns the index of the upload to begin next; -1 if none waits. Of equal ones, the one that waits longest. */
export function nextUpload(waiting: readonly RankedUpload[]): number {
  let best = waiting.length > 0 ? 0 : -1;
  for (let index = 1; index < waiting.length; index++) {
    if (compareUploads(waiting[index], waiting[best]) < 0) best = index;
  }
  return best;
}

/** What to do with a new request: let it wait, refuse it, or refuse the waiting one at an index in its place. */
export type Admission = 'wait' | 'refuse' | { displace: number };

/**
 * Decides on a new request. Each priority has its own limit, so that requests of one don't displace those of another.
 * If the limit is reached, the request with the highest rank is refused: otherwise a box that switches late would wait
 * until all others are complete, with one of its few concurrent fetches.
 */
export function admitUpload(waiting: readonly RankedUpload[], added: UploadRequest): Admission {
  const indexes = [...waiting.keys()].filter((index) => waiting[index].request.priority === added.priority);
  if (indexes.length < MAXIMUM_WAITING[added.priority]) return 'wait';
  const rankOf = (index: number): number => waiting[index].request.rank ?? 0;
  const last = indexes.reduce((worst, index) => (rankOf(index) > rankOf(worst) ? index : worst));
  return rankOf(last) > (added.rank ?? 0) ? { displace: last } : 'refuse';
}

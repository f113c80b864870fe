/** Checks what callers have received of streams that servers send in odd forms. */
import { eventText } from '../standins/platformAnswers.js';
import type { BreachListener } from './promiseNames.js';
import type { ReceivedStream } from './streamReader.js';

/** A stream that has ended for its caller. */
export interface EndedStream extends ReceivedStream {
  id: string;
  /** The address of the entry for callers, host:port. */
  entry: string;
  /** Number of events of the complete stream. */
  events: number;
}

const OK = 200;

export class StreamChecks {
  /** Number of streams by their end: `whole` and `cut` for those that have begun, or the status. */
  readonly counts: Record<string, number> = {};
  private readonly _onBreach: BreachListener;

  constructor(onBreach: BreachListener) {
    this._onBreach = onBreach;
  }

  onEnded(stream: EndedStream): void {
    const end = stream.status === OK ? stream.end : String(stream.status);
    this.counts[end] = (this.counts[end] ?? 0) + 1;
    if (stream.status !== OK) return;
    const error = orderError(stream);
    if (error) this._onBreach('order', `${stream.id} at ${stream.entry} (${stream.protocol}): ${error}`);
  }
}

/** Describes how a stream breaks the promise about order, or returns undefined. */
function orderError({ id, events, body, end }: EndedStream): string | undefined {
  const texts = Array.from({ length: events }, (_unused, index) => eventText(id, index + 1));
  const complete = texts.join('');
  if (body === complete || (end === 'cut' && complete.startsWith(body))) return undefined;
  let received = 0;
  let length = 0;
  while (received < events && body.startsWith(texts[received], length)) length += texts[received++].length;
  if (complete.startsWith(body)) return `ends as complete after event ${received} of ${events}`;
  return `behind event ${received} of ${events} comes ${JSON.stringify(body.slice(length, length + 80))}`;
}

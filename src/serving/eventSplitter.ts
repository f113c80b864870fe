/** Splits a `text/event-stream` body into complete events. */

/** An event, including its terminating blank line. */
export interface StreamEvent {
  bytes: Buffer;
  /** The `id` field of the event, undefined for none. */
  id: string | undefined;
}

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Buffers the bytes of an incomplete event. */
export class EventSplitter {
  private _rest: Buffer = Buffer.alloc(0);

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): StreamEvent[] {
    this._rest = this._rest.length === 0 ? bytes : Buffer.concat([this._rest, bytes]);
    const events: StreamEvent[] = [];
    let end = endOfEvent(this._rest);
    while (end > 0) {
      const event = this._rest.subarray(0, end);
      this._rest = this._rest.subarray(end);
      events.push({ bytes: event, id: idOf(event) });
      end = endOfEvent(this._rest);
    }
    return events;
  }

  /** Bytes of the incomplete event. */
  get rest(): Buffer {
    return this._rest;
  }
}

/** Length of the first complete event with its blank line, or 0. */
function endOfEvent(bytes: Buffer): number {
  let lineStart = 0;
  for (let newline = bytes.indexOf(NEWLINE); newline >= 0; newline = bytes.indexOf(NEWLINE, newline + 1)) {
    const length = newline - lineStart;
    const isBlank = length === 0 || (length === 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isBlank && lineStart > 0) return newline + 1;
    lineStart = newline + 1;
  }
  return 0;
}

function idOf(event: Buffer): string | undefined {
  return /^id: ?([^\r\n]*)\r?$/m.exec(event.toString('latin1'))?.[1];
}

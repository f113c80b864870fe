/** Expected answers of the runner stand-in: their seal and their events. */

/** Number of events in a streamed answer. */
export const STREAM_EVENTS = 6;

/** Returns the seal of the answer to the request `id`. */
export function sealOf(id: string): string {
  return `seal-of-${id}`;
}

/** Returns an event of the streamed answer to the request `id`. Events are numbered from 1. */
export function eventText(id: string, event: number): string {
  return `id: ${event}\ndata: event ${event} of ${id}\n\n`;
}

/** Returns the headers that every answer to the request `id` has. */
export function ownHeaders(id: string): Record<string, string> {
  return { 'x-attempt-id': id, 'x-server-seal': sealOf(id) };
}

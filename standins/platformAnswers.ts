/** What a caller of the platform's stand-in must get: the seal of an answer, its events, and how many there are. */

export const STREAM_EVENTS = 6;

export function sealOf(id: string): string {
  return `seal-of-${id}`;
}

export function eventText(id: string, event: number): string {
  return `id: ${event}\ndata: event ${event} of ${id}\n\n`;
}

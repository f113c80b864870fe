/** The state of an entry's link to one agent. */
import { createMachine } from 'xstate';

/** What moves a link on. */
export type LinkEvent = { type: 'CONNECTED' } | { type: 'LOST' } | { type: 'LEAVING' };

/** New work goes only to `live` links; `leaving` ends with the connection. */
export const linkMachine = createMachine({
  id: 'link',
  types: {} as { events: LinkEvent },
  initial: 'connecting',
  states: {
    connecting: { on: { CONNECTED: 'live' } },
    live: { on: { LOST: 'connecting', LEAVING: 'leaving' } },
    leaving: { on: { LOST: 'connecting' } },
  },
});

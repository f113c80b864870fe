/** State machine of an entry's link to one agent. */
import { createMachine } from 'xstate';

/** Events that change the state of a link. */
export type LinkEvent = { type: 'CONNECTED' } | { type: 'LOST' } | { type: 'LEAVING' };

/** New requests are sent only over `live` links. A link stays `leaving` until its connection is lost. */
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

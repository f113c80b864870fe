/** The state machine of one entry for one lease. */
import { createMachine } from 'xstate';

/** Events that change the state. */
export type LeaseEvent =
  { type: 'ACQUIRE' } | { type: 'ACQUIRED' } | { type: 'LOST' } | { type: 'LAPSED' } | { type: 'RELEASED' };

/** Orders may be sent only in `holding`. A holder whose lease lapsed must acquire it again, under a higher epoch. */
export const leaseMachine = createMachine({
  id: 'lease',
  types: {} as { events: LeaseEvent },
  initial: 'watching',
  states: {
    watching: { on: { ACQUIRE: 'acquiring' } },
    acquiring: { on: { ACQUIRED: 'holding', LOST: 'watching' } },
    holding: { on: { LOST: 'watching', LAPSED: 'watching', RELEASED: 'watching' } },
  },
});

/** The states of one entry towards one lease. */
import { createMachine } from 'xstate';

/** What moves the lease on. */
export type LeaseEvent =
  { type: 'ACQUIRE' } | { type: 'ACQUIRED' } | { type: 'LOST' } | { type: 'LAPSED' } | { type: 'RELEASED' };

/** Orders may be given only in `holding`; a lapsed holder has to acquire anew and so gets a higher epoch. */
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

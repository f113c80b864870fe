/** State machine of one version on one box. */
import { createActor, createMachine } from 'xstate';
import type { Actor } from 'xstate';

/** Events that move a version to its next state. */
export type StageEvent =
  /** Every chunk is stored and verified. */
  | { type: 'CHUNKS_COMPLETE' }
  /** The backend server has loaded the version next to the one in service. */
  | { type: 'LOADED' }
  /** The backend server runs new requests on it. */
  | { type: 'ACTIVATED' }
  /** Another version has replaced it, or the configuration was withdrawn. */
  | { type: 'SUPERSEDED' };

/** A version can be activated only in `loaded`, and becomes `loaded` only from `staged`. */
export const stageMachine = createMachine({
  id: 'stage',
  types: {} as { events: StageEvent },
  initial: 'staging',
  on: { SUPERSEDED: '.superseded' },
  states: {
    staging: { on: { CHUNKS_COMPLETE: 'staged' } },
    staged: { on: { LOADED: 'loaded' } },
    loaded: { on: { ACTIVATED: 'active' } },
    active: {},
    superseded: { type: 'final' },
  },
});

export function startStageMachine(): Actor<typeof stageMachine> {
  return createActor(stageMachine).start();
}

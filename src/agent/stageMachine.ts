/** The life of one version on one box. */
import { createActor, createMachine } from 'xstate';
import type { Actor } from 'xstate';

/** What moves a version on. */
export type StageEvent =
  /** Every chunk is held and verified. */
  | { type: 'CHUNKS_COMPLETE' }
  /** The backend server has loaded the version beside the one in service. */
  | { type: 'LOADED' }
  /** The backend server runs new work on it. */
  | { type: 'ACTIVATED' }
  /** Another version took its place. */
  | { type: 'SUPERSEDED' };

/** A version is activated only from `loaded`, and it is loaded only from `staged`. */
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

/** Starts the machine for a new version. */
export function startStage(): Actor<typeof stageMachine> {
  return createActor(stageMachine).start();
}

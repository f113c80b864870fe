/** Builds the status of a box that its agent sends to entries. */
import type { BoxStatus, ServingState } from '../protocol/boxMessages.js';
import type { StageQueue } from './stageQueue.js';
import type { VersionReconciler } from './versionReconciler.js';

/** Returns the current status of the box. */
export function boxStatus(reconciler: VersionReconciler, stages: StageQueue): BoxStatus {
  const { status, confirmedLoad } = reconciler;
  return {
    type: 'box-status',
    state: servingState(reconciler),
    // The state of the backend server is unknown until its first answer.
    model: reconciler.knowsBackend ? stages.model : '',
    version: confirmedLoad?.version ?? 0,
    revision: confirmedLoad?.revision,
    running: status?.running ?? 0,
    queued: status?.queued ?? 0,
    slowLink: stages.isSlow,
    startedAt: status?.startedAt,
  };
}

function servingState({ switchPhase, confirmedLoad }: VersionReconciler): ServingState {
  if (switchPhase === 'switching' || switchPhase === 'preparing') return switchPhase;
  return confirmedLoad ? 'serving' : 'empty';
}

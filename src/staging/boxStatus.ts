/** What an agent tells entries of its backend server. */
import type { BoxStatus, ServingState } from '../protocol/boxMessages.js';
import type { StageQueue } from './stageQueue.js';
import type { VersionReconciler } from './versionReconciler.js';

/** The status of a box now. */
export function boxStatus(reconciler: VersionReconciler, stages: StageQueue): BoxStatus {
  const { status, servedVersion } = reconciler;
  return {
    type: 'box-status',
    state: servingState(reconciler),
    // before the first word of the backend server nothing is known
    model: reconciler.knowsBackend ? stages.model : '',
    version: servedVersion,
    running: status?.running ?? 0,
    queued: status?.queued ?? 0,
    slowLink: stages.isSlow,
    startedAt: status?.startedAt,
  };
}

function servingState({ switchStage, servedVersion }: VersionReconciler): ServingState {
  if (switchStage === 'switching' || switchStage === 'preparing') return switchStage;
  return servedVersion > 0 ? 'serving' : 'empty';
}
